package home

import (
	"time"

	legs "github.com/goldcrestspan/goldcrestspan/leg"
)

// Forecast says how a leg of the class that came now would fare. An answer that
// can't come in time is better known before the legs of its query are sent than
// after they have used the slots of twenty services.
func (h *Home) Forecast(now time.Time, position int) legs.Forecast {
	c := &h.classes[position]
	return legs.Forecast{QueueTime: h.waitFor(c, now), ServiceTime: h.runTime(c, now), Unresponsive: h.silent(now)}
}

const (
	// silentAfter is how long a service must have answered nothing, while each of
	// its servers owes an answer for as long or takes nothing, before it counts as
	// silent. It is twice the longest pause of the users' healthy servers.
	silentAfter = 500 * time.Millisecond
	// silentFactor: and not before this many times the time of its slow requests.
	silentFactor = 8
)

// silent reports whether no server of the service answers or takes a leg.
//
// Load: several services lose all their servers at once, some without a word.
// Harm prevented: searches that can't do without them use the others' slots, and
// wait for their whole two seconds to hear that they failed. Limit: as soon as one
// server may be tried again the service is not silent, so that the next search
// finds out.
func (h *Home) silent(now time.Time) bool {
	if !h.known {
		return false
	}
	if !h.anyInService() || h.allHeld(now) || h.allRefuse(now) {
		return true
	}
	if now.Sub(h.lastGood) < silentAfter {
		return false
	}
	for _, s := range h.servers {
		if s.inService() && s.usable(now) && !h.owes(s, now) {
			return false
		}
	}
	return true
}

// owes reports whether the server has a request that is older than any should be.
// Of a class whose times are not known that can't be said.
func (h *Home) owes(s *server, now time.Time) bool {
	for _, a := range s.running {
		slow := h.classes[a.leg.Class].quantiles().slow
		if slow > 0 && !a.ahead && now.Sub(a.started) >= max(silentAfter, silentFactor*slow) {
			return true
		}
	}
	return false
}

// waitFor is how long a leg that came now would wait for a slot, behind those of
// its class that are still counted on to be in time.
func (h *Home) waitFor(c *class, now time.Time) time.Duration {
	if !h.known || !h.anyInService() {
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
	return time.Duration(c.timelyWaiting()+1) * h.startInterval(c, now)
}

// slotInterval is the mean time until one of all slots is free, if the class had
// them all.
func (h *Home) slotInterval(c *class, now time.Time) time.Duration {
	return seconds(c.prior(now) / float64(max(1, h.totalSlots)))
}

// startInterval is the time between two starts of waiting legs: the measured pace, or
// the time since the last start where that is already longer.
//
// Load: every server of a service falls silent with its slots full. Harm
// prevented: nothing starts, so no start tells that the pace is gone, and queries
// are sent into a queue that does not move.
func (h *Home) startInterval(c *class, now time.Time) time.Duration {
	usual := seconds(c.pace.seconds)
	if usual == 0 {
		usual = h.slotInterval(c, now)
	}
	if !c.pace.backlog {
		return usual
	}
	return max(usual, now.Sub(c.pace.last))
}

func (c *class) timelyWaiting() (n int) {
	for _, l := range c.waiting.legs {
		if l.timely() {
			n++
		}
	}
	return n
}

// runTime is what a leg takes once it has a slot: typically, or longer where
// every server that may get it is slow.
func (h *Home) runTime(c *class, now time.Time) time.Duration {
	least := 0.0
	prior := c.prior(now)
	for _, s := range h.servers {
		if !s.usable(now) {
			continue
		}
		if expected := s.expected(c.index, prior, now); least == 0 || expected < least {
			least = expected
		}
	}
	return max(c.quantiles().typical, seconds(least))
}

// seconds turns a time in seconds into a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
