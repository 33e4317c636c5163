package home

import (
	"testing"
	"time"
)

// Guards against hedges that take slots from waiting first attempts near capacity.
func TestHedgesYieldToWaitingLegs(t *testing.T) {
	cfg := config()
	cfg.HedgeBudget, cfg.HedgeBurst = 1, 100
	h := newHarness(t, cfg, 2)
	h.disableProbes()
	h.runLegs(200) // service times get known and hedges are earned
	for range 4 {
		h.submit(interactive, time.Second, true)
	}
	waiting := h.submit(interactive, 2*time.Second, true)
	h.advance(100 * time.Millisecond) // all four attempts are past the hedge delay
	started := ofKind(h.finish(h.running[0], ran()), ActionStart)
	h.is.Equal(len(started), 1)
	h.is.Equal(started[0].Leg, waiting)
	h.is.True(!started[0].Hedge)
	// With no leg waiting the next free slot goes to a hedge.
	started = ofKind(h.finish(h.running[0], ran()), ActionStart)
	h.is.True(len(started) > 0)
	h.is.True(started[0].Hedge)
}

// Guards against failing legs after lost answers while the hedge budget is unspent.
func TestRetriesMayUseHedgeBudget(t *testing.T) {
	cfg := config()
	cfg.HedgeBudget, cfg.HedgeBurst = 1, 10
	cfg.RetryBudget, cfg.RetryBurst = 0.0001, 2
	h := newHarness(t, cfg, 2)
	h.runLegs(50)
	h.home.hedgeBudget.SetLimits(0.0001, 10) // keeps what was earned and earns hardly any more
	retries := 0
	const lost = 20
	for range lost {
		h.submit(interactive, time.Second, true)
		first := h.running[len(h.running)-1]
		started := ofKind(h.finish(first, unknown()), ActionStart)
		retries += len(started)
		h.advance(maxEjection) // ends any ejection
		for len(h.running) > 0 {
			h.finish(h.running[0], ran())
		}
	}
	h.is.Equal(retries, 2+10) // both bursts, and no more
}
