package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// failFastAfter is how long a service must have given no answer, while all its
	// servers refuse, before its legs fail at once.
	failFastAfter = 500 * time.Millisecond
	// minConsecutiveFailures is how many consecutive refusals or faults each server
	// must have by then.
	minConsecutiveFailures = 3
	// noBackendRetryAfter is the retry hint to callers when no server is in service.
	noBackendRetryAfter = time.Second
)

// dispatch fails the legs that can't be served in time and starts those that can be
// started.
func (h *Home) dispatch(now time.Time, acts []Action) []Action {
	h.updateTotals(now)
	h.recordChanges(now)
	h.demoteLate(now)
	acts = h.failLate(now, acts)
	acts = h.failUnservable(now, acts)
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
		acts = append(acts, h.startAttempt(c, l, s, hedge, now))
	}
	return acts
}

// updateTotals updates the totals over all servers that the other decisions of this
// dispatch use.
func (h *Home) updateTotals(now time.Time) {
	h.lastDispatch = now
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
		if s.usable(now) && len(s.running) < s.capacity(false, h.anyWarm, now) {
			return true
		}
	}
	return false
}

func (h *Home) startAttempt(c *class, l *leg, s *server, hedge bool, now time.Time) Action {
	if hedge {
		h.hedgeBudget.Spend()
		l.hedged = true
	}
	h.dequeue(l)
	if !hedge {
		c.startRate.recordStart(now, c.waiting.len())
	}
	h.lastAttempt++
	a := &attempt{id: h.lastAttempt, leg: l, server: s, started: now, hedge: hedge, chargedSeconds: c.meanSeconds(now)}
	h.attempts[a.id] = a
	if len(s.running) >= s.slots {
		a.pipelined, a.wasPipelined = true, true
		s.pipeline.recordSent()
	}
	s.running = append(s.running, a)
	s.recordStart(now)
	l.addAttempt(a)
	l.attemptCount++
	c.running++
	c.charge(a.chargedSeconds)
	if !hedge && l.Idempotent && !a.pipelined {
		c.hedgeCandidates.push(a)
	}
	return Action{
		Kind: ActionStart, Leg: l.ID, Attempt: a.id, Server: s.spec.Name,
		Hedge: hedge, Retry: !hedge && l.attemptCount > 1,
	}
}

// admit decides whether a leg may enter the queue. Full queues and legs that would
// wait past their deadline are refused at once, so that overload neither grows the
// queue nor makes every leg late.
func (h *Home) admit(c *class, l *leg, now time.Time) (result.Code, bool) {
	switch {
	case h.hasServers && (!h.anyInServiceFor(l) || h.allWarmedElsewhere(now)):
		return result.NoBackend, false
	case !h.canMeetDeadline(l, now):
		return result.DeadlineUnmeetable, false
	case c.waiting.len() >= c.spec.MaxQueue || h.queuedBytes+l.Bytes > h.cfg.MaxQueueBytes:
		return result.Overloaded, false
	case h.minQueueTime(c, l, now) > l.Deadline.Sub(now):
		return result.DeadlineUnmeetable, false
	default:
		return 0, true
	}
}

// minQueueTime returns a lower bound of the leg's queueing time: as if its class had every
// slot.
func (h *Home) minQueueTime(c *class, l *leg, now time.Time) time.Duration {
	legsAhead := c.waiting.position(l)
	return seconds(float64(legsAhead) * c.meanSeconds(now) / float64(max(1, h.totalSlots)))
}

// canMeetDeadline reports whether a fast answer would still arrive before the deadline.
func (h *Home) canMeetDeadline(l *leg, now time.Time) bool {
	return now.Add(h.classes[l.Class].quantiles().fast).Before(l.Deadline)
}

