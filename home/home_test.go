package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

const (
	interactive = iota
	batch
)

func config() Config {
	return Config{
		Service: "booking-desk-00", SlotsPerServer: 2,
		Classes: []ClassSpec{
			interactive: {ReservedShare: 0.75, MaxQueue: 100},
			batch:       {ReservedShare: 0.25, MaxQueue: 100},
		},
		HedgeBudget: 0.02, HedgeQuantile: 0.95, RetryBudget: 0.1,
	}
}

// harness drives a home in a test and records its actions.
type harness struct {
	is          *is.I
	home        *Home
	now         time.Time
	lastID      LegID
	lastActions []Action // returned by the last call
	running     []Action // started attempts that haven't ended
	servers     []ServerSpec
}

func newHarness(t *testing.T, cfg Config, servers int) *harness {
	t.Helper()
	h := &harness{is: is.New(t), home: New(cfg, 0), now: start}
	for i := range servers {
		h.servers = append(h.servers, ServerSpec{Name: fmt.Sprintf("s%d", i), Incarnation: 1, SameZone: true})
	}
	h.setServers()
	return h
}

// disableProbes keeps the home from pipelining attempts.
func (h *harness) disableProbes() {
	for _, s := range h.home.servers {
		s.pipeline.nextProbe = start.Add(time.Hour)
	}
}

func (h *harness) setServers() { h.record(h.home.SetServers(h.now, h.servers, nil)) }

func (h *harness) record(acts []Action) []Action {
	h.lastActions = acts
	for _, a := range acts {
		if a.Kind == ActionStart {
			h.running = append(h.running, a)
		}
	}
	return acts
}

func (h *harness) submit(class int, in time.Duration, idempotent bool) LegID {
	leg := h.newLeg(class, in)
	leg.Idempotent = idempotent
	return h.submitLeg(leg)
}

// newLeg returns a leg that isn't idempotent.
func (h *harness) newLeg(class int, in time.Duration) Leg {
	h.lastID++
	var request ident.RequestID
	request[0], request[1] = byte(h.lastID>>8), byte(h.lastID)
	return Leg{ID: h.lastID, Request: request, Class: class, Deadline: h.now.Add(in), Bytes: 100}
}

func (h *harness) submitLeg(leg Leg) LegID {
	h.record(h.home.Submit(h.now, leg, nil))
	return leg.ID
}

func (h *harness) finish(started Action, end AttemptResult) []Action {
	for i := range h.running {
		if h.running[i].Attempt == started.Attempt {
			h.running = append(h.running[:i], h.running[i+1:]...)
			break
		}
	}
	return h.record(h.home.Finish(h.now, started.Attempt, end, nil))
}

func (h *harness) advance(d time.Duration) []Action {
	h.now = h.now.Add(d)
	return h.record(h.home.Tick(h.now, nil))
}

// runLegs answers n legs after 5 ms each, so that service times are known.
func (h *harness) runLegs(n int) {
	for range n {
		h.submit(interactive, time.Second, true)
		started := h.running[len(h.running)-1]
		h.advance(5 * time.Millisecond)
		h.finish(started, ran())
	}
}

func ran() AttemptResult { return AttemptResult{Outcome: result.OutcomeRan} }
func shed() AttemptResult {
	return AttemptResult{Outcome: result.OutcomeRefused, Fault: backend.FaultShed}
}

func unknown() AttemptResult {
	return AttemptResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultConnectionLost}
}

func ofKind(acts []Action, kind ActionKind) []Action {
	var out []Action
	for _, a := range acts {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

func TestNoServerRunsMoreThanItsSlots(t *testing.T) {
	h := newHarness(t, config(), 2)
	for range 10 {
		h.submit(interactive, time.Second, true)
	}
	h.is.Equal(len(h.running), 4)
	perServer := map[string]int{}
	for _, a := range h.running {
		perServer[a.Server]++
	}
	h.is.Equal(perServer, map[string]int{"s0": 2, "s1": 2})
}

func TestWaitingLegsStartByDeadline(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.submit(interactive, time.Second, true)
	h.submit(interactive, time.Second, true)
	late := h.submit(interactive, 900*time.Millisecond, true)
	soon := h.submit(interactive, 300*time.Millisecond, true)
	acts := h.finish(h.running[0], ran())
	h.is.Equal(ofKind(acts, ActionStart)[0].Leg, soon)
	acts = h.finish(h.running[0], ran())
	h.is.Equal(ofKind(acts, ActionStart)[0].Leg, late)
}

// Guards against using slots for legs that can't be answered before their deadline.
func TestLateLegsFailBeforeTheyRun(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.runLegs(60)
	h.submit(interactive, time.Second, true)
	h.submit(interactive, time.Second, true)
	waiting := h.submit(interactive, 50*time.Millisecond, true)
	h.is.True(h.home.NextTick().Before(h.now.Add(50 * time.Millisecond)))
	h.now = h.now.Add(46 * time.Millisecond)
	failed := ofKind(h.record(h.home.Tick(h.now, nil)), ActionFail)
	h.is.Equal(len(failed), 1)
	h.is.Equal(failed[0].Leg, waiting)
	h.is.Equal(failed[0].Code, result.DeadlineUnmeetable)
	h.is.True(failed[0].Outcome.NotRun())
}

// Guards against a class that used all slots delaying another one beyond the next free
// slot.
func TestBusyClassYieldsNextSlot(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.disableProbes()
	for range 20 {
		h.submit(batch, 10*time.Second, true)
	}
	h.advance(time.Second)
	interactiveLeg := h.submit(interactive, 11*time.Second, true)
	h.is.Equal(len(h.running), 4)
	acts := h.finish(h.running[0], ran())
	h.is.Equal(ofKind(acts, ActionStart)[0].Leg, interactiveLeg)
}

func TestLongWorkLeavesReservedSlotsFree(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.disableProbes()
	h.runLegs(20)
	h.submit(batch, 10*time.Second, true)
	h.advance(500 * time.Millisecond)
	h.finish(h.running[0], ran())
	h.runLegs(1)
	for range 20 {
		h.submit(batch, 10*time.Second, true)
	}
	h.is.Equal(len(h.running), 1) // of four slots, three are reserved

	h.advance(classActiveFor + time.Millisecond)
	h.is.Equal(len(h.running), 4) // lent once the other class is inactive
}

func TestQueueIsBoundedInCountAndBytes(t *testing.T) {
	cfg := config()
	cfg.Classes[interactive].MaxQueue = 3
	h := newHarness(t, cfg, 1)
	for range 5 {
		h.submit(interactive, time.Second, true)
	}
	h.is.Equal(len(ofKind(h.lastActions, ActionFail)), 0)
	h.submit(interactive, time.Second, true)
	failed := ofKind(h.lastActions, ActionFail)
	h.is.Equal(failed[0].Code, result.Overloaded)
	h.is.True(failed[0].RetryAfter > 0)

	cfg = config()
	cfg.MaxQueueBytes = 150
	h = newHarness(t, cfg, 1)
	for range 4 {
		h.submit(interactive, time.Second, true)
	}
	h.is.Equal(ofKind(h.lastActions, ActionFail)[0].Code, result.Overloaded)
}
