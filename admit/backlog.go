package admit

import (
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// firstCapacity is the guess of a host that has measured nothing yet, in
	// requests a second: about a seventh of the users' smallest route.
	firstCapacity = 100
	// leastCapacity keeps the estimate from reaching zero, where it could not
	// grow again.
	leastCapacity = 1
	// busyPressure is the pressure from which answers a second are taken for
	// the capacity itself: at one, legs wait as long as they run, which takes
	// about 85% of the slots. Below, they only tell the demand.
	busyPressure = 1.0
	// enoughAnswers and longestMeasure end a measurement of the capacity: ten
	// answers have a noise of a third, and exports that take seconds must be
	// measured some time too.
	enoughAnswers  = 10
	longestMeasure = 2 * time.Second
	// capacityGain is the weight of one measurement: the estimate settles
	// within half a second at a hundred answers a second.
	capacityGain = 0.3
	// capacityGrowth is the step up for an interval in which requests were
	// refused although nothing waits: a wrong low estimate doubles in 0.4 s.
	capacityGrowth = 1.2
	// idleCapacityLoss is the share of the estimate that an idle second
	// takes from it, towards the measured rate: what was measured a minute
	// ago says little of now.
	idleCapacityLoss = 0.02

	// backlogShare is the part of a request's time that may go into the
	// backlog ahead of it. Under half, servers run dry between the legs of
	// few requests; over, a straggler at the end of the wait comes too late.
	backlogShare = 0.5
	// longestBacklog bounds the backlog of requests that could wait for long,
	// and backlogLegs, in mean service times of a leg, that of long requests.
	// More would keep no further slot busy; it would fill the homes' queues
	// until these refuse legs of queries that have already cost slots.
	longestBacklog = 500 * time.Millisecond
	backlogLegs    = 20
	// overShareBacklog is the part of that backlog from which callers over
	// their share are refused, so that the others still find room.
	overShareBacklog = 0.7
)

// backlog estimates how long a request of one class would wait. Its capacity
// is measured in requests, so it holds whatever the legs cost, and over all
// backend servers, whatever the other entry hosts take.
type backlog struct {
	capacity float64 // requests a second
	measured bool    // capacity is more than a guess
	answered int     // since the last measurement
	since    time.Duration
	blocked  int // refused for the backlog since the last control
}

func newBacklog() backlog { return backlog{capacity: firstCapacity} }

// reckonCapacity takes the answers since the last control in. Requests that
// got no answer do not count: they leave as quickly as their deadlines pass,
// and would make the worst overload look like the greatest capacity.
func (b *backlog) reckonCapacity(elapsed time.Duration, pressure float64) {
	b.since += elapsed
	busy := pressure >= busyPressure
	if b.blocked > 0 && !busy {
		b.capacity *= capacityGrowth
	}
	b.blocked = 0
	if b.answered < enoughAnswers && b.since < longestMeasure {
		return
	}
	b.measure(float64(b.answered)/b.since.Seconds(), busy)
	b.answered = 0
	b.since = 0
}

func (b *backlog) measure(rate float64, busy bool) {
	switch {
	case busy && !b.measured:
		b.capacity = rate
		b.measured = true
	case busy || rate > b.capacity:
		b.capacity += capacityGain * (rate - b.capacity)
	default:
		b.capacity -= min(1, idleCapacityLoss*b.since.Seconds()) * (b.capacity - rate)
	}
	b.capacity = max(b.capacity, leastCapacity)
}

// longestBacklog is the longest backlog for a request with the time left.
func (cl *class) longestBacklog(left time.Duration) time.Duration {
	bound := max(longestBacklog, backlogLegs*cl.pressure.meanService())
	return min(bound, time.Duration(backlogShare*float64(left)))
}

// judgeBacklog refuses what would wait too long behind earlier deadlines.
//
// Load: saturation, or a burst of five times the capacity. Harm prevented:
// without it every request waits until just after its deadline, servers work
// on requests that nobody waits for any more, and goodput collapses; callers
// learn it late. Limits: the requests of the class with no later deadline,
// over the measured capacity, may take half of the request's time, but no more
// than half a second or twenty legs' service; seven tenths of that for callers
// over their share. Later deadlines don't count, since the homes' queues run
// in that order: requests that can wait don't shut out those that can't. The
// request itself doesn't count either: where exports take seconds, one more in
// flight at each host is a third of what the servers can do.
func (c *Controller) judgeBacklog(now time.Time, cl *class, from *caller, deadline time.Time, left time.Duration) *result.Error {
	ahead := seconds(float64(cl.deadlines.upTo(deadline)) / cl.capacity)
	bound := cl.longestBacklog(left)
	if ahead > bound {
		cl.blocked++
		return c.refuseBacklog(now, cl, ahead-bound, ahead > left)
	}
	if ahead > time.Duration(overShareBacklog*float64(bound)) && cl.callers.overShare(now, from) {
		return c.refuseShare(now, cl, from)
	}
	return nil
}

func (c *Controller) refuseBacklog(now time.Time, cl *class, excess time.Duration, hopeless bool) *result.Error {
	refusal := result.Errorf(result.Overloaded, "the queue of class %s is full", cl.name)
	if hopeless {
		refusal = result.Errorf(result.DeadlineUnmeetable, "the queue of class %s is longer than the time left", cl.name)
	}
	refusal.RetryAfter = c.comeBack(now, cl, excess)
	return refusal
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// deadlines are the deadlines of the requests in flight, sorted. There are at
// most as many as requests in flight, so moving them costs under the time of
// one leg's lookup.
type deadlines []time.Time

// upTo counts the deadlines that are not after t.
func (d deadlines) upTo(t time.Time) int {
	i, _ := slices.BinarySearchFunc(d, t.Add(1), time.Time.Compare)
	return i
}

func (d *deadlines) insert(t time.Time) {
	*d = slices.Insert(*d, d.upTo(t), t)
}

func (d *deadlines) remove(t time.Time) {
	i, found := slices.BinarySearchFunc(*d, t, time.Time.Compare)
	if found {
		*d = slices.Delete(*d, i, i+1)
	}
}
