package home

import (
	"testing"
	"time"
)

// Guards against late hedges at a service that has too few samples of its own.
func TestNewServiceIsHedgedBySharedTimes(t *testing.T) {
	cfg := config()
	cfg.HedgeBudget = 1
	cfg.LatencyStats = NewLatencyStats()
	known := newHarness(t, cfg, 2)
	known.runLegs(200)

	fresh := newHarness(t, cfg, 2)
	fresh.now = known.now
	fresh.submit(interactive, time.Second, true)
	expected := known.home.classes[interactive].quantiles()
	fresh.is.Equal(fresh.home.classes[interactive].quantiles(), expected)
	acts := fresh.advance(expected.slow * 2)
	starts := ofKind(acts, ActionStart)
	fresh.is.Equal(len(starts), 1)
	fresh.is.True(starts[0].Hedge)
}

// Guards against hedging a slower service by the times of the others once its own are
// known.
func TestOwnTimesOverrideSharedTimes(t *testing.T) {
	cfg := config()
	cfg.LatencyStats = NewLatencyStats()
	quick := newHarness(t, cfg, 2)
	quick.runLegs(200)
	slow := &class{sharedLatencies: cfg.LatencyStats.forClass(cfg.Classes[interactive].Name)}
	for range minHistogramSamples {
		slow.latencies.add(time.Second)
	}
	slow.refreshQuantiles(cfg.HedgeQuantile)
	quick.is.True(slow.quantiles().slow >= time.Second)
}
