package home

import (
	"testing"
	"time"
)

// Half of a service's servers turn slow and the rest run at their capacity. The
// screens' queries miss their targets, since slots go to second copies of legs
// that run already while first attempts of newer queries wait for one.
func TestNoHedgeTakesASlotThatALegWaitsFor(t *testing.T) {
	cfg := config()
	cfg.HedgeBudget, cfg.HedgeBurst = 1, 100
	b := newBench(t, cfg, 2)
	b.withoutProbes()
	b.practise(200) // the home learns what a straggler is, and earns hedges
	for range 4 {
		b.submit(interactive, time.Second, true)
	}
	waiting := b.submit(interactive, 2*time.Second, true)
	b.pass(100 * time.Millisecond) // all four are stragglers now
	started := kinds(b.finish(b.running[0], ran()), ActionStart)
	b.is.Equal(len(started), 1)
	b.is.Equal(started[0].Leg, waiting)
	b.is.True(!started[0].Hedge)
	// With nobody waiting the next free slot is a hedge's.
	started = kinds(b.finish(b.running[0], ran()), ActionStart)
	b.is.True(len(started) > 0)
	b.is.True(started[0].Hedge)
}

// Servers lose two in five of their answers for some seconds, and searches fail
// for three missing shards, within milliseconds and with most of the budget of
// extra arrivals unspent: it was set aside for hedges of legs that are only slow.
func TestLostAnswersMayUseTheHedgesBudget(t *testing.T) {
	cfg := config()
	cfg.HedgeBudget, cfg.HedgeBurst = 1, 10
	cfg.RetryBudget, cfg.RetryBurst = 0.0001, 2
	b := newBench(t, cfg, 2)
	b.practise(50)
	b.home.hedgeBudget.SetLimits(0.0001, 10) // what is earned is kept, and hardly more comes
	again := 0
	const lost = 20
	for range lost {
		b.submit(interactive, time.Second, true)
		first := b.running[len(b.running)-1]
		started := kinds(b.finish(first, unknown()), ActionStart)
		again += len(started)
		b.pass(mostEjection) // whatever was ejected is back
		for len(b.running) > 0 {
			b.finish(b.running[0], ran())
		}
	}
	b.is.Equal(again, 2+10) // both parts of the budget, and no more
}
