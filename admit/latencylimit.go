package admit

import (
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// minLatencyLimit always lets some requests in, so that a recovery is found.
	minLatencyLimit = 1
	// maxDelayShare is the part of the time to its target that a request may spend
	// waiting for slots or the processor before it counts as congested. The rest
	// covers the service time and the slowest of many legs.
	maxDelayShare = 0.3
	// lateShare is the part of the time to the target from which an answer counts as late:
	// then the slowest legs matter, since they decided.
	lateShare = 0.9
	// minCutFactor bounds one cut: the delay of one request may be an outlier.
	minCutFactor = 0.3
	// limitGrowthPerRound is by how many requests the limit grows while as many
	// requests as it allows end in time.
	limitGrowthPerRound = 1.0
	// nearLimitShare is the part of the limit from which it counts as reached: it
	// grows, and callers over their share are refused.
	nearLimitShare = 0.75
	// lessUrgentShare is the part of the processor delay of a more urgent class up to which
	// less urgent requests are admitted.
	lessUrgentShare = 0.7
	// delaySmoothing is the weight of one request in the delay: a burst cuts the limit after
	// two or three, and one outlier does not.
	delaySmoothing = 0.25
	// limitExpiry removes a limit that was not reached for this long, so that a
	// burst that has ended refuses nothing.
	limitExpiry = time.Second
	// lightCallerHeadroom is how far callers under their share may exceed the limit and the
	// processor delay.
	lightCallerHeadroom = 3
)

// latencyLimit bounds the requests of one class in flight by the delay of those that have
// ended. Under a burst the queues at the homes, the processor or the links would otherwise
// hold so many that all are late, although each was forecast to be in time. There is no
// limit until a request was delayed, and none again once it is no longer reached.
type latencyLimit struct {
	limit     float64 // requests; 0: none
	cutAt     time.Time
	reachedAt time.Time     // when it was last nearly reached
	budget    time.Duration // of the last request, until its target
	delay     float64       // of the last requests, in seconds, smoothed
}

func (l *latencyLimit) active() bool { return l.limit > 0 }

// cut lowers the limit to the number in flight that would have had the allowed delay, given
// that the delay grows with the number in flight. Requests that were admitted before the
// last cut say nothing about the limit since then.
func (l *latencyLimit) cut(now time.Time, admitted time.Time, inFlight int, allowed, delay time.Duration) {
	if admitted.Before(l.cutAt) {
		return
	}
	next := float64(inFlight) * max(minCutFactor, allowed.Seconds()/delay.Seconds())
	if l.active() {
		next = min(next, l.limit)
	}
	l.limit = max(next, minLatencyLimit)
	l.cutAt, l.reachedAt = now, now
}

func (l *latencyLimit) grow() {
	if l.active() {
		l.limit += limitGrowthPerRound / l.limit
	}
}

// near reports whether the number in flight is close to the limit.
func (l *latencyLimit) near(inFlight int) bool {
	return l.active() && float64(inFlight) >= nearLimitShare*l.limit
}

func (l *latencyLimit) expire(now time.Time) {
	if l.active() && now.Sub(l.reachedAt) > limitExpiry {
		l.limit = 0
	}
}

// checkLimit refuses a request that would exceed the latency limit of its class.
func (c *Controller) checkLimit(now time.Time, cl *class, requester *caller, request *Request) *result.Error {
	l := &cl.latencyLimit
	l.expire(now)
	l.budget = request.Target.Sub(now)
	inFlight := cl.inFlight()
	left := request.Deadline.Sub(now)
	if c.isAnyLimited() {
		if refusal := c.checkProcessor(now, cl, requester, request, left); refusal != nil {
			return refusal
		}
	}
	if !l.near(inFlight) {
		return nil
	}
	l.reachedAt = now
	if cl.isShort(now) && cl.callers.isOverScarceShare(now, requester) {
		return c.refuseOverShare(now, cl, requester, left)
	}
	bound := l.limit
	if cl.callers.isUnderShare(now, requester) {
		bound *= lightCallerHeadroom
	}
	if float64(inFlight) < bound {
		return nil
	}
	return c.refuseSearch(now, cl, left, ReasonLimit, "%d requests of class %s in flight, as many as are answered in time", inFlight, cl.name)
}

// checkProcessor refuses a request whose work would wait too long for this host's processor;
// one of a caller over its share earlier, and one of a caller under its share later.
func (c *Controller) checkProcessor(now time.Time, cl *class, requester *caller, request *Request, left time.Duration) *result.Error {
	maxDelay := c.maxProcessorDelay(now, cl)
	if request.ProcessorDelay <= seconds(overShareQueueShare*maxDelay.Seconds()) {
		return nil
	}
	cl.latencyLimit.reachedAt = now
	if cl.isShort(now) && cl.callers.isOverScarceShare(now, requester) {
		return c.refuseOverShare(now, cl, requester, left)
	}
	if cl.callers.isUnderShare(now, requester) {
		maxDelay = seconds(max(lightCallerHeadroom*maxDelay.Seconds(), maxDelayShare*cl.latencyLimit.budget.Seconds()))
	}
	if request.ProcessorDelay <= maxDelay || cl.inFlight() < minLatencyLimit {
		return nil
	}
	return c.refuseSearch(now, cl, left, ReasonProcessor, "work waits %v for this host's processor", request.ProcessorDelay.Round(time.Millisecond))
}

