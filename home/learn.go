package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
)

// healthyFactor: servers within it of the fastest set the quantiles of the
// class. A slow server's times would raise the hedge age for all.
const healthyFactor = 2

// learn takes what an attempt's end says of its server.
func (h *Home) learn(now time.Time, a *attempt, end AttemptResult) {
	s := a.server
	if end.HasLoad {
		s.observeLoad(now, end.Load)
	}
	if a.wasAhead {
		s.ahead.ended(now, countsAsRefusal(end))
	}
	switch {
	case a.wasAhead && countsAsRefusal(end):
		// this home's excess, not the server's overload
	case answers(end):
		h.lastGood, s.answeredAt = now, now
		s.answered(now)
		s.failing.note(now, false)
		h.observe(now, a, true)
	case end.Fault == backend.FaultDraining:
		s.draining = true
	case end.Fault == backend.FaultCancelled:
		h.observe(now, a, false)
	case countsAsRefusal(end):
		s.refused(now, h.slotTime(a, now), end.RetryAfter)
	case countsAsFault(end):
		h.observeFault(now, a, end)
	}
}

// slotTime is how long until a slot of a full server is free, on average.
func (h *Home) slotTime(a *attempt, now time.Time) time.Duration {
	c := &h.classes[a.leg.Class]
	return seconds(a.server.expected(c.index, c.prior(now), now) / float64(max(1, a.server.slots)))
}

// observe adds an attempt's time to what is known of its server and class. A
// cancelled attempt took at least its age; those that lost to their first
// attempt are left out of the quantiles, their ages say nothing.
func (h *Home) observe(now time.Time, a *attempt, completed bool) {
	if a.ahead {
		return
	}
	spent := now.Sub(a.started)
	c := &h.classes[a.leg.Class]
	a.server.times[c.index].observe(now, spent, completed)
	if !h.healthy(a.server, c, now) {
		return
	}
	c.times.observe(now, spent, completed)
	if !completed && a.hedge {
		return
	}
	c.shared.add(spent, h.cfg.HedgeQuantile)
	c.observed.add(spent)
	c.sinceRefresh++
	if c.sinceRefresh >= refreshEvery || c.own.slow == 0 {
		c.refresh(h.cfg.HedgeQuantile)
	}
}

func (c *class) refresh(slowQuantile float64) {
	q, ok := quantilesOf(&c.observed, slowQuantile)
	if !ok {
		return
	}
	c.sinceRefresh = 0
	c.own = q
}

func (h *Home) healthy(s *server, c *class, now time.Time) bool {
	prior := c.prior(now)
	own := s.expected(c.index, prior, now)
	for _, other := range h.servers {
		if other == s || !other.inService() || !other.times[c.index].known(now) {
			continue
		}
		if own > healthyFactor*other.expected(c.index, prior, now) {
			return false
		}
	}
	return true
}

// observeFault counts a fault and ejects the server when it is due.
//
// Load: one server is down or fails all it gets, and its quick failures make
// it look free. Harm prevented: every leg goes there first. Reason for the
// bound: at most half of the servers are ejected, so that a signal that is
// wrong for all of them (a bad network here, a request that fails everywhere)
// can't empty the service; the others only pause.
func (h *Home) observeFault(now time.Time, a *attempt, end AttemptResult) {
	s := a.server
	s.failing.note(now, true)
	s.noteUnreachable(now, end)
	if end.Fault == backend.FaultDeadline || end.Fault == backend.FaultUnresponsive {
		s.times[a.leg.Class].observe(now, now.Sub(a.started), false)
	}
	if !s.failed() {
		return
	}
	if h.mayEject(s, now) {
		s.eject(now)
		return
	}
	s.refused(now, h.slotTime(a, now), end.RetryAfter)
}

func (h *Home) mayEject(s *server, now time.Time) bool {
	inService, ejected := 0, 0
	for _, other := range h.servers {
		if !other.inService() {
			continue
		}
		inService++
		if other != s && now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	return ejected < inService/2
}
