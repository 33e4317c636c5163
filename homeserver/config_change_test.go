package homeserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// answeringRunner answers each call at once.
type answeringRunner struct{}

func (answeringRunner) Run(context.Context, backend.Server, backend.Call) backend.CallResult {
	return backend.CallResult{Outcome: result.OutcomeRan}
}

type noCounter struct{}

func (noCounter) Attempt(string, bool, bool)       {}
func (noCounter) AttemptEnd(string, backend.Fault) {}
func (noCounter) Cancelled(string)                 {}

// hookObserver calls its hooks, if set.
type hookObserver struct {
	checkLeg func()
	started  func()
}

func (o *hookObserver) Started(ident.AttemptID, backend.Server, uint64) {
	if o.started != nil {
		o.started()
	}
}

func (*hookObserver) Ended(ident.AttemptID, backend.Server, uint64, backend.CallResult) bool {
	return false
}

func (o *hookObserver) CheckLeg(leg.Request) *result.Error {
	if o.checkLeg != nil {
		o.checkLeg()
	}
	return nil
}

// configWith returns a configuration of one service, with the classes in their order.
func configWith(t *testing.T, generation uint64, classes ...string) *bundle.Config {
	t.Helper()
	docs := bundle.Documents{Services: []bundle.Service{{Name: "s", SlotsPerServer: 4, ConnectionsPerServer: 10}}}
	for _, name := range classes {
		docs.Classes = append(docs.Classes, bundle.Class{Name: name, MaxQueue: 1000})
	}
	config, err := bundle.Compile(generation, docs)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// testServer is a Server with one backend server, whose configuration a test changes.
type testServer struct {
	*Server
	config   atomic.Pointer[bundle.Config]
	observer hookObserver
}

func newTestServer(config *bundle.Config) *testServer {
	s := &testServer{}
	s.config.Store(config)
	s.Server = New(answeringRunner{}, noCounter{}, &s.observer, time.Now, s.config.Load)
	s.SetServers(map[string][]KnownServer{"s": {{Server: backend.Server{Name: "a", Service: "s"}, SameZone: true}}})
	return s
}

// run runs a leg and returns a channel that receives its result.
func (s *testServer) run(class string) <-chan leg.Result {
	results := make(chan leg.Result, 1)
	s.Run(leg.Request{
		Request: ident.NewRequestID(), Service: "s", Class: class, Deadline: time.Now().Add(time.Minute), Idempotent: true,
	}, func(r leg.Result) { results <- r })
	return results
}

const waitTimeout = 10 * time.Second

func receive(t *testing.T, results <-chan leg.Result) leg.Result {
	t.Helper()
	select {
	case r := <-results:
		return r
	case <-time.After(waitTimeout):
		t.Fatal("a leg got no result")
		return leg.Result{}
	}
}

// Guards against a host that hangs after a route is removed: the class of a leg is looked up in
// one configuration and used in the next one, which has fewer classes.
func TestLegThatCrossesTheRemovalOfItsClassIsAnswered(t *testing.T) {
	is := is.New(t)
	s := newTestServer(configWith(t, 1, "kept", "removed"))
	is.Equal(receive(t, s.run("removed")).Outcome, result.OutcomeRan)
	removal := configWith(t, 2, "kept")
	s.observer.checkLeg = func() {
		s.config.Store(removal)
		s.Refresh()
	}
	is.Equal(receive(t, s.run("removed")).Outcome, result.OutcomeRan)
	s.observer.checkLeg = nil
	is.Equal(receive(t, s.run("kept")).Outcome, result.OutcomeRan)
}

// Guards against homes that go back to an older configuration, which a leg read before the newer
// one was applied.
func TestHomesDoNotReturnToAnOlderConfiguration(t *testing.T) {
	is := is.New(t)
	older, newer := configWith(t, 1, "kept", "removed"), configWith(t, 2, "kept")
	s := newTestServer(older)
	receive(t, s.run("kept"))
	s.config.Store(newer)
	s.Refresh()
	reads := 0
	s.currentConfig = func() *bundle.Config {
		if reads++; reads == 1 {
			return older // read by a leg, just before the change
		}
		return newer
	}
	receive(t, s.run("kept"))
	is.Equal(s.desired.Load().config, newer)
	is.Equal(s.services["s"].followed.Load().config, newer)
}

// Guards against a mutex that a panic leaves locked: net/http recovers it, and all later requests to
// the service would wait for ever.
func TestPanicInADecisionDoesNotHangTheService(t *testing.T) {
	is := is.New(t)
	s := newTestServer(configWith(t, 1, "class"))
	receive(t, s.run("class"))
	s.observer.started = func() { panic("broken") }
	func() {
		defer func() { is.Equal(recover(), "broken") }()
		s.run("class")
	}()
	s.observer.started = nil
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Refresh()
		s.OpenLegs()
		s.Forecast("s", "class")
	}()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatal("the service hangs")
	}
}

// Guards against legs without a result, and panics, while configurations change in any order beside
// requests and forecasts: classes come, go, move, and are gone altogether.
func TestLegsAreAnsweredWhileConfigurationsChange(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			classes := []string{"a", "b", "c"}
			s := newTestServer(configWith(t, 1, classes...))
			stop := make(chan struct{})
			var changes, legs sync.WaitGroup
			changes.Add(1)
			go func() {
				defer changes.Done()
				rnd := rand.New(rand.NewPCG(seed, 0))
				for generation := uint64(2); ; generation++ {
					select {
					case <-stop:
						return
					default:
					}
					order := rnd.Perm(len(classes))[:rnd.IntN(len(classes)+1)]
					next := make([]string, len(order))
					for i, class := range order {
						next[i] = classes[class]
					}
					s.config.Store(configWith(t, generation, next...))
					if rnd.IntN(2) == 0 { // else a leg applies it
						s.Refresh()
					}
				}
			}()
			for worker := range 4 {
				legs.Add(1)
				go func() {
					defer legs.Done()
					rnd := rand.New(rand.NewPCG(seed, uint64(1+worker)))
					for range 2000 {
						class := classes[rnd.IntN(len(classes))]
						if r := receive(t, s.run(class)); r.Outcome != result.OutcomeRan && r.Outcome != result.OutcomeUnsent {
							t.Errorf("outcome %v", r.Outcome)
						}
						s.Forecast("s", class)
					}
				}()
			}
			legs.Wait()
			close(stop)
			changes.Wait()
		})
	}
}
