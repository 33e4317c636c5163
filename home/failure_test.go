package home

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Guards against waiting for a straggler, and against leaving the losing attempt
// running.
func TestStragglerIsHedgedAndLoserCancelled(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.runLegs(100)
	leg := h.submit(interactive, time.Second, true)
	first := h.running[0]
	h.is.True(!h.home.NextTick().IsZero())
	acts := h.advance(15 * time.Millisecond)
	hedges := ofKind(acts, ActionStart)
	h.is.Equal(len(hedges), 1)
	h.is.True(hedges[0].Hedge)
	h.is.Equal(hedges[0].Leg, leg)
	h.is.True(hedges[0].Server != first.Server)

	acts = h.finish(hedges[0], ran())
	h.is.Equal(ofKind(acts, ActionAnswer)[0].Attempt, hedges[0].Attempt)
	h.is.Equal(ofKind(acts, ActionCancel)[0].Attempt, first.Attempt)
	h.finish(first, AttemptResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultCancelled})
	h.is.Equal(len(h.lastActions), 0) // the end of the losing attempt changes nothing
}

// Guards against running a request that isn't idempotent twice.
func TestNonIdempotentLegIsNeverHedgedOrRetriedAfterUnknown(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.runLegs(100)
	h.submit(interactive, 10*time.Second, false)
	first := h.running[0]
	h.is.Equal(len(h.advance(5*time.Second)), 0)
	failed := ofKind(h.finish(first, unknown()), ActionFail)
	h.is.Equal(failed[0].Code, result.OutcomeNotKnown)
	h.is.Equal(failed[0].Outcome, result.OutcomeUnknown)
	h.is.Equal(len(h.running), 0)
}

func TestRefusedAttemptIsRetriedElsewhere(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t, config(), 2)
		h.submit(interactive, time.Second, idempotent)
		first := h.running[0]
		retries := ofKind(h.finish(first, shed()), ActionStart)
		h.is.Equal(len(retries), 1)
		h.is.True(retries[0].Retry)
		h.is.True(retries[0].Server != first.Server)
		h.is.Equal(len(ofKind(h.finish(retries[0], ran()), ActionAnswer)), 1)
	}
}

// Guards against a request that crashes one server after the other.
func TestLegFailsAfterTwoUnknownOutcomes(t *testing.T) {
	h := newHarness(t, config(), 4)
	h.submit(interactive, time.Second, true)
	retries := ofKind(h.finish(h.running[0], unknown()), ActionStart)
	h.is.Equal(len(retries), 1)
	failed := ofKind(h.finish(retries[0], unknown()), ActionFail)
	h.is.Equal(failed[0].Code, result.OutcomeNotKnown)
}

// Guards against a retry storm, and late failures, while every server of a service
// sheds.
func TestNoRetryStormWhenAllServersRefuse(t *testing.T) {
	h := newHarness(t, config(), 2)
	attempts, failed, notRun, legs := 0, 0, 0, 0
	var slowest time.Duration
	submittedAt := map[LegID]time.Time{}
	for range 3000 {
		h.now = h.now.Add(2 * time.Millisecond)
		legs++
		submittedAt[h.submit(interactive, 2*time.Second, true)] = h.now
		all := append([]Action(nil), h.lastActions...)
		if next := h.home.NextTick(); !next.IsZero() && !next.After(h.now) {
			all = append(all, h.advance(0)...)
		}
		for len(h.running) > 0 {
			attempts++
			all = append(all, h.finish(h.running[0], shed())...)
		}
		for _, a := range ofKind(all, ActionFail) {
			failed++
			if a.Outcome.NotRun() && a.Code.NotRun() {
				notRun++
			}
			slowest = max(slowest, h.now.Sub(submittedAt[a.Leg]))
		}
	}
	h.is.True(attempts < legs/4)
	h.is.True(failed > legs*9/10)
	h.is.Equal(notRun, failed)
	h.is.True(slowest < time.Second) // of a deadline of 2 s
}

