package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// refusingAfter is how long a service must have given no answer, while all
	// its servers refuse, before its legs fail at once.
	refusingAfter = 500 * time.Millisecond
	// refusalsInARow is how often each server must have refused by then.
	refusalsInARow = 3
	// noBackendRetry is what callers are told when no server is in service.
	noBackendRetry = time.Second
)

// dispatch drops what can't be met any more and starts what can be started.
func (h *Home) dispatch(now time.Time, acts []Action) []Action {
	h.survey(now)
	h.noteStates(now)
	h.demoteLate(now)
	acts = h.dropLate(now, acts)
	acts = h.dropUnservable(now, acts)
	h.queueHedges(now)
	for i := range h.classes {
		h.classes[i].skipped = false
	}
	for h.hasFreeSlot(now) {
		c := h.nextClass(now)
		if c == nil {
			return acts
		}
		l, s, hedge := h.pick(c, now)
		if l == nil {
			c.skipped = true
			continue
		}
		acts = append(acts, h.start(c, l, s, hedge, now))
	}
	return acts
}

// survey works out what all decisions of this moment need.
func (h *Home) survey(now time.Time) {
	h.decidedAt = now
	h.anyWarm, h.usableCount, h.totalSlots = false, 0, 0
	for _, s := range h.servers {
		if !s.inService() {
			continue
		}
		h.totalSlots += s.slots
		if s.usable(now) {
			h.usableCount++
			h.anyWarm = h.anyWarm || s.warm
		}
	}
}

func (h *Home) hasFreeSlot(now time.Time) bool {
	for _, s := range h.servers {
		if s.usable(now) && len(s.running) < s.room(false, h.anyWarm, now) {
			return true
		}
	}
	return false
}

func (h *Home) start(c *class, l *leg, s *server, hedge bool, now time.Time) Action {
	if hedge {
		h.hedgeBudget.Spend()
		l.hedged = true
	}
	h.unqueue(l)
	if !hedge {
		c.pace.started(now, c.waiting.len())
	}
	h.nextAttempt++
	a := &attempt{id: h.nextAttempt, leg: l, server: s, started: now, hedge: hedge, charged: c.prior(now)}
	h.attempts[a.id] = a
	if len(s.running) >= s.slots {
		a.ahead, a.wasAhead = true, true
		s.ahead.sent()
	}
	s.running = append(s.running, a)
	s.noteStart(now)
	l.addAttempt(a)
	l.started++
	c.running++
	c.charge(a.charged)
	if !hedge && l.Idempotent && !a.ahead {
		c.watch.push(a)
	}
	return Action{
		Kind: ActionStart, Leg: l.ID, Attempt: a.id, Server: s.spec.Name,
		Hedge: hedge, Retry: !hedge && l.started > 1,
	}
}

// admits decides whether a leg may wait here.
//
// Load: more work than the service can do. Harm prevented: a queue that grows
// until every leg in it is late, and a host that runs out of memory. Reason
// for the limits: the class's MaxQueue and the home's bytes; and a leg whose
// queue ahead alone takes longer than it has is told so now.
func (h *Home) admits(c *class, l *leg, now time.Time) (result.Code, bool) {
	switch {
	case h.known && (!h.anyInServiceFor(l) || h.allHeld(now)):
		return result.NoBackend, false
	case !h.canMeet(l, now):
		return result.DeadlineUnmeetable, false
	case c.waiting.len() >= c.spec.MaxQueue || h.bytes+l.Bytes > h.cfg.MaxQueueBytes:
		return result.Overloaded, false
	case h.waitAhead(c, l, now) > l.Deadline.Sub(now):
		return result.DeadlineUnmeetable, false
	default:
		return 0, true
	}
}

// waitAhead is the least wait of a leg at its place in the queue: as if its
// class had every slot.
func (h *Home) waitAhead(c *class, l *leg, now time.Time) time.Duration {
	ahead := c.waiting.position(l)
	return seconds(float64(ahead) * c.prior(now) / float64(max(1, h.totalSlots)))
}

// canMeet reports whether a fast answer would still be in time.
func (h *Home) canMeet(l *leg, now time.Time) bool {
	return now.Add(h.classes[l.Class].quantiles().least).Before(l.Deadline)
}

