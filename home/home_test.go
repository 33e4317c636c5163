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

// bench drives a home in a test and keeps what it asked for.
type bench struct {
	is      *is.I
	home    *Home
	now     time.Time
	next    LegID
	acts    []Action // of the last call
	running []Action // starts that have not ended
	servers []ServerSpec
}

func newBench(t *testing.T, cfg Config, servers int) *bench {
	t.Helper()
	b := &bench{is: is.New(t), home: New(cfg, 0), now: start}
	for i := range servers {
		b.servers = append(b.servers, ServerSpec{Name: fmt.Sprintf("s%d", i), Incarnation: 1, SameZone: true})
	}
	b.set()
	return b
}

// withoutProbes keeps the home from trying to send ahead.
func (b *bench) withoutProbes() {
	for _, s := range b.home.servers {
		s.ahead.nextProbe = start.Add(time.Hour)
	}
}

func (b *bench) set() { b.took(b.home.SetServers(b.now, b.servers, nil)) }

func (b *bench) took(acts []Action) []Action {
	b.acts = acts
	for _, a := range acts {
		if a.Kind == ActionStart {
			b.running = append(b.running, a)
		}
	}
	return acts
}

func (b *bench) submit(class int, in time.Duration, idempotent bool) LegID {
	leg := b.nextLeg(class, in)
	leg.Idempotent = idempotent
	return b.take(leg)
}

// nextLeg makes a leg that is not idempotent, for take.
func (b *bench) nextLeg(class int, in time.Duration) Leg {
	b.next++
	var request ident.RequestID
	request[0], request[1] = byte(b.next>>8), byte(b.next)
	return Leg{ID: b.next, Request: request, Class: class, Deadline: b.now.Add(in), Bytes: 100}
}

func (b *bench) take(leg Leg) LegID {
	b.took(b.home.Submit(b.now, leg, nil))
	return leg.ID
}

func (b *bench) finish(started Action, end AttemptResult) []Action {
	for i := range b.running {
		if b.running[i].Attempt == started.Attempt {
			b.running = append(b.running[:i], b.running[i+1:]...)
			break
		}
	}
	return b.took(b.home.Finish(b.now, started.Attempt, end, nil))
}

func (b *bench) pass(d time.Duration) []Action {
	b.now = b.now.Add(d)
	return b.took(b.home.Tick(b.now, nil))
}

// practise answers n legs in 5 ms each, so that the home knows service times.
func (b *bench) practise(n int) {
	for range n {
		b.submit(interactive, time.Second, true)
		started := b.running[len(b.running)-1]
		b.pass(5 * time.Millisecond)
		b.finish(started, ran())
	}
}

func ran() AttemptResult { return AttemptResult{Outcome: result.OutcomeRan} }
func shed() AttemptResult {
	return AttemptResult{Outcome: result.OutcomeRefused, Fault: backend.FaultShed}
}

func unknown() AttemptResult {
	return AttemptResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultConnectionLost}
}

func kinds(acts []Action, kind ActionKind) []Action {
	var out []Action
	for _, a := range acts {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

func TestNoServerRunsMoreThanItsSlots(t *testing.T) {
	b := newBench(t, config(), 2)
	for range 10 {
		b.submit(interactive, time.Second, true)
	}
	b.is.Equal(len(b.running), 4)
	perServer := map[string]int{}
	for _, a := range b.running {
		perServer[a.Server]++
	}
	b.is.Equal(perServer, map[string]int{"s0": 2, "s1": 2})
}

func TestWaitingLegsStartByDeadline(t *testing.T) {
	b := newBench(t, config(), 1)
	b.submit(interactive, time.Second, true)
	b.submit(interactive, time.Second, true)
	late := b.submit(interactive, 900*time.Millisecond, true)
	soon := b.submit(interactive, 300*time.Millisecond, true)
	acts := b.finish(b.running[0], ran())
	b.is.Equal(kinds(acts, ActionStart)[0].Leg, soon)
	acts = b.finish(b.running[0], ran())
	b.is.Equal(kinds(acts, ActionStart)[0].Leg, late)
}

// A screen's search has passed its deadline while its last leg waits. Running
// that leg would take a slot from a search that can still be answered, and at
// full load all searches would be late for each other's sake.
func TestLegsThatCannotBeInTimeAreDroppedBeforeTheyRun(t *testing.T) {
	b := newBench(t, config(), 1)
	b.practise(60)
	b.submit(interactive, time.Second, true)
	b.submit(interactive, time.Second, true)
	waits := b.submit(interactive, 50*time.Millisecond, true)
	b.is.True(b.home.NextTick().Before(b.now.Add(50 * time.Millisecond)))
	b.now = b.now.Add(46 * time.Millisecond)
	failed := kinds(b.took(b.home.Tick(b.now, nil)), ActionFail)
	b.is.Equal(len(failed), 1)
	b.is.Equal(failed[0].Leg, waits)
	b.is.Equal(failed[0].Code, result.DeadlineUnmeetable)
	b.is.True(failed[0].Outcome.NotRun())
}

// Exports fill every slot in a quiet second. A screen that asks next waits for
// one slot only, and then gets its share back before any further export.
func TestABusyClassYieldsToAnotherAtTheNextSlot(t *testing.T) {
	b := newBench(t, config(), 2)
	b.withoutProbes()
	for range 20 {
		b.submit(batch, 10*time.Second, true)
	}
	b.pass(time.Second)
	screen := b.submit(interactive, 11*time.Second, true)
	b.is.Equal(len(b.running), 4)
	acts := b.finish(b.running[0], ran())
	b.is.Equal(kinds(acts, ActionStart)[0].Leg, screen)
}

func TestLongWorkLeavesReservedSlotsFree(t *testing.T) {
	b := newBench(t, config(), 2)
	b.withoutProbes()
	b.practise(20)
	b.submit(batch, 10*time.Second, true)
	b.pass(500 * time.Millisecond)
	b.finish(b.running[0], ran())
	b.practise(1)
	for range 20 {
		b.submit(batch, 10*time.Second, true)
	}
	b.is.Equal(len(b.running), 1) // of four slots, three are reserved

	b.pass(activeFor + time.Millisecond)
	b.is.Equal(len(b.running), 4) // lent once no screen asked for a while
}

func TestQueueIsBoundedInCountAndBytes(t *testing.T) {
	cfg := config()
	cfg.Classes[interactive].MaxQueue = 3
	b := newBench(t, cfg, 1)
	for range 5 {
		b.submit(interactive, time.Second, true)
	}
	b.is.Equal(len(kinds(b.acts, ActionFail)), 0)
	b.submit(interactive, time.Second, true)
	failed := kinds(b.acts, ActionFail)
	b.is.Equal(failed[0].Code, result.Overloaded)
	b.is.True(failed[0].RetryAfter > 0)

	cfg = config()
	cfg.MaxQueueBytes = 150
	b = newBench(t, cfg, 1)
	for range 4 {
		b.submit(interactive, time.Second, true)
	}
	b.is.Equal(kinds(b.acts, ActionFail)[0].Code, result.Overloaded)
}
