package admit

import (
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// initialCapacity is the estimate before the first measurement, in
	// requests a second.
	initialCapacity = 100
	// minCapacity keeps the estimate from reaching zero, where it could not
	// grow again.
	minCapacity = 1
	// saturationPressure is the pressure from which answers a second count as
	// the capacity; below it they only show the demand. At one, legs wait as
	// long as they run.
	saturationPressure = 1.0
	// minSampleAnswers or maxSampleTime end one measurement of the capacity,
	// whichever is reached first.
	minSampleAnswers = 10
	maxSampleTime    = 2 * time.Second
	// capacitySmoothing is the weight of one measurement in the moving average.
	capacitySmoothing = 0.3
	// capacityGrowthFactor raises the estimate in each interval in which
	// requests were refused although no leg waits.
	capacityGrowthFactor = 1.2
	// idleCapacityDecay is the part of the difference to the measured rate by
	// which the estimate falls for each second below saturation.
	idleCapacityDecay = 0.02

	// maxBacklogShare is the part of a request's time that may pass in the
	// backlog ahead of it. A smaller one leaves servers idle between the legs
	// of few requests; a larger one leaves no time for a straggler.
	maxBacklogShare = 0.5
	// maxBacklog bounds the backlog of requests with long deadlines, and
	// maxBacklogServiceTimes, in mean service times of a leg, that of long
	// requests. A longer backlog keeps no more slots busy; it fills the homes'
	// queues until these refuse legs of queries that have already used slots.
	maxBacklog             = 500 * time.Millisecond
	maxBacklogServiceTimes = 20
	// overShareBacklog is the part of that backlog from which callers over
	// their share are refused, to leave room for the others.
	overShareBacklog = 0.7
)

// capacityEstimator estimates how many requests of one class are answered per
// second. Counting requests makes it independent of the cost of their legs, and
// it covers all backend servers, whatever the other entry hosts send.
type capacityEstimator struct {
	capacity        float64 // requests a second
	measured        bool    // false while capacity is initialCapacity
	answered        int     // since the last measurement
	sampleTime      time.Duration
	backlogRefusals int // since the last control interval
}

func newCapacityEstimator() capacityEstimator {
	return capacityEstimator{capacity: initialCapacity}
}

// updateCapacity adds the answers since the last call. Requests without an
// answer don't count: under overload they end as fast as their deadlines pass
// and would pass for a high capacity.
func (e *capacityEstimator) updateCapacity(elapsed time.Duration, pressure float64) {
	e.sampleTime += elapsed
	saturated := pressure >= saturationPressure
	if e.backlogRefusals > 0 && !saturated {
		e.capacity *= capacityGrowthFactor
	}
	e.backlogRefusals = 0
	if e.answered < minSampleAnswers && e.sampleTime < maxSampleTime {
		return
	}
	e.addSample(float64(e.answered)/e.sampleTime.Seconds(), saturated)
	e.answered = 0
	e.sampleTime = 0
}

func (e *capacityEstimator) addSample(rate float64, saturated bool) {
	switch {
	case saturated && !e.measured:
		e.capacity = rate
		e.measured = true
	case saturated || rate > e.capacity:
		e.capacity += capacitySmoothing * (rate - e.capacity)
	default:
		e.capacity -= min(1, idleCapacityDecay*e.sampleTime.Seconds()) * (e.capacity - rate)
	}
	e.capacity = max(e.capacity, minCapacity)
}

// backlogLimit is the longest backlog that a request with the time left is
// admitted behind.
func (cl *class) backlogLimit(left time.Duration) time.Duration {
	bound := max(maxBacklog, maxBacklogServiceTimes*cl.pressure.meanService())
	return min(bound, time.Duration(maxBacklogShare*float64(left)))
}

// checkBacklog refuses a request that would wait too long behind those with
// earlier deadlines, which go first in the homes' queues. Without it, goodput
// collapses under saturation: servers work on requests that are already late.
func (c *Controller) checkBacklog(now time.Time, cl *class, requester *caller, deadline time.Time, left time.Duration) *result.Error {
	ahead := seconds(float64(cl.deadlines.countUpTo(deadline)) / cl.capacity)
	bound := cl.backlogLimit(left)
	if ahead > bound {
		cl.backlogRefusals++
		return c.refuseBacklog(now, cl, ahead-bound, ahead > left)
	}
	if ahead > time.Duration(overShareBacklog*float64(bound)) && cl.callers.isOverShare(now, requester) {
		return c.refuseOverShare(now, cl, requester, left)
	}
	return nil
}

func (c *Controller) refuseBacklog(now time.Time, cl *class, excess time.Duration, pastDeadline bool) *result.Error {
	refusal := result.Errorf(result.Overloaded, "the queue of class %s is full", cl.name)
	if pastDeadline {
		refusal = result.Errorf(result.DeadlineUnmeetable, "the queue of class %s is longer than the time left", cl.name)
	}
	refusal.RetryAfter = c.retryAfter(now, cl, excess)
	return refusal
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// deadlines are the deadlines of the requests in flight, sorted. There are few
// enough for insertion into a slice to be cheap.
type deadlines []time.Time

// countUpTo counts the deadlines that are not after t.
func (d deadlines) countUpTo(t time.Time) int {
	i, _ := slices.BinarySearchFunc(d, t.Add(1), time.Time.Compare)
	return i
}

func (d *deadlines) insert(t time.Time) {
	*d = slices.Insert(*d, d.countUpTo(t), t)
}

func (d *deadlines) remove(t time.Time) {
	i, found := slices.BinarySearchFunc(*d, t, time.Time.Compare)
	if found {
		*d = slices.Delete(*d, i, i+1)
	}
}