// demoteLate puts waiting legs that can't be answered by the time they are due
// behind those that can.
//
// Load: more work than the service can do for seconds. Harm prevented: in the
// order of their due times each leg starts just too late, its answer is left
// out, and a service at 105% of its load serves next to nothing in time. Served
// last, the late ones cost the others nothing.
func (h *Home) demoteLate(now time.Time) {
	for i := range h.classes {
		c := &h.classes[i]
		for c.waiting.len() > 0 {
			l := c.waiting.legs[0]
			if !l.timely() || h.canMakeDue(c, l, now) {
				break
			}
			c.requeueLate(l)
		}
	}
}

// canMakeDue reports whether a leg that starts now is typically answered by the
// time it is due.
func (h *Home) canMakeDue(c *class, l *leg, now time.Time) bool {
	return now.Add(c.quantiles().typical).Before(l.order)
}

// dropLate drops waiting legs whose answer would come too late: the slot is
// for a leg that can still be answered.
func (h *Home) dropLate(now time.Time, acts []Action) []Action {
	for i := range h.classes {
		c := &h.classes[i]
		for c.waiting.len() > 0 && !h.canMeet(c.waiting.legs[0], now) {
			l := c.waiting.legs[0]
			acts = h.fail(l, l.failCode(result.DeadlineUnmeetable), h.retryAfter(now, 0), acts)
		}
		for c.hedges.len() > 0 && !h.canMeet(c.hedges.legs[0], now) {
			h.unqueue(c.hedges.legs[0])
		}
	}
	return acts
}

// dropUnservable fails all waiting legs when no server is in service, or when
// the whole service refuses.
//
// Load: every server of a service sheds for seconds. Harm prevented: legs are
// held until their deadline for nothing, and callers can't go elsewhere.
// Servers are still asked when their pauses end, by legs that come then.
func (h *Home) dropUnservable(now time.Time, acts []Action) []Action {
	if !h.known {
		return acts
	}
	code, wait := result.NoBackend, noBackendRetry
	if h.anyInService() {
		switch {
		case h.allHeld(now):
			wait = h.retryAfter(now, 0)
		case h.allRefuse(now):
			code, wait = result.BackendsRefused, h.retryAfter(now, 0)
		default:
			return h.dropBound(now, acts)
		}
	}
	for i := range h.classes {
		c := &h.classes[i]
		for c.waiting.len() > 0 {
			l := c.waiting.legs[c.waiting.len()-1]
			acts = h.fail(l, l.failCode(code), wait, acts)
		}
	}
	return acts
}

// dropBound fails the waiting legs that are bound to regions of which no server is in
// service any more.
func (h *Home) dropBound(now time.Time, acts []Action) []Action {
	for i := range h.classes {
		waiting := h.classes[i].waiting.legs
		for j := len(waiting) - 1; j >= 0; j-- {
			if l := waiting[j]; len(l.Regions) > 0 && !h.anyInServiceFor(l) {
				acts = h.fail(l, l.failCode(result.NoBackend), noBackendRetry, acts)
			}
		}
	}
	return acts
}

// anyInServiceFor reports whether a server that the leg may go to is in service.
func (h *Home) anyInServiceFor(l *leg) bool {
	if len(l.Regions) == 0 {
		return h.anyInService()
	}
	for _, s := range h.servers {
		if s.inService() && eligible.InRegions(l.Regions, s.spec.Region) {
			return true
		}
	}
	return false
}

func (h *Home) anyInService() bool {
	for _, s := range h.servers {
		if s.inService() {
			return true
		}
	}
	return false
}

// allRefuse reports whether each server in service refused several times in a
// row and pauses, and nothing runs.
func (h *Home) allRefuse(now time.Time) bool {
	if now.Sub(h.lastGood) < refusingAfter {
		return false
	}
	for _, s := range h.servers {
		if s.inService() && (s.usable(now) || len(s.running) > 0 || s.refusals+s.faults < refusalsInARow) {
			return false
		}
	}
	return true
}

// nextAvailable is when the first server in service takes work.
func (h *Home) nextAvailable(now time.Time) time.Time {
	var next time.Time
	for _, s := range h.servers {
		if !s.inService() {
			continue
		}
		if s.usable(now) {
			return now
		}
		next = earlier(next, s.availableAt(now))
	}
	return next
}

// LastAttempt is the highest attempt id in use.
func (h *Home) LastAttempt() ident.AttemptID { return h.nextAttempt }