// Guards against sending legs to a server that leaves or drains, before its next
// incarnation.
func TestLeavingServersGetNoLegs(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.servers[0].Leaving = true
	h.setServers()
	for range 6 {
		h.submit(interactive, time.Second, true)
	}
	h.is.Equal(len(h.running), 2)
	end := ran()
	end.HasLoad, end.Load = true, backend.Load{Draining: true}
	h.finish(h.running[0], end)
	for _, a := range h.running {
		h.is.Equal(a.Server, "s1")
	}
	h.is.Equal(len(h.running), 1) // the attempt still running there
	failed := ofKind(h.lastActions, ActionFail)
	h.is.Equal(len(failed), 4) // no server is left: fails at once
	h.is.Equal(failed[0].Code, result.NoBackend)

	h.servers[1].Incarnation = 2
	h.setServers()
	h.submit(interactive, time.Second, true)
	h.is.Equal(h.running[len(h.running)-1].Server, "s1")
}

// Guards against ejecting all servers after a network fault that affects them all.
func TestFaultsEverywhereDoNotEjectAllServers(t *testing.T) {
	h := newHarness(t, config(), 2)
	for range 40 {
		h.submit(interactive, time.Second, true)
		for len(h.running) > 0 {
			h.finish(h.running[0], AttemptResult{Outcome: result.OutcomeUnsent, Fault: backend.FaultUnreachable})
		}
		h.now = h.now.Add(5 * time.Millisecond)
	}
	ejected := 0
	for _, s := range h.home.servers {
		if h.now.Before(s.ejectedUntil) {
			ejected++
		}
	}
	h.is.True(ejected <= 1)
	h.advance(maxPause)
	h.submit(interactive, time.Second, true)
	h.is.True(len(h.running) > 0)
}

// Guards against sending half of the legs to a slow server because it looks idle.
func TestSlowServerIsAvoidedWhileQueueIsShort(t *testing.T) {
	h := newHarness(t, config(), 2)
	for range 40 {
		h.submit(interactive, 10*time.Second, true)
		h.submit(interactive, 10*time.Second, true)
		h.now = h.now.Add(5 * time.Millisecond)
		for i := len(h.running) - 1; i >= 0; i-- {
			if h.running[i].Server == "s1" {
				h.finish(h.running[i], ran())
			}
		}
	}
	toSlow := 0
	for _, a := range h.running {
		if a.Server == "s0" {
			toSlow++
		}
	}
	h.is.True(toSlow <= 2) // those sent before it was known to be slow
}

func TestRestartedServerHasSlowStart(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.runLegs(20)
	h.servers[0].Incarnation = 2
	h.setServers()
	for range 6 {
		h.submit(interactive, time.Second, true)
	}
	onNew := 0
	for _, a := range h.running {
		if a.Server == "s0" {
			onNew++
		}
	}
	h.is.Equal(onNew, 1)
	h.is.Equal(len(h.running), 3)
}

func TestLegOutcomeIsLeastCertain(t *testing.T) {
	is := is.New(t)
	l := &leg{outcome: result.OutcomeUnsent}
	l.recordOutcome(result.OutcomeRefused)
	is.True(l.outcome.NotRun())
	l.recordOutcome(result.OutcomeUnknown)
	l.recordOutcome(result.OutcomeRefused)
	is.Equal(l.failureCode(result.RetryBudgetSpent), result.OutcomeNotKnown)
}

// Guards against a next tick in the past, which makes the caller spin, when a pause
// ends and nothing can be started.
func TestNextTickIsNeverInThePast(t *testing.T) {
	h := newHarness(t, config(), 2)
	for range 4 {
		h.submit(interactive, time.Second, true)
	}
	h.home.findServer("s0").recordRefusal(h.now, time.Millisecond, 0)
	for i := len(h.running) - 1; i >= 0; i-- {
		if h.running[i].Server == "s0" {
			h.finish(h.running[i], unknown())
		}
	}
	for range 50 {
		h.advance(minPause)
		next := h.home.NextTick()
		h.is.True(next.IsZero() || next.After(h.now))
	}
}

// Guards against two homes that fill the same slots, and against keeping the lower
// limit once a home is alone again.
func TestRefusalsReduceSlotLimit(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.disableProbes()
	h.submit(interactive, time.Second, true)
	h.submit(interactive, time.Second, true)
	h.finish(h.running[1], shed())
	h.advance(100 * time.Millisecond)
	h.is.Equal(len(h.running), 1) // the other slot is in use elsewhere
	for range answersPerRegainedSlot {
		h.finish(h.running[0], ran())
		h.submit(interactive, time.Second, true)
	}
	h.is.Equal(len(h.running), 2)
}
