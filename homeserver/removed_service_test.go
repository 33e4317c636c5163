package homeserver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// removeServices returns a configuration without services.
func removeServices(t *testing.T, generation uint64) *bundle.Config {
	t.Helper()
	config, err := bundle.Compile(generation, bundle.Documents{Classes: []bundle.Class{{Name: "a", MaxQueue: 10}}})
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// Guards against requests that wait while their route moves away and then reach servers that have
// left: the home of a service that is no longer configured must hear of its servers.
func TestHomeOfARemovedServiceFollowsItsServers(t *testing.T) {
	is := is.New(t)
	r := newReentrantServer(configWith(t, 1, "a"))
	results := make(chan leg.Result, 2)
	r.SetServers(r.servers(false))
	r.submit(time.Minute, results) // holds the only slot
	r.submit(time.Minute, results)
	r.setConfig(removeServices(t, 2))
	is.Equal(r.OpenLegs(), 2) // a planned stop waits for them
	r.SetServers(r.servers(true))
	waited := receive(t, results)
	is.Equal(waited.Code, result.NoBackend)
	is.True(waited.Outcome.NotRun())
	close(r.released.release)
	is.Equal(receive(t, results).Outcome, result.OutcomeRan)
}

// Guards against a leg without a result that reaches a home which is being closed, and against
// homes of removed services that stay for ever.
func TestUnusedHomeOfARemovedServiceIsClosed(t *testing.T) {
	is := is.New(t)
	s := newTestServer(configWith(t, 1, "a"))
	receive(t, s.run("a"))
	closed := s.find("s")
	removal := removeServices(t, 2)
	s.observer.checkLeg = func() { // between the look-up of the home and the leg's arrival there
		for s.find("s") != nil { // the attempt of the first leg is just ending
			s.config.Store(removal)
			s.Refresh()
		}
	}
	is.Equal(receive(t, s.run("a")).Code, result.NoBackend)
	s.observer.checkLeg = nil
	s.config.Store(configWith(t, 3, "a"))
	is.Equal(receive(t, s.run("a")).Outcome, result.OutcomeRan)
	is.True(s.find("s") != closed)
}
