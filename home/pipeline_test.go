package home

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against probing a server that sheds at full slots so often that refusals cost
// more than the saved round trips.
func TestSheddingServerIsRarelyProbed(t *testing.T) {
	is := is.New(t)
	p := pipeline{nextProbe: start.Add(firstProbe)}
	probes := 0
	for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		if p.allowed(now) > 0 {
			p.recordSent()
			is.Equal(p.allowed(now), 0) // one probe at a time
			p.recordEnd(now, true)
			probes++
		}
	}
	is.True(probes >= 10 && probes <= 16)
}

func TestQueueingServerGetsOnePipelinedAttempt(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.advance(firstProbe)
	for range 5 {
		h.submit(interactive, time.Minute, true)
	}
	h.is.Equal(len(h.running), 3) // two slots and the probe
	for range 3 {
		h.finish(h.running[0], ran())
	}
	for range 5 {
		h.submit(interactive, time.Minute, true)
	}
	h.is.Equal(len(h.running), 3)
	refused := h.running[2]
	h.finish(refused, shed())
	h.is.Equal(len(h.running), 2)
	h.is.Equal(h.home.servers[0].refusals, 0) // a refused pipelined attempt is no overload
}

// Guards against counting the wait of a pipelined leg as service time.
func TestPipelinedWaitIsNotServiceTime(t *testing.T) {
	h := newHarness(t, config(), 1)
	h.advance(firstProbe)
	for range 3 {
		h.submit(interactive, time.Minute, true)
	}
	pipelined := h.home.attempts[h.running[2].Attempt]
	h.advance(500 * time.Millisecond)
	h.is.Equal(pipelined.elapsed(h.now), time.Duration(0))
	h.finish(h.running[0], ran())
	h.advance(5 * time.Millisecond)
	h.is.Equal(pipelined.elapsed(h.now), 5*time.Millisecond)
}
