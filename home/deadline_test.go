package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/result"
)

func serverFault() AttemptResult {
	return AttemptResult{Outcome: result.OutcomeRan, Fault: backend.FaultServerError}
}

// Guards against starting legs just too late for their soft deadline while others could
// still meet theirs.
func TestLegPastSoftDeadlineGoesLast(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.runLegs(200) // the service time gets known
	h.disableProbes()
	for range config().SlotsPerServer {
		h.submit(interactive, time.Second, true)
	}
	running := append([]Action(nil), h.running...)
	typical := h.home.classes[interactive].ownQuantiles.typical
	h.is.True(typical > 0)
	first, second := h.newLeg(interactive, time.Second), h.newLeg(interactive, 2*time.Second)
	first.SoftDeadline, second.SoftDeadline = h.now.Add(typical/2), h.now.Add(20*typical)
	late, timely := h.submitLeg(first), h.submitLeg(second)
	started := ofKind(h.finish(running[0], ran()), ActionStart)
	h.is.Equal(started[0].Leg, timely) // although the other one has the earlier soft deadline
	started = ofKind(h.finish(running[1], ran()), ActionStart)
	h.is.Equal(started[0].Leg, late) // still served with the remaining capacity
}

// Guards against running a failing request on more servers than MaxServers.
func TestMaxServersIsKept(t *testing.T) {
	h := newHarness(t, config(), 3)
	leg := h.newLeg(interactive, time.Second)
	leg.MaxServers, leg.Idempotent, leg.Forwarded = 2, true, true
	h.submitLeg(leg)
	retries := ofKind(h.finish(h.running[0], serverFault()), ActionStart)
	h.is.Equal(len(retries), 1)
	acts := h.finish(retries[0], serverFault())
	h.is.Equal(len(ofKind(acts, ActionStart)), 0)
	h.is.Equal(len(ofKind(acts, ActionFail)), 1)
}

// Guards against exceeding the retry budget with attempts after refusals when
// ChargeRefusals is set.
func TestChargeRefusals(t *testing.T) {
	cfg := config()
	cfg.ChargeRefusals, cfg.RetryBurst, cfg.RetryBudget = true, 3, 0.0001
	h := newHarness(t, cfg, 2)
	arrivals := 0
	const legs = 20
	for range legs {
		h.submit(interactive, 2*time.Second, true)
		for len(h.running) > 0 {
			arrivals++
			h.finish(h.running[0], shed())
		}
		h.advance(300 * time.Millisecond)
	}
	h.is.True(arrivals <= legs+3)
}

// Guards against optional legs that take a slot before legs that are needed.
func TestOptionalLegsGoLast(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.disableProbes()
	for range config().SlotsPerServer {
		h.submit(interactive, time.Second, true)
	}
	optional, needed := h.newLeg(interactive, time.Second), h.newLeg(interactive, time.Second)
	optional.SoftDeadline, optional.Optional = h.now.Add(200*time.Millisecond), true
	needed.SoftDeadline = h.now.Add(300 * time.Millisecond)
	h.submitLeg(optional)
	id := h.submitLeg(needed)
	started := ofKind(h.finish(h.running[0], ran()), ActionStart)
	h.is.Equal(started[0].Leg, id)
}

// Guards against a dispatch that never ends when a leg of the last of many classes
// finds no server.
func TestDispatchTerminatesWithManyClasses(t *testing.T) {
	cfg := config()
	cfg.AvoidStalled = true
	const classes = 100
	for i := len(cfg.Classes); i < classes; i++ {
		cfg.Classes = append(cfg.Classes, ClassSpec{Name: fmt.Sprint("class ", i), MaxQueue: 10, DefaultHedgeDelay: 10 * time.Millisecond})
	}
	h := newHarness(t, cfg, 2)
	h.disableProbes()
	h.submit(classes-1, time.Second, true)
	h.advance(11 * time.Millisecond) // its server is stalled
	for range cfg.SlotsPerServer {
		h.submit(classes-1, time.Second, true)
	}
	waiting := h.submit(classes-1, time.Second, true)
	h.is.Equal(len(h.running), 1+cfg.SlotsPerServer)
	for _, a := range h.running {
		h.is.True(a.Leg != waiting)
	}
}
