package home

import "time"

const (
	// classActiveFor is how long after its last leg a class keeps its reserved slots
	// from long work of other classes.
	classActiveFor = time.Second
	// longWorkRatio is the ratio of service times from which a class counts as long
	// compared to another.
	longWorkRatio = 3
	// minClassWeight is the weight of a class without a reserved share, so that it
	// isn't starved.
	minClassWeight = 0.01
	// idleCreditSeconds limits how far the virtual time of a class that was idle may
	// lag behind the others.
	idleCreditSeconds = 0.02
)

// class is the state of one class at this home.
type class struct {
	spec            ClassSpec
	index           int
	waiting         queue // legs waiting for a first attempt or a retry
	hedges          queue // running legs waiting for a second attempt
	hedgeCandidates attemptList
	running         int
	// virtualTime is the slot time used, in seconds, divided by the weight.
	virtualTime float64
	// longWork is set if the class's requests take much longer than those of another
	// active class.
	longWork            bool
	skipped             bool // no server takes its legs in the current dispatch
	startRate           startRate
	lastActive          time.Time
	serviceTime         meanTime
	latencies           histogram
	ownQuantiles        quantiles // of latencies, refreshed every refreshSamples samples
	samplesSinceRefresh int
	sharedLatencies     *classLatencies // nil if nothing is shared
}

// quantiles returns the class's own quantiles, or the host-wide ones while too few
// samples were taken here.
func (c *class) quantiles() quantiles {
	if c.ownQuantiles.slow > 0 {
		return c.ownQuantiles
	}
	return c.sharedLatencies.quantiles()
}

func (c *class) weight() float64 { return max(c.spec.ReservedShare, minClassWeight) }

func (c *class) hasWork() bool { return c.waiting.len() > 0 || c.hedges.len() > 0 }

// recentlyActive reports whether the class had legs recently.
func (c *class) recentlyActive(now time.Time) bool {
	return c.running > 0 || c.waiting.len() > 0 || now.Sub(c.lastActive) < classActiveFor
}

// nextClass returns the class that gets the next slot: the one with work that has the
// least virtual time. Slot time is charged rather than requests, so that long requests
// pay for their length, and a class that exceeds its share doesn't delay the others. It
// returns nil if there is none.
func (h *Home) nextClass(now time.Time) *class {
	var best *class
	for i := range h.classes {
		c := &h.classes[i]
		if c.skipped || !c.hasWork() || !h.mayTakeSlot(c, now) {
			continue
		}
		if best == nil || c.virtualTime < best.virtualTime {
			best = c
		}
	}
	return best
}

// mayTakeSlot keeps classes of long requests out of the slots reserved for active
// classes of shorter ones, so that a short request doesn't wait for a long one to end.
// A class always gets one slot. Short requests may borrow any slot, since they return
// it soon.
func (h *Home) mayTakeSlot(c *class, now time.Time) bool {
	ownMean := c.serviceTime.mean(now, 0, 0)
	reserved := 0
	for i := range h.classes {
		other := &h.classes[i]
		if other == c || !other.recentlyActive(now) || other.serviceTime.count == 0 {
			continue
		}
		if ownMean > longWorkRatio*other.serviceTime.mean(now, 0, 0) {
			reserved += reservedSlots(other, h.totalSlots)
		}
	}
	c.longWork = reserved > 0
	return !c.longWork || c.running < max(1, h.totalSlots-reserved)
}

func reservedSlots(c *class, total int) int {
	if c.spec.ReservedShare <= 0 {
		return 0
	}
	return max(1, int(c.spec.ReservedShare*float64(total)))
}

// catchUp raises the virtual time of a class that was idle, so that it can't claim its
// share of the idle time afterwards.
func (h *Home) catchUp(c *class, now time.Time) {
	if c.hasWork() || c.running > 0 {
		c.lastActive = now
		return
	}
	least, found := 0.0, false
	for i := range h.classes {
		other := &h.classes[i]
		if other != c && (other.hasWork() || other.running > 0) && (!found || other.virtualTime < least) {
			least, found = other.virtualTime, true
		}
	}
	if found {
		c.virtualTime = max(c.virtualTime, least-idleCreditSeconds)
	}
	c.lastActive = now
}

// charge adds slot time, in seconds: the expected time at the start of an attempt, and
// the difference to the actual time at its end.
func (c *class) charge(seconds float64) { c.virtualTime += seconds / c.weight() }
