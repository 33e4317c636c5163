package homeserver

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// heldRunner answers calls when they are released.
type heldRunner struct{ release chan struct{} }

func (r heldRunner) Run(ctx context.Context, _ backend.Server, _ backend.Call) backend.CallResult {
	select {
	case <-r.release:
		return backend.CallResult{Outcome: result.OutcomeRan}
	case <-ctx.Done():
		return backend.CallResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultDeadline}
	}
}

// callingObserver calls a function in each of its methods.
type callingObserver struct{ call func(callback string) }

func (o callingObserver) Started(ident.AttemptID, backend.Server, uint64) { o.call("started") }

func (o callingObserver) Ended(ident.AttemptID, backend.Server, uint64, backend.CallResult) bool {
	o.call("ended")
	return false
}

func (o callingObserver) CheckLeg(leg.Request) *result.Error {
	o.call("check")
	return nil
}

// reentrantServer is a Server whose callbacks call all of its methods that lock.
type reentrantServer struct {
	*Server
	mu       sync.Mutex
	calls    map[string]int // by callback
	config   *bundle.Config
	released heldRunner
}

func newReentrantServer(config *bundle.Config) *reentrantServer {
	r := &reentrantServer{calls: make(map[string]int), config: config, released: heldRunner{make(chan struct{})}}
	currentConfig := func() *bundle.Config {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.config
	}
	r.Server = New(r.released, noCounter{}, callingObserver{r.reenter}, time.Now, currentConfig)
	r.SetOnServerChange(func(string, home.ServerChange) { r.reenter("change") })
	r.SetConfigOverride(func(*home.Config) { r.reenter("override") })
	return r
}

// reenter counts the callback and calls the server. Only the first call of each kind refreshes, since
// a Refresh leads to callbacks again.
func (r *reentrantServer) reenter(callback string) {
	r.mu.Lock()
	r.calls[callback]++
	first := r.calls[callback] == 1
	r.mu.Unlock()
	r.Forecast("s", "a")
	r.ServerNearZone("s", "zone")
	r.OpenLegs()
	if first {
		r.Refresh()
		r.ReapplyConfig()
	}
}

func (r *reentrantServer) setConfig(config *bundle.Config) {
	r.mu.Lock()
	r.config = config
	r.mu.Unlock()
	r.Refresh()
}

func (r *reentrantServer) submit(deadline time.Duration, results chan<- leg.Result) {
	r.Run(leg.Request{
		Request: ident.NewRequestID(), Service: "s", Class: "a", Deadline: time.Now().Add(deadline), Idempotent: true,
	}, func(res leg.Result) {
		r.reenter("done")
		results <- res
	})
}

// servers returns one server with one slot, which may be leaving.
func (r *reentrantServer) servers(leaving bool) map[string][]KnownServer {
	return map[string][]KnownServer{"s": {{Server: backend.Server{Name: "a", Service: "s", Zone: "zone"}, Leaving: leaving, Slots: 1}}}
}

// within fails the test if f hangs.
func within(t *testing.T, what string, f func()) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f()
	}()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%s hangs", what)
	}
}

// Guards against a host that hangs for good: a change of the configuration, the limits or the
// servers completes legs that wait, and what is told of them asks the same server for a forecast.
func TestCallbacksMayCallTheServer(t *testing.T) {
	for _, change := range []string{"configuration", "limits", "servers", "new home"} {
		t.Run(change, func(t *testing.T) {
			is := is.New(t)
			r := newReentrantServer(configWith(t, 1, "a"))
			results := make(chan leg.Result, 4)
			within(t, "the first leg", func() {
				r.SetServers(r.servers(false))
				r.submit(time.Minute, results) // holds the only slot
				r.submit(300*time.Millisecond, results)
			})
			switch change {
			case "configuration":
				// The time of the leg that waits ends before its timer fires, as for legs whose
				// class has slower requests in the next configuration.
				r.holdTimer("s")
				time.Sleep(400 * time.Millisecond)
				within(t, change, func() { r.setConfig(configWith(t, 2, "a", "b")) })
			case "limits":
				r.holdTimer("s")
				time.Sleep(400 * time.Millisecond)
				within(t, change, r.ReapplyConfig)
			case "servers":
				within(t, change, func() { r.SetServers(r.servers(true)) })
			case "new home":
				within(t, change, func() {
					r.Run(leg.Request{Request: ident.NewRequestID(), Service: "other", Class: "a", Deadline: time.Now().Add(time.Minute)},
						func(leg.Result) { r.reenter("done") })
				})
			}
			is.True(receive(t, results).Outcome.NotRun()) // the leg that waited
			close(r.released.release)
			is.Equal(receive(t, results).Outcome, result.OutcomeRan)
			within(t, "the server", func() { r.Forecast("s", "a") })
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, callback := range []string{"started", "ended", "check", "override", "done"} {
				if r.calls[callback] == 0 {
					t.Errorf("callback %q was not called", callback)
				}
			}
		})
	}
}

// holdTimer stops the timer of the service's home, so that the next change finds what was due.
func (r *reentrantServer) holdTimer(service string) {
	svc := r.find(service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.timer.Stop()
}

// Guards against homes that keep older servers or an older configuration: two goroutines that
// publish changes, and a home that is opened in between, reach a home in any order.
func TestHomesEndWithTheNewestState(t *testing.T) {
	const changes = 300
	for round := range 5 {
		s := newTestServer(configWith(t, 1, "class"))
		var wg sync.WaitGroup
		publish := func(change func(i uint64)) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range uint64(changes) {
					change(i)
				}
			}()
		}
		for range 2 {
			publish(func(i uint64) {
				s.SetServers(map[string][]KnownServer{"s": {{Server: backend.Server{Name: fmt.Sprint(i), Service: "s"}}}})
			})
		}
		publish(func(i uint64) {
			s.config.Store(configWith(t, 2+i, "class"))
			s.Refresh()
		})
		publish(func(uint64) { s.run("class") })
		wg.Wait()
		svc, desired := s.find("s"), s.desired.Load()
		if svc.followed.Load() != desired {
			t.Fatalf("round %d: the home follows version %d, the newest is %d", round, svc.followed.Load().version, desired.version)
		}
		svc.mu.Lock()
		for _, k := range desired.servers["s"] {
			if _, known := svc.servers[k.Server.Name]; !known || len(svc.servers) != 1 {
				t.Errorf("round %d: the home has the servers %v, the newest is %s", round, svc.servers, k.Server.Name)
			}
		}
		svc.mu.Unlock()
	}
}

// Guards against a home that keeps older servers until its next leg: they change after the home was
// created and before it is in the table.
func TestHomeOpenedBesideAChangeFollowsIt(t *testing.T) {
	is := is.New(t)
	s := newTestServer(configWith(t, 1, "class"))
	changed := false
	s.SetConfigOverride(func(*home.Config) {
		if !changed {
			changed = true
			s.SetServers(map[string][]KnownServer{"s": {{Server: backend.Server{Name: "b", Service: "s"}}}})
		}
	})
	receive(t, s.run("class"))
	is.True(changed)
	svc := s.find("s")
	is.Equal(svc.followed.Load(), s.desired.Load())
	_, known := svc.servers["b"]
	is.True(known)
}
