package home

import (
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/result"
)

const coldFor = 3 * time.Second

// newColdHarness has two servers that are cold from the start, with a limit of
// perSecond each.
func newColdHarness(t *testing.T, perSecond int) *harness {
	h := newHarness(t, config(), 0)
	for _, name := range []string{"s0", "s1"} {
		h.servers = append(h.servers, ServerSpec{
			Name: name, Incarnation: 1, SameZone: true, ColdUntil: h.now.Add(coldFor),
			Warmup: WarmupLimit{Duration: coldFor, PerSecond: perSecond},
		})
	}
	h.setServers()
	return h
}

// runLoad submits a leg every 10 ms, answers each after 5 ms and returns the start
// times by server.
func (h *harness) runLoad(duration time.Duration) map[string][]time.Time {
	starts := make(map[string][]time.Time)
	for end := h.now.Add(duration); h.now.Before(end); {
		h.submit(interactive, 200*time.Millisecond, true)
		for len(h.running) > 0 {
			a := h.running[0]
			starts[a.Server] = append(starts[a.Server], h.now)
			h.advance(5 * time.Millisecond)
			h.finish(a, ran())
		}
		h.advance(5 * time.Millisecond)
	}
	return starts
}

// Guards against exceeding the warm-up limit in any second while all servers of a
// service are cold under full load.
func TestColdServersStayWithinWarmupLimit(t *testing.T) {
	h := newColdHarness(t, 8)
	cold := h.runLoad(coldFor - 50*time.Millisecond)
	for _, starts := range cold {
		for i := range starts {
			if i >= 8 {
				h.is.True(starts[i].Sub(starts[i-8]) > time.Second)
			}
		}
	}
	h.is.True(len(cold["s0"])+len(cold["s1"]) >= 40) // the limit is used up
	h.advance(100 * time.Millisecond)
	warm := h.runLoad(time.Second)
	h.is.True(len(warm["s0"])+len(warm["s1"]) >= 80)
}

// Guards against legs that wait for cold servers which another host warms: they must
// fail at once as not run, with a retry hint.
func TestServersWarmedElsewhereGetNoLegs(t *testing.T) {
	h := newColdHarness(t, 0)
	h.submit(interactive, time.Second, false)
	h.is.Equal(len(h.running), 0)
	failed := h.lastActions[len(h.lastActions)-1]
	h.is.Equal(failed.Kind, ActionFail)
	h.is.Equal(failed.Code, result.NoBackend)
	h.is.True(failed.Outcome.NotRun())
	h.is.Equal(failed.RetryAfter, coldFor)
	h.is.True(h.home.Forecast(h.now, interactive).Unresponsive)

	h.servers[1].ColdUntil = time.Time{}
	h.setServers()
	for range 10 {
		h.submit(interactive, time.Second, true)
		for len(h.running) > 0 {
			h.is.Equal(h.running[0].Server, "s1")
			h.finish(h.running[0], ran())
		}
	}
}

// Guards against legs that stay queued when all servers turn cold and are warmed by
// another host.
func TestWaitingLegsFailWhenAllServersTurnCold(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.disableProbes()
	for range 4 {
		h.submit(interactive, time.Second, true)
	}
	h.is.Equal(len(h.running), 2)
	h.servers[0].ColdUntil = h.now.Add(coldFor)
	h.servers[0].Warmup = WarmupLimit{Duration: coldFor}
	h.setServers()
	failed := 0
	for _, a := range h.lastActions {
		if a.Kind == ActionFail && a.Outcome.NotRun() {
			failed++
		}
	}
	h.is.Equal(failed, 2)
}

