package home

import (
	"testing"
	"time"
)

// Guards against sending legs to a server that has stalled.
func TestStalledServerGetsNoLegs(t *testing.T) {
	cfg := config()
	cfg.AvoidStalled = true
	h := newHarness(t, cfg, 2)
	h.disableProbes()
	h.runLegs(200)
	h.submit(interactive, time.Second, true)
	stalled := h.running[0]
	slow := h.home.classes[interactive].ownQuantiles.slow
	h.is.True(slow > 0)
	h.advance(slow + time.Millisecond)
	for range 3 {
		h.submit(interactive, time.Second, true)
	}
	for _, a := range h.running[1:] {
		h.is.True(a.Server != stalled.Server)
	}
	// An answer ends the stall.
	h.finish(stalled, ran())
	h.submit(interactive, time.Second, true)
	h.is.Equal(h.running[len(h.running)-1].Server, stalled.Server)
}

// Guards against waiting for the hedge delay of a leg that was sent to a server just
// before it stalled.
func TestYoungAttemptsAtStalledServerAreHedged(t *testing.T) {
	cfg := config()
	cfg.AvoidStalled = true
	h := newHarness(t, cfg, 2)
	h.disableProbes()
	h.runLegs(400) // also fills the hedge budget
	slow := h.home.classes[interactive].ownQuantiles.slow
	for range 2*cfg.SlotsPerServer - 1 {
		h.submit(interactive, time.Second, true)
	}
	free := h.home.servers[0]
	if len(free.running) == cfg.SlotsPerServer {
		free = h.home.servers[1]
	}
	h.advance(slow * 8 / 10)
	young := h.submit(interactive, time.Second, true) // takes the last slot
	for _, a := range append([]Action(nil), h.running...) {
		if a.Server != free.spec.Name {
			h.finish(a, ran())
		}
	}
	acts := h.advance(slow * 8 / 10)
	hedged := false
	for _, a := range ofKind(acts, ActionStart) {
		hedged = hedged || (a.Hedge && a.Leg == young)
	}
	h.is.True(hedged)
}
