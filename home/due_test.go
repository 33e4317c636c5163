package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/result"
)

func failedRun() AttemptResult {
	return AttemptResult{Outcome: result.OutcomeRan, Fault: backend.FaultServerError}
}

// Screens see no picks in time while their service runs a little above its
// capacity: each leg starts a moment before it is due, ends a moment after, and
// is left out. The leg that can still make it must go first.
func TestLegThatCannotMakeItsDueTimeGoesLast(t *testing.T) {
	b := newBench(t, config(), 1)
	b.practise(200) // the home learns the service time
	b.withoutProbes()
	for range config().SlotsPerServer {
		b.submit(interactive, time.Second, true)
	}
	running := append([]Action(nil), b.running...)
	typical := b.home.classes[interactive].own.typical
	b.is.True(typical > 0)
	first, second := b.nextLeg(interactive, time.Second), b.nextLeg(interactive, 2*time.Second)
	first.SoftDeadline, second.SoftDeadline = b.now.Add(typical/2), b.now.Add(20*typical)
	late, timely := b.take(first), b.take(second)
	started := kinds(b.finish(running[0], ran()), ActionStart)
	b.is.Equal(started[0].Leg, timely) // though the other was due before it
	started = kinds(b.finish(running[1], ran()), ActionStart)
	b.is.Equal(started[0].Leg, late) // served all the same, with what is left
}

// A request may be sent to two servers at most. Both fail it; a third one of
// the service must not run it as well.
func TestLegIsNotSentToMoreServersThanAllowed(t *testing.T) {
	b := newBench(t, config(), 3)
	leg := b.nextLeg(interactive, time.Second)
	leg.MaxServers, leg.Idempotent, leg.Forwarded = 2, true, true
	b.take(leg)
	again := kinds(b.finish(b.running[0], failedRun()), ActionStart)
	b.is.Equal(len(again), 1)
	acts := b.finish(again[0], failedRun())
	b.is.Equal(len(kinds(acts, ActionStart)), 0)
	b.is.Equal(len(kinds(acts, ActionFail)), 1)
}

// Each arrival beyond the first counts against the service's budget, refused
// ones too. All servers refuse: once the budget is spent nothing is sent again.
func TestRefusalsAreChargedWhereTheyCount(t *testing.T) {
	cfg := config()
	cfg.ChargeRefusals, cfg.RetryBurst, cfg.RetryBudget = true, 3, 0.0001
	b := newBench(t, cfg, 2)
	arrivals := 0
	const legs = 20
	for range legs {
		b.submit(interactive, 2*time.Second, true)
		for len(b.running) > 0 {
			arrivals++
			b.finish(b.running[0], shed())
		}
		b.pass(300 * time.Millisecond)
	}
	b.is.True(arrivals <= legs+3)
}

// A service is above its capacity, and some searches can do without it. Their
// legs must not take a slot that a leg which is needed waits for.
func TestOptionalLegsStandLast(t *testing.T) {
	b := newBench(t, config(), 1)
	b.withoutProbes()
	for range config().SlotsPerServer {
		b.submit(interactive, time.Second, true)
	}
	optional, needed := b.nextLeg(interactive, time.Second), b.nextLeg(interactive, time.Second)
	optional.SoftDeadline, optional.Optional = b.now.Add(200*time.Millisecond), true
	needed.SoftDeadline = b.now.Add(300 * time.Millisecond)
	b.take(optional)
	id := b.take(needed)
	started := kinds(b.finish(b.running[0], ran()), ActionStart)
	b.is.Equal(started[0].Leg, id)
}

// An operator's routes have a hundred different targets, so a service has a
// hundred classes. A leg of the last one finds no server, though one has a free
// slot: it stands still. The host used its whole processor on that decision for
// good.
func TestDecisionEndsWithManyClasses(t *testing.T) {
	cfg := config()
	cfg.AvoidStalled = true
	const classes = 100
	for i := len(cfg.Classes); i < classes; i++ {
		cfg.Classes = append(cfg.Classes, ClassSpec{Name: fmt.Sprint("class ", i), MaxQueue: 10, DefaultHedgeDelay: 10 * time.Millisecond})
	}
	b := newBench(t, cfg, 2)
	b.withoutProbes()
	b.submit(classes-1, time.Second, true)
	b.pass(11 * time.Millisecond) // its server stands still
	for range cfg.SlotsPerServer {
		b.submit(classes-1, time.Second, true)
	}
	waits := b.submit(classes-1, time.Second, true)
	b.is.Equal(len(b.running), 1+cfg.SlotsPerServer)
	for _, a := range b.running {
		b.is.True(a.Leg != waits)
	}
}
