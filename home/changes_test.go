package home

import (
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
)

// Guards against missing or repeated reports of server state changes.
func TestServerChangesAreReportedOnce(t *testing.T) {
	cfg := config()
	cfg.AvoidStalled = true
	h := newHarness(t, cfg, 2)
	h.runLegs(100)
	h.is.Equal(len(h.home.DrainChanges()), 0)

	for range 2 {
		h.runRound("s0", unknown())
	}
	changes := h.home.DrainChanges()
	h.is.Equal(len(changes), 1)
	h.is.Equal(changes[0].Server, "s0")
	h.is.Equal(changes[0].State, ServerEjected)
	h.is.Equal(changes[0].Faults, ejectAfterFaults-1) // the next fault ejects it again
	h.is.True(changes[0].Until.After(h.now))

	h.advance(maxEjection)
	h.is.Equal(len(h.home.DrainChanges()), 0) // not healthy before it has answered
	h.runRound("s0", ran())
	changes = h.home.DrainChanges()
	h.is.Equal(len(changes), 1)
	h.is.Equal(changes[0].State, ServerHealthy)

	h.runRound("s1", AttemptResult{Outcome: unknown().Outcome, Fault: backend.FaultDraining})
	changes = h.home.DrainChanges()
	h.is.Equal(len(changes), 1)
	h.is.Equal(changes[0].State, ServerDraining)
}

// Guards against a stall of a server that isn't reported.
func TestStallIsReported(t *testing.T) {
	cfg := config()
	cfg.AvoidStalled = true
	h := newHarness(t, cfg, 2)
	h.disableProbes()
	h.runLegs(200)
	h.submit(interactive, time.Second, true)
	server := h.running[0].Server
	h.advance(100 * time.Millisecond)
	changes := h.home.DrainChanges()
	h.is.Equal(len(changes), 1)
	h.is.Equal(changes[0].Server, server)
	h.is.Equal(changes[0].State, ServerStalled)
	h.finish(h.running[0], ran())
	changes = h.home.DrainChanges()
	h.is.Equal(changes[0].State, ServerHealthy)
}

// runRound fills both servers; attempts on the named server end with end, all others
// are answered.
func (h *harness) runRound(server string, end AttemptResult) {
	h.advance(maxEjection) // ends any pause or ejection
	for range 2 * config().SlotsPerServer {
		leg := h.newLeg(interactive, time.Second)
		leg.Idempotent, leg.MaxServers = true, 1 // a failed leg isn't retried
		h.submitLeg(leg)
	}
	for len(h.running) > 0 {
		started := h.running[0]
		if started.Server == server {
			h.finish(started, end)
			continue
		}
		h.finish(started, ran())
	}
}