func (c *Controller) refuseSearch(now time.Time, cl *class, left time.Duration, reason, format string, args ...any) *result.Error {
	refusal := result.Errorf(result.Overloaded, format, args...)
	refusal.Reason, refusal.RetryAfter = reason, c.spreadRetries(now, cl, left)
	return refusal
}

// isAnyLimited reports whether requests were delayed lately. A host that only paused for a
// moment refuses nothing.
func (c *Controller) isAnyLimited() bool {
	return slices.ContainsFunc(c.classes, func(cl *class) bool { return cl.latencyLimit.active() })
}

// maxProcessorDelay is the wait for the processor up to which requests of the class are
// admitted. It is shorter while more urgent classes with earlier targets have requests, as
// the processor serves all classes in turn: the limits of two classes alone let them fill
// it until neither is in time.
func (c *Controller) maxProcessorDelay(now time.Time, cl *class) time.Duration {
	allowed := maxDelayShare * cl.latencyLimit.budget.Seconds()
	for _, other := range c.classes {
		if other.limited && other.priority < cl.priority && other.admitted.recent(now)+other.refused.recent(now) >= 1 {
			allowed = min(allowed, lessUrgentShare*maxDelayShare*other.latencyLimit.budget.Seconds())
		}
	}
	return seconds(allowed)
}

// recordDelay adapts the limit of the class to one request that has ended. Lateness
// without a delay by queues or the processor, as at a few slow or lost servers, leaves it
// alone: refusing other requests would not help.
func (c *Controller) recordDelay(now time.Time, permit *Permit, completion *Completion) {
	cl := permit.class
	budget := permit.target.Sub(permit.admitted)
	if budget <= 0 {
		return
	}
	late := float64(now.Sub(permit.admitted)) >= lateShare*float64(budget)
	delay := cl.queueTime(completion.Legs, late) + completion.ProcessorDelay
	l := &cl.latencyLimit
	l.delay += delaySmoothing * (delay.Seconds() - l.delay)
	allowed := seconds(maxDelayShare * budget.Seconds())
	switch {
	case l.delay > allowed.Seconds():
		c.cutFor(now, permit, allowed, seconds(l.delay))
	case l.near(permit.inFlight) && completion.Answered && !late:
		l.grow()
	}
}

const (
	// queueQuantile of the legs' waits is that of a request: a few slow or lost services
	// don't raise it. lateQueueQuantile is that of a late one.
	queueQuantile, lateQueueQuantile = 0.75, 0.9
	// lateQueueWeight is how much of the wait at lateQueueQuantile counts: an answer at its
	// target may have waited at its slowest services for most of that time.
	lateQueueWeight = 0.5
	// minKnownLegs is the part of the legs of which the wait must be known; of those that
	// were cancelled it is not.
	minKnownLegs = 0.25
)

// queueTime returns how long the legs of a request waited for a slot.
func (cl *class) queueTime(legs []LegTiming, late bool) time.Duration {
	waits := make([]time.Duration, 0, len(legs))
	var latency time.Duration
	for i := range legs {
		cl.pressure.add(&legs[i])
		latency += legs[i].Time / time.Duration(len(legs))
		if legs[i].QueueTime >= 0 {
			waits = append(waits, legs[i].QueueTime)
		}
	}
	if float64(len(waits)) < minKnownLegs*float64(len(legs)) {
		if cl.pressure.value() < scarcePressure {
			return 0
		}
		return latency // most legs still waited while others waited long
	}
	slices.Sort(waits)
	wait := waits[int(queueQuantile*float64(len(waits)))]
	if late {
		wait = max(wait, time.Duration(lateQueueWeight*float64(waits[int(lateQueueQuantile*float64(len(waits)))])))
	}
	return wait
}

// cutFor cuts the limits of the less urgent classes that compete with a delayed request, or
// that of its own class if there are none.
func (c *Controller) cutFor(now time.Time, permit *Permit, allowed, delay time.Duration) {
	cut := false
	for _, cl := range c.classes {
		if cl.priority > permit.class.priority && cl.limited && cl.inFlight() > minLatencyLimit {
			cl.latencyLimit.cut(now, permit.admitted, cl.inFlight(), allowed, delay)
			cut = true
		}
	}
	if !cut {
		permit.class.latencyLimit.cut(now, permit.admitted, permit.inFlight, allowed, delay)
	}
}