// demoteLate moves waiting legs that can't meet their soft deadline behind those that
// can. Under overload, strict soft deadline order would start every leg slightly too
// late for its answer to be used: a service at 105% of its load would serve next to
// nothing in time. Served last, the late legs cost the others nothing.
func (h *Home) demoteLate(now time.Time) {
	for i := range h.classes {
		c := &h.classes[i]
		for c.waiting.len() > 0 {
			l := c.waiting.legs[0]
			if !l.onTime() || h.canMeetSoftDeadline(c, l, now) {
				break
			}
			c.requeueLate(l)
		}
	}
}

// canMeetSoftDeadline reports whether a leg that starts now is typically answered
// before its soft deadline.
func (h *Home) canMeetSoftDeadline(c *class, l *leg, now time.Time) bool {
	return now.Add(c.quantiles().typical).Before(l.orderBy)
}

// failLate fails waiting legs that can't be answered before their deadline.
func (h *Home) failLate(now time.Time, acts []Action) []Action {
	for i := range h.classes {
		c := &h.classes[i]
		for c.waiting.len() > 0 && !h.canMeetDeadline(c.waiting.legs[0], now) {
			l := c.waiting.legs[0]
			acts = h.failLeg(l, l.failureCode(result.DeadlineUnmeetable), h.retryAfter(now, 0), acts)
		}
		for c.hedges.len() > 0 && !h.canMeetDeadline(c.hedges.legs[0], now) {
			h.dequeue(c.hedges.legs[0])
		}
	}
	return acts
}

// failUnservable fails all waiting legs if no server is in service or all servers
// refuse, so that callers can go elsewhere instead of waiting for the deadline. Legs
// that arrive when a pause ends still probe the servers.
func (h *Home) failUnservable(now time.Time, acts []Action) []Action {
	if !h.hasServers {
		return acts
	}
	code, wait := result.NoBackend, noBackendRetryAfter
	if h.anyInService() {
		switch {
		case h.allWarmedElsewhere(now):
			wait = h.retryAfter(now, 0)
		case h.allRefusing(now):
			code, wait = result.BackendsRefused, h.retryAfter(now, 0)
		default:
			return h.failRestricted(now, acts)
		}
	}
	for i := range h.classes {
		c := &h.classes[i]
		for c.waiting.len() > 0 {
			l := c.waiting.legs[c.waiting.len()-1]
			acts = h.failLeg(l, l.failureCode(code), wait, acts)
		}
	}
	return acts
}

// failRestricted fails waiting legs that are restricted to servers of which none is in service.
func (h *Home) failRestricted(now time.Time, acts []Action) []Action {
	for i := range h.classes {
		waiting := h.classes[i].waiting.legs
		for j := len(waiting) - 1; j >= 0; j-- {
			if l := waiting[j]; l.isRestricted() && !h.anyInServiceFor(l) {
				acts = h.failLeg(l, l.failureCode(result.NoBackend), noBackendRetryAfter, acts)
			}
		}
	}
	return acts
}

// anyInServiceFor reports whether any server that the leg may use is in service.
func (h *Home) anyInServiceFor(l *leg) bool {
	if !l.isRestricted() {
		return h.anyInService()
	}
	for _, s := range h.servers {
		if s.inService() && l.mayUse(s) {
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

// allRefusing reports whether every server in service has failed repeatedly and is
// paused, and nothing runs.
func (h *Home) allRefusing(now time.Time) bool {
	if now.Sub(h.lastAnswer) < failFastAfter {
		return false
	}
	for _, s := range h.servers {
		if s.inService() && (s.usable(now) || len(s.running) > 0 || s.refusals+s.faults < minConsecutiveFailures) {
			return false
		}
	}
	return true
}

// nextAvailable returns when the first server in service accepts requests.
func (h *Home) nextAvailable(now time.Time) time.Time {
	var next time.Time
	for _, s := range h.servers {
		if !s.inService() {
			continue
		}
		if s.usable(now) {
			return now
		}
		next = earliest(next, s.availableAt(now))
	}
	return next
}

// LastAttempt returns the highest attempt ID in use.
func (h *Home) LastAttempt() ident.AttemptID { return h.lastAttempt }
