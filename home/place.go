package home

import "time"

const (
	// defaultCrossZonePenaltySeconds is added to the expected finish time on a server in
	// another zone: about one round trip. It decides between servers that are equal
	// otherwise, and gives way as soon as the near one has more to do.
	defaultCrossZonePenaltySeconds = 0.001
	// faultPenaltySeconds is added to the expected finish time in proportion to the
	// fault rate, so that a server that loses answers gives way to one in another zone.
	// A leg may run on two servers only, and its part is missing when both lose the answer.
	faultPenaltySeconds = 0.1
	// slowServerRatio is the ratio of service times from which a free server is left
	// idle and the leg waits for a busy one. Smaller differences may be chance, and an
	// idle slot is the greater loss.
	slowServerRatio = 2
	// maxQueueScan limits how many waiting legs are considered for a server.
	maxQueueScan = 48
)

// place chooses the server with the earliest expected finish for a leg with legsAhead
// others before it in the queue, or nil if the leg should wait. A free but slow server
// stays idle as long as waiting for a faster one ends sooner. It doesn't allocate.
func (h *Home) place(c *class, l *leg, legsAhead int, now time.Time) *server {
	prior := c.meanSeconds(now)
	usableCount := h.usableServersFor(l, now)
	var best *server
	var bestFinish, bestSeconds, busyFinish, busySeconds float64
	for _, s := range h.servers {
		if !s.usable(now) || l.excludes(s, usableCount) {
			continue
		}
		limit := s.concurrency(h.anyWarm)
		expected := s.expectedSeconds(c.index, prior, now)
		if usableCount > 1 && h.stalled(s, now) {
			continue
		}
		if len(s.running) >= s.capacity(c.longWork, h.anyWarm, now) {
			finish := expected * (1 + float64(legsAhead+1)/float64(limit))
			if busySeconds == 0 || finish < busyFinish {
				busyFinish, busySeconds = finish, expected
			}
			continue
		}
		finish := h.expectedFinish(s, expected, limit, now)
		if best == nil || finish < bestFinish {
			best, bestFinish, bestSeconds = s, finish, expected
		}
	}
	if best != nil && busySeconds > 0 && bestSeconds > slowServerRatio*busySeconds && bestSeconds > busyFinish {
		return nil
	}
	return best
}

// usableServersFor counts the usable servers that the leg may go to.
func (h *Home) usableServersFor(l *leg, now time.Time) int {
	if !l.isRestricted() {
		return h.usableCount
	}
	usable := 0
	for _, s := range h.servers {
		if s.usable(now) && l.mayUse(s) {
			usable++
		}
	}
	return usable
}

// expectedFinish returns the expected finish time on a server with a free slot, in
// seconds. It includes penalties for load, pipelining, another zone and lost answers.
func (h *Home) expectedFinish(s *server, expected float64, limit int, now time.Time) float64 {
	busy := float64(len(s.running))/float64(limit) + s.otherLoad(now)
	finish := expected * (1 + busy/2)
	if len(s.running) >= limit {
		finish += expected / float64(limit) // pipelined, waits for a slot
	}
	if !s.spec.SameZone {
		finish += h.cfg.CrossZonePenaltySeconds
	}
	return finish + faultPenaltySeconds*s.faultRate.value(now)
}

// meanSeconds returns the mean service time of the class over all servers, in seconds.
func (c *class) meanSeconds(now time.Time) float64 {
	return c.serviceTime.mean(now, 0, initialServiceSeconds)
}

// initialServiceSeconds is the service time assumed before any is observed, in seconds.
const initialServiceSeconds = 0.01

// pick returns the next leg of the class that can start now, with its server.
func (h *Home) pick(c *class, now time.Time) (l *leg, s *server, hedge bool) {
	if l, s := h.pickHedge(c, now); l != nil {
		return l, s, true
	}
	for i := 0; i < c.waiting.len() && i < maxQueueScan; i++ {
		if s := h.place(c, c.waiting.legs[i], i, now); s != nil {
			return c.waiting.legs[i], s, false
		}
	}
	return nil, nil, false
}
