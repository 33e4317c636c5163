package home

import (
	"testing"
	"time"
)

// The index is cut into other shards, and each search goes to 270 services that the
// host has never asked. A server among them stands still. Its part was not asked for
// a second time for half a minute, until its own service had been asked often enough
// to tell slow from usual, though the others had answered thousands of parts.
func TestANewServiceIsHedgedByWhatTheOthersTell(t *testing.T) {
	cfg := config()
	cfg.HedgeBudget = 1
	cfg.LatencyStats = NewLatencyStats()
	known := newBench(t, cfg, 2)
	known.practise(200)

	fresh := newBench(t, cfg, 2)
	fresh.now = known.now
	fresh.submit(interactive, time.Second, true)
	usual := known.home.classes[interactive].quantiles()
	fresh.is.Equal(fresh.home.classes[interactive].quantiles(), usual)
	acts := fresh.pass(usual.slow * 2)
	starts := kinds(acts, ActionStart)
	fresh.is.Equal(len(starts), 1)
	fresh.is.True(starts[0].Hedge)
}

// A service whose servers are slower than the others' must not be hedged by the
// others' times once its own are known.
func TestOwnTimesGoBeforeSharedOnes(t *testing.T) {
	cfg := config()
	cfg.LatencyStats = NewLatencyStats()
	quick := newBench(t, cfg, 2)
	quick.practise(200)
	slow := &class{shared: cfg.LatencyStats.class(cfg.Classes[interactive].Name)}
	for range histogramLeast {
		slow.observed.add(time.Second)
	}
	slow.refresh(cfg.HedgeQuantile)
	quick.is.True(slow.quantiles().slow >= time.Second)
}
