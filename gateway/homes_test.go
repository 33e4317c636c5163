package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// Guards against using an outdated forecast of another home: it counts down and expires.
func TestRemoteForecastExpires(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	forecasts := newRemoteForecasts(func() time.Time { return now })
	forecasts.record("s", "class", leg.Forecast{QueueTime: 80 * time.Millisecond, ServiceTime: 10 * time.Millisecond})
	now = now.Add(30 * time.Millisecond)
	is.Equal(forecasts.forecast("s", "class"), leg.Forecast{QueueTime: 50 * time.Millisecond, ServiceTime: 10 * time.Millisecond})
	is.Equal(forecasts.forecast("s", "other"), leg.Forecast{})
	now = now.Add(forecastTTL)
	is.Equal(forecasts.forecast("s", "class"), leg.Forecast{})
}

// Guards against refusing searches of an unresponsive service after it has answered or the
// report has expired.
func TestRemoteUnresponsivenessExpires(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	forecasts := newRemoteForecasts(func() time.Time { return now })
	forecasts.recordUnresponsive("s")
	is.True(forecasts.forecast("s", "class").Unresponsive)
	forecasts.record("s", "class", leg.Forecast{})
	is.True(!forecasts.forecast("s", "class").Unresponsive)
	forecasts.recordUnresponsive("s")
	now = now.Add(forecastTTL + time.Millisecond)
	is.True(!forecasts.forecast("s", "class").Unresponsive)
	forecasts.prune(func(string) bool { return false })
	is.Equal(len(forecasts.reported)+len(forecasts.unresponsiveAt), 0)
}

// hangingRunner records the servers that calls go to and never answers.
type hangingRunner struct{ sent chan string }

func (r hangingRunner) Run(ctx context.Context, server backend.Server, _ backend.Call) backend.CallResult {
	r.sent <- server.Name
	<-ctx.Done()
	return backend.CallResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultCancelled}
}

// Guards against running a leg at a third server after its home, which may have sent it to
// two, was lost.
func TestFailedOverLegGoesWhereItsHomeSentIt(t *testing.T) {
	is := is.New(t)
	runner := hangingRunner{sent: make(chan string, 4)}
	config, err := bundle.Compile(1, bundle.Documents{
		Classes:  []bundle.Class{{Name: "class", MaxQueue: 10}},
		Services: []bundle.Service{{Name: "s", SlotsPerServer: 1, ConnectionsPerServer: 10}},
	})
	is.NoErr(err)
	local := homeserver.New(runner, noopCounter{}, noopObserver{}, time.Now, func() *bundle.Config { return config })
	known := make([]homeserver.KnownServer, 3)
	for i, zone := range []string{"a", "b", "c"} {
		known[i] = homeserver.KnownServer{Server: backend.Server{Name: "server-" + zone, Service: "s", Zone: zone}, SameZone: zone == "a"}
	}
	local.SetServers(map[string][]homeserver.KnownServer{"s": known})
	view := &member.View{Self: "root", Hosts: []member.Host{{ID: "home", Zone: "c", State: member.StateDead}}}
	shared := &homes{self: "root", local: local, view: func() *member.View { return view }, forecasts: newRemoteForecasts(time.Now), log: zap.NewNop()}
	request := leg.Request{
		Request: ident.NewRequestID(), Service: "s", Class: "class", Deadline: time.Now().Add(time.Minute), Idempotent: true,
		MaxServers: 2, Forward: &forward.Request{Merge: &forward.Merge{}}, FailedHome: "home",
		ReservedServer: shared.Reserve("s", "home"), // as when it was sent
	}
	cancel := failoverRunner{shared}.Run(request, func(leg.Result) {})
	is.Equal(<-runner.sent, "server-c")
	cancel()
	known = slices.Clone(known)
	known[2].Leaving = true
	local.SetServers(map[string][]homeserver.KnownServer{"s": known})
	results := make(chan leg.Result, 1)
	failoverRunner{shared}.Run(request, func(r leg.Result) { results <- r })
	is.Equal((<-results).Code, result.NoBackend) // at once, and at no other server
	request.FailedHome = ""
	cancel = failoverRunner{shared}.Run(request, func(leg.Result) {})
	is.Equal(<-runner.sent, "server-a")
	cancel()
	is.Equal(len(runner.sent), 0)
}

// Guards against failing a search whose services a home does not know yet after the index was
// split into other shards.
func TestHomeWithoutTheServiceIsNotReady(t *testing.T) {
	is := is.New(t)
	local := homeserver.New(hangingRunner{}, noopCounter{}, noopObserver{}, time.Now, func() *bundle.Config { return nil })
	runner, err := newHomeLegRunner(local, new(Gateway).explainPeerKeyRefusal, prometheus.NewRegistry())
	is.NoErr(err)
	for _, request := range []leg.Request{{Service: "new", Class: "class"}, {Service: "new", Class: "class", Forward: &forward.Request{}}} {
		var res leg.Result
		runner.Run(request, func(r leg.Result) { res = r })
		is.Equal(res.Code, result.NotReady)
		is.Equal(res.Outcome, result.OutcomeUnsent)
	}
	is.Equal(notReadyIfUnknown(leg.Failed(leg.Request{}, result.NoBackend, result.OutcomeUnsent, "")).Code, result.NotReady)
	is.Equal(notReadyIfUnknown(leg.Failed(leg.Request{}, result.NoBackend, result.OutcomeUnknown, "")).Code, result.NoBackend)
	is.Equal(runner.running.Load(), int64(0))
}

// Guards against sending bookings or searches with large bodies to homes on other hosts.
func TestOnlySmallMergedSearchesAreShared(t *testing.T) {
	is := is.New(t)
	c := coordinators{plain: new(scatter.Coordinator), shared: new(scatter.Coordinator)}
	search := &scatter.QuerySpec{Forward: &forward.Request{Merge: &forward.Merge{TopK: 5, Services: 180}}}
	is.True(c.of(search) == c.shared)
	search.Body = make([]byte, maxProxiedBodyBytes+1)
	is.True(c.of(search) == c.plain)
	is.True(c.of(&scatter.QuerySpec{Forward: &forward.Request{}}) == c.plain)
}

type noopCounter struct{}

func (noopCounter) Attempt(string, bool, bool)       {}
func (noopCounter) AttemptEnd(string, backend.Fault) {}
func (noopCounter) Cancelled(string)                 {}

// noopObserver is a homeserver.AttemptObserver that suspects no request.
type noopObserver struct{}

func (noopObserver) Started(ident.AttemptID, backend.Server, uint64) {}

func (noopObserver) Ended(ident.AttemptID, backend.Server, uint64, backend.CallResult) bool {
	return false
}

func (noopObserver) CheckLeg(leg.Request) *result.Error { return nil }
