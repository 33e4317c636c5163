package admit

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// minLatencyLimit always lets some requests in, so that a recovery is found.
	minLatencyLimit = 2
	// maxDelayShare is the part of the time to its target that a request may spend
	// waiting for slots or the processor before it counts as congested. The rest
	// covers the service time and the slowest of many legs.
	maxDelayShare = 0.3
	// minCutFactor bounds one cut: the delay of one request may be an outlier.
	minCutFactor = 0.3
	// limitGrowthPerRound is by how many requests the limit grows while as many
	// requests as it allows end in time.
	limitGrowthPerRound = 1.0
	// nearLimitShare is the part of the limit from which it counts as reached: it
	// grows, and callers over their share are refused.
	nearLimitShare = 0.75
	// limitExpiry removes a limit that was not reached for this long, so that a
	// burst that has ended refuses nothing.
	limitExpiry = time.Second
	// lightCallerHeadroom is how far callers under their share may exceed the limit.
	lightCallerHeadroom = 1.5
)

// latencyLimit bounds the requests of one class in flight by the delay of those that have
// ended. Under a burst the queues at the homes, the processor or the links would otherwise
// hold so many that all are late, although each was forecast to be in time. There is no
// limit until a request was delayed, and none again once it is no longer reached.
type latencyLimit struct {
	limit     float64 // requests; 0: none
	cutAt     time.Time
	reachedAt time.Time // when it was last nearly reached
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
func (c *Controller) checkLimit(now time.Time, cl *class, requester *caller) *result.Error {
	l := &cl.latencyLimit
	l.expire(now)
	inFlight := cl.inFlight()
	if !l.near(inFlight) {
		return nil
	}
	l.reachedAt = now
	if cl.callers.isOverShare(now, requester) {
		return c.refuseOverShare(now, cl, requester)
	}
	bound := l.limit
	if cl.callers.isUnderShare(now, requester) {
		bound *= lightCallerHeadroom
	}
	if float64(inFlight) < bound {
		return nil
	}
	refusal := result.Errorf(result.Overloaded, "%d requests of class %s in flight, as many as are answered in time", inFlight, cl.name)
	refusal.RetryAfter = c.retryAfter(now, cl, 0)
	return refusal
}

// recordDelay adapts the limit of the class to one request that has ended. Lateness
// without a delay by queues or the processor, as at a few slow or lost servers, leaves it
// alone: refusing other requests would not help.
func (c *Controller) recordDelay(now time.Time, permit *Permit, completion *Completion) {
	allowed := time.Duration(maxDelayShare * float64(permit.target.Sub(permit.admitted)))
	delay := completion.QueueTime + completion.ProcessorDelay
	if completion.QueueTime < 0 && permit.class.pressure.value() >= scarcePressure {
		delay = completion.LegTime // most legs still waited while others waited long
	}
	switch {
	case allowed <= 0:
	case delay > allowed:
		c.cutFor(now, permit, allowed, delay)
	case permit.class.latencyLimit.near(permit.inFlight) && completion.Answered && !now.After(permit.target):
		permit.class.latencyLimit.grow()
	}
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
