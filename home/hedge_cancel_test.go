package home

import (
	"testing"
	"time"
)

// Guards against a hedge for a cancelled leg whose server is slow to confirm the
// cancellation.
func TestCancelledLegIsNotHedged(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.runLegs(100)
	leg := h.submit(interactive, time.Second, true)
	h.record(h.home.Cancel(h.now, leg, nil))
	h.is.Equal(len(ofKind(h.lastActions, ActionCancel)), 1)
	acts := h.advance(100 * time.Millisecond)
	h.is.Equal(len(ofKind(acts, ActionStart)), 0)
}
