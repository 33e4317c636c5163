package home

import "time"

const (
	// pipelineDepth is the number of attempts beyond its slots that a server may hold.
	pipelineDepth = 1
	// firstProbe is the delay before a new server's first probe.
	firstProbe = time.Second
	// minProbeInterval doubles up to maxProbeInterval with each refused probe, so that at
	// the longest one leg a minute is refused for it.
	minProbeInterval = 4 * time.Second
	maxProbeInterval = time.Minute
	// probeResetAfter is the number of consecutive accepted attempts after which
	// minProbeInterval applies again.
	probeResetAfter = 64
)

// pipeline learns by probing whether a server with full slots queues one more request
// or refuses it. A queued request hides the round trip between two requests of a slot: at
// 85% of the slots busy, a round trip of a tenth of the service time makes that 94%.
// The depth is one: more would take legs away from other servers, and from more urgent
// legs.
type pipeline struct {
	accepted     int // consecutive accepted attempts
	probing      bool
	serverQueues bool
	refusals     int // since the last probeResetAfter accepted attempts
	nextProbe    time.Time
}

// allowed returns how many attempts may be pipelined now: one to a server known to
// queue, or one probe if it is due.
func (p *pipeline) allowed(now time.Time) int {
	if p.serverQueues || (!p.probing && !now.Before(p.nextProbe)) {
		return pipelineDepth
	}
	return 0
}

// recordSent records a pipelined attempt.
func (p *pipeline) recordSent() { p.probing = !p.serverQueues }

// recordEnd records the end of a pipelined attempt.
func (p *pipeline) recordEnd(now time.Time, refused bool) {
	p.probing = false
	if !refused {
		p.serverQueues = true
		p.accepted++
		if p.accepted >= probeResetAfter {
			p.refusals = 0
		}
		return
	}
	p.serverQueues, p.accepted = false, 0
	p.nextProbe = now.Add(min(minProbeInterval<<min(p.refusals, 8), maxProbeInterval))
	p.refusals++
}

// promote starts the clock of pipelined attempts once a slot is free for them, since
// their wait at the server isn't service time.
func (h *Home) promote(s *server, now time.Time) {
	for i := 0; i < len(s.running) && i < s.slots; i++ {
		a := s.running[i]
		if !a.pipelined {
			continue
		}
		a.pipelined = false
		a.started = now
		if !a.hedge && a.leg.Idempotent && !a.leg.done {
			h.classes[a.leg.Class].hedgeCandidates.push(a)
		}
	}
}
