package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/eligible"
)

const (
	// zoneCost is what a hop to another zone counts for, in seconds: there and
	// back at 0.5 ms. It decides between servers that are equal otherwise, and
	// gives way as soon as the near server has more to do.
	zoneCost = 0.001
	// faultCost is what a lost answer counts for, in seconds of finish time. A leg may
	// run on two servers: each lost answer costs it one, and the part is missing for
	// good when both lose it. A server that loses one in six gives way to a far one.
	faultCost = 0.1
	// slowFactor: a free server is passed over for a busy one only when its
	// requests take this many times longer. Below it the difference may be
	// chance, and an idle slot is the greater loss.
	slowFactor = 2
	// maxScan bounds how deep in a queue a slow server looks for a leg that it
	// would still finish sooner.
	maxScan = 48
)

// place chooses the server for a leg with ahead others before it, or nil when
// it should wait.
//
// Load: one server of a service is ten times slow but often has a free slot.
// Harm prevented: the slow server looks idle by count, takes every second leg,
// and each query waits for it. Rule: least expected finish, work ahead times
// the server's own observed service time. A free slow server is left idle as
// long as waiting for a fast one ends sooner, so it helps out exactly when the
// queue is long. It allocates nothing and looks at each server once.
func (h *Home) place(c *class, l *leg, ahead int, now time.Time) *server {
	prior := c.prior(now)
	usable := h.usableFor(l, now)
	var best *server
	var bestFinish, bestTime, waitFinish, waitTime float64
	for _, s := range h.servers {
		if !s.usable(now) || l.avoids(s, usable) {
			continue
		}
		limit := s.limit(h.anyWarm)
		expected := s.expected(c.index, prior, now)
		if usable > 1 && h.stalled(s, now) {
			continue
		}
		if len(s.running) >= s.room(c.long, h.anyWarm, now) {
			finish := expected * (1 + float64(ahead+1)/float64(limit))
			if waitTime == 0 || finish < waitFinish {
				waitFinish, waitTime = finish, expected
			}
			continue
		}
		finish := h.freeFinish(s, expected, limit, now)
		if best == nil || finish < bestFinish {
			best, bestFinish, bestTime = s, finish, expected
		}
	}
	if best != nil && waitTime > 0 && bestTime > slowFactor*waitTime && bestTime > waitFinish {
		return nil
	}
	return best
}

// usableFor counts the usable servers that the leg may go to.
func (h *Home) usableFor(l *leg, now time.Time) int {
	if len(l.Regions) == 0 {
		return h.usableCount
	}
	usable := 0
	for _, s := range h.servers {
		if s.usable(now) && eligible.InRegions(l.Regions, s.spec.Region) {
			usable++
		}
	}
	return usable
}

// freeFinish is the expected finish on a server with a free slot. Requests that
// run there, this home's or reported ones, count for a part of one: they slow
// it down.
//
// Load: half of the servers of every service lose two in five of their answers for
// seconds. Harm prevented: the near server loses the first, the far one is left for
// one more attempt, and of 270 parts more than a search may lack are lost twice.
func (h *Home) freeFinish(s *server, expected float64, limit int, now time.Time) float64 {
	busy := float64(len(s.running))/float64(limit) + s.othersShare(now)
	finish := expected * (1 + busy/2)
	if len(s.running) >= limit {
		finish += expected / float64(limit) // sent ahead, waits for a slot
	}
	if !s.spec.SameZone {
		finish += h.cfg.CrossZonePenaltySeconds
	}
	return finish + faultCost*s.failing.share(now)
}

// prior is the mean service time of the class over all servers, in seconds.
func (c *class) prior(now time.Time) float64 {
	return c.times.mean(now, 0, firstGuess)
}

// firstGuess is the service time in seconds assumed before any was observed.
const firstGuess = 0.01

// pick is the next leg of the class that has a server to run on now.
func (h *Home) pick(c *class, now time.Time) (l *leg, s *server, hedge bool) {
	if l, s := h.pickHedge(c, now); l != nil {
		return l, s, true
	}
	for i := 0; i < c.waiting.len() && i < maxScan; i++ {
		if s := h.place(c, c.waiting.legs[i], i, now); s != nil {
			return c.waiting.legs[i], s, false
		}
	}
	return nil, nil, false
}
