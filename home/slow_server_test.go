package home

import (
	"testing"
	"time"
)

// answerAt sends a leg to the server and answers it after the time.
func (h *harness) answerAt(server string, spent time.Duration) {
	leg := h.newLeg(interactive, time.Second)
	leg.Idempotent, leg.PinnedServer = true, server
	h.submitLeg(leg)
	started := h.running[len(h.running)-1]
	h.advance(spent)
	h.finish(started, ran())
}

func (h *harness) slowness(i int) float64 {
	prior := h.home.classes[interactive].meanSeconds(h.now)
	return h.home.servers[i].expectedSeconds(interactive, prior, h.now) / prior
}

// newKnownHarness has servers that have answered often, after 10 ms each.
func newKnownHarness(t *testing.T, servers int) *harness {
	h := newHarness(t, config(), servers)
	h.disableProbes()
	for range 40 {
		for i := range servers {
			h.answerAt(h.servers[i].Name, 10*time.Millisecond)
		}
	}
	return h
}

// Guards against an estimate that needs dozens of replies to show that a server has
// turned 5 times slower.
func TestSlowServerIsKnownAfterThreeReplies(t *testing.T) {
	h := newKnownHarness(t, 3)
	h.is.True(h.slowness(0) < 1.2)
	for range 3 {
		h.answerAt("s0", 50*time.Millisecond)
	}
	h.is.True(h.slowness(0) > slowServerRatio)
	// A recovered server is known as quickly.
	for range 4 {
		h.answerAt("s0", 10*time.Millisecond)
	}
	h.is.True(h.slowness(0) < slowServerRatio)
}

// Guards against waiting for the replies of a server that has turned slow or silent: the
// legs that still run there show it.
func TestRunningLegsShowASlowServer(t *testing.T) {
	h := newKnownHarness(t, 3)
	for range 2 {
		leg := h.newLeg(interactive, time.Second)
		leg.PinnedServer = "s0"
		h.submitLeg(leg)
	}
	h.advance(50 * time.Millisecond)
	h.is.True(h.slowness(0) > slowServerRatio)
}

// Guards against a server that is never used again after it was slow, since no leg goes
// there that could show its recovery.
func TestSlownessIsForgottenWithAge(t *testing.T) {
	h := newKnownHarness(t, 3)
	for range 10 {
		h.answerAt("s0", 50*time.Millisecond)
	}
	h.is.True(h.slowness(0) > slowServerRatio)
	h.advance(10 * time.Second)
	h.is.True(h.slowness(0) < slowServerRatio)
}

// Guards against sending legs to a slow server while the slots of the fast ones, taken
// together, are free sooner, and against leaving it idle when they aren't.
func TestSlowServerIsUsedOnlyWhenFastOnesTakeLonger(t *testing.T) {
	h := newKnownHarness(t, 3)
	for range 10 {
		h.answerAt("s0", 60*time.Millisecond)
	}
	for _, fast := range []string{"s1", "s2"} {
		for range 2 {
			leg := h.newLeg(interactive, time.Second)
			leg.PinnedServer = fast
			h.submitLeg(leg)
		}
	}
	c := &h.home.classes[interactive]
	l := &leg{Leg: h.newLeg(interactive, time.Second)}
	// Four slots of 10 ms each: five legs ahead take some 15 ms, fifty take 125 ms.
	h.is.True(h.home.place(c, l, 5, h.now) == nil)
	h.is.True(h.home.place(c, l, 12, h.now) == nil)
	h.is.Equal(h.home.place(c, l, 50, h.now), h.home.servers[0])
}
