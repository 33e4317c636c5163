package home

import (
	"testing"
	"time"
)

// A search is cancelled while one of its legs runs. The server is slow to
// confirm the cancellation, and the attempt passes the hedge age meanwhile:
// the home sent a hedge for a leg that nobody waited for, and used a slot and
// hedge budget on it. Found by the bench without admission at twice the
// capacity, seed 1.
func TestCancelledLegIsNotHedged(t *testing.T) {
	b := newBench(t, config(), 2)
	b.practise(100)
	leg := b.submit(interactive, time.Second, true)
	b.took(b.home.Cancel(b.now, leg, nil))
	b.is.Equal(len(kinds(b.acts, ActionCancel)), 1)
	acts := b.pass(100 * time.Millisecond)
	b.is.Equal(len(kinds(acts, ActionStart)), 0)
}
