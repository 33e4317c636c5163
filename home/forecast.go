package home

import (
	"time"

	legs "github.com/goldcrestspan/goldcrestspan/leg"
)

// Forecast predicts the queueing and service time of a leg of the class that arrived
// now, so that a query that can't be answered in time is refused before any of its legs
// are sent.
func (h *Home) Forecast(now time.Time, classIndex int) legs.Forecast {
	c := &h.classes[classIndex]
	return legs.Forecast{QueueTime: h.queueTime(c, now), ServiceTime: h.expectedRunTime(c, now), Unresponsive: h.unresponsive(now)}
}

const (
	// unresponsiveAfter is how long a service must have answered nothing, with every
	// server overdue or unavailable, to count as unresponsive. It is twice the
	// longest pause of healthy servers.
	unresponsiveAfter = 500 * time.Millisecond
	// unresponsiveFactor raises unresponsiveAfter to this multiple of the slow
	// quantile.
	unresponsiveFactor = 8
)

// unresponsive reports whether no server of the service answers or accepts legs. It is
// false as soon as one server may be tried again, so that the next leg probes it.
func (h *Home) unresponsive(now time.Time) bool {
	if !h.hasServers {
		return false
	}
	if !h.anyInService() || h.allWarmedElsewhere(now) || h.allRefusing(now) {
		return true
	}
	if now.Sub(h.lastAnswer) < unresponsiveAfter {
		return false
	}
	for _, s := range h.servers {
		if s.inService() && s.usable(now) && !h.hasOverdue(s, now) {
			return false
		}
	}
	return true
}

// hasOverdue reports whether the server has a request far older than the slow quantile.
// It is false for classes whose service times aren't known.
func (h *Home) hasOverdue(s *server, now time.Time) bool {
	for _, a := range s.running {
		slow := h.classes[a.leg.Class].quantiles().slow
		if slow > 0 && !a.pipelined && now.Sub(a.started) >= max(unresponsiveAfter, unresponsiveFactor*slow) {
			return true
		}
	}
	return false
}

// queueTime predicts how long a leg that arrived now would wait for a slot, behind
// those of its class that are on time.
func (h *Home) queueTime(c *class, now time.Time) time.Duration {
	if !h.hasServers || !h.anyInService() {
		return 0
	}
	if at := h.nextAvailable(now); at.After(now) {
		return at.Sub(now)
	}
	if c.waiting.len() == 0 {
		if h.hasFreeSlot(now) {
			return 0
		}
		return h.slotInterval(c, now)
	}
	return time.Duration(c.onTimeWaiting()+1) * h.startInterval(c, now)
}

// slotInterval returns the mean time between two free slots if the class had all slots.
func (h *Home) slotInterval(c *class, now time.Time) time.Duration {
	return seconds(c.meanSeconds(now) / float64(max(1, h.totalSlots)))
}

// startInterval returns the time between two starts of waiting legs: the measured
// interval, or the time since the last start if that is longer, so that a service that
// stops answering isn't predicted from its past rate.
func (h *Home) startInterval(c *class, now time.Time) time.Duration {
	interval := seconds(c.startRate.seconds)
	if interval == 0 {
		interval = h.slotInterval(c, now)
	}
	if !c.startRate.backlog {
		return interval
	}
	return max(interval, now.Sub(c.startRate.last))
}

func (c *class) onTimeWaiting() (n int) {
	for _, l := range c.waiting.legs {
		if l.onTime() {
			n++
		}
	}
	return n
}

// expectedRunTime predicts a leg's service time: the typical one, or longer if every
// usable server is slow.
func (h *Home) expectedRunTime(c *class, now time.Time) time.Duration {
	least := 0.0
	prior := c.meanSeconds(now)
	for _, s := range h.servers {
		if !s.usable(now) {
			continue
		}
		if expected := s.expectedSeconds(c.index, prior, now); least == 0 || expected < least {
			least = expected
		}
	}
	return max(c.quantiles().typical, seconds(least))
}

// PreferredServer returns the server with the shortest service time of the class if the reserved one
// can't be used now, or is slower by more than slowServerRatio; empty otherwise. Legs for which a slow
// server is reserved have no good server left for a second attempt.
func (h *Home) PreferredServer(now time.Time, classIndex int, reserved string) string {
	c := &h.classes[classIndex]
	prior := c.meanSeconds(now)
	best, bestSeconds, reservedSeconds := "", 0.0, 0.0
	for _, s := range h.servers {
		if !s.usable(now) || h.stalled(s, now) {
			continue
		}
		expected := s.expectedSeconds(c.index, prior, now)
		if s.spec.Name == reserved {
			reservedSeconds = expected
		}
		if !s.spec.SameZone {
			expected += h.cfg.CrossZonePenaltySeconds
		}
		if best == "" || expected < bestSeconds {
			best, bestSeconds = s.spec.Name, expected
		}
	}
	if best == reserved || (reservedSeconds > 0 && reservedSeconds <= slowServerRatio*bestSeconds) {
		return ""
	}
	return best
}

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