// Guards against full load on a server that crashed and answered again before its new
// incarnation was known.
func TestUnreachableServerCountsAsCold(t *testing.T) {
	h := newHarness(t, config(), 2)
	for i := range h.servers {
		h.servers[i].Warmup = WarmupLimit{Duration: coldFor, PerSecond: 5}
	}
	h.setServers()
	h.runLegs(20)
	unreachable := ""
	for range 20 {
		h.submit(interactive, time.Second, true)
		a := h.running[len(h.running)-1]
		if unreachable == "" || a.Server == unreachable {
			unreachable = a.Server
			h.finish(a, AttemptResult{Outcome: result.OutcomeUnsent, Fault: backend.FaultUnreachable})
			break
		}
		h.finish(a, ran())
	}
	for len(h.running) > 0 {
		h.finish(h.running[0], ran())
	}
	h.advance(300 * time.Millisecond)
	starts := h.runLoad(time.Second)[unreachable]
	h.is.True(len(starts) <= 5)
}

// Guards against exceeding the warm-up limit in any order of cold reports, limit
// changes, restarts and elapsed time.
func TestWarmupLimitHoldsInAnyEventOrder(t *testing.T) {
	type event func(h *harness)
	spec := func(change func(s *ServerSpec)) event {
		return func(h *harness) { change(&h.servers[0]); h.setServers() }
	}
	events := []event{
		spec(func(s *ServerSpec) { s.ColdUntil = start.Add(time.Minute) }),
		spec(func(s *ServerSpec) { s.ColdUntil = time.Time{} }),
		spec(func(s *ServerSpec) { s.Warmup.PerSecond = 0 }),
		spec(func(s *ServerSpec) { s.Warmup.PerSecond = 3 }),
		spec(func(s *ServerSpec) { s.Incarnation++ }),
		func(h *harness) { h.advance(400 * time.Millisecond) },
	}
	var orders func(depth int, order []event)
	orders = func(depth int, order []event) {
		if depth == 0 {
			runColdEvents(t, func(h *harness, step func()) {
				for _, e := range order {
					e(h)
					step()
				}
			})
			return
		}
		for _, e := range events {
			orders(depth-1, append(order[:len(order):len(order)], e))
		}
	}
	orders(4, nil)
}

func runColdEvents(t *testing.T, runEvents func(h *harness, step func())) {
	t.Helper()
	h := newHarness(t, config(), 1)
	h.servers[0].Warmup = WarmupLimit{Duration: coldFor, PerSecond: 3}
	h.setServers()
	var coldStarts []time.Time
	runEvents(h, func() {
		cold := h.servers[0].ColdUntil.After(h.now)
		for range 6 {
			h.submit(interactive, time.Second, true)
			for len(h.running) > 0 {
				if cold {
					h.is.True(h.servers[0].Warmup.PerSecond > 0)
					coldStarts = append(coldStarts, h.now)
				}
				h.finish(h.running[0], ran())
			}
		}
	})
	for i := range coldStarts {
		if i >= 3 {
			h.is.True(coldStarts[i].Sub(coldStarts[i-3]) > time.Second)
		}
	}
}

// Guards against running a leg outside its regions, and against queueing it when the
// last server of its regions leaves.
func TestRegionRestrictedLegsStayInRegion(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.disableProbes()
	h.servers[0].Region, h.servers[1].Region = "north", "south"
	h.setServers()
	submitToNorth := func() {
		leg := h.newLeg(interactive, time.Second)
		leg.Idempotent, leg.Regions = true, []string{"north"}
		h.submitLeg(leg)
	}
	for range 4 {
		submitToNorth()
	}
	h.is.Equal(len(h.running), 2)
	for _, a := range h.running {
		h.is.Equal(a.Server, "s0")
	}
	h.servers[0].Leaving = true
	h.setServers()
	failed := 0
	for _, a := range h.lastActions {
		if a.Kind == ActionFail && a.Code == result.NoBackend && a.Outcome.NotRun() {
			failed++
		}
	}
	h.is.Equal(failed, 2)
	submitToNorth()
	h.is.Equal(h.lastActions[len(h.lastActions)-1].Code, result.NoBackend)
}
