package home

import (
	"math"
	"time"
)

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
	// slotTimeHalfLife is the half-life of the slot time that a class has used recently. It is
	// about a target latency, so that a class that is passed over gets its part before its
	// legs are late.
	slotTimeHalfLife = 250 * time.Millisecond
	// slotTimeWindowSeconds is the time that a sum with that half-life stands for.
	slotTimeWindowSeconds = 0.36
	// minClassPart is the part of the slot time that less urgent classes together get while
	// they have work: a class isn't to be served less than a quarter as often as all.
	minClassPart = 0.25
	// shortageUse is the part of all slots in use from which slots are short enough for
	// minClassPart to apply. Below it, a class that used little didn't ask for more.
	shortageUse = 0.5
)

// class is the state of one class at this home.
type class struct {
	spec            ClassSpec
	index           int
	waiting         queue // legs waiting for a first attempt or a retry
	shares          callerShares
	hedges          queue // running legs waiting for a second attempt
	hedgeCandidates attemptList
	running         int
	// virtualTime is the slot time used, in seconds, divided by the weight.
	virtualTime float64
	recentUse   decayingSum // slot time used recently, in seconds
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

// nextClass returns the class with work that gets the next slot, or nil if there is none.
func (h *Home) nextClass(now time.Time) *class {
	var best *class
	for i := range h.classes {
		c := &h.classes[i]
		if c.skipped || !c.hasWork() || !h.mayTakeSlot(c, now) {
			continue
		}
		if best == nil || h.goesFirst(c, best, now) {
			best = c
		}
	}
	return best
}

// goesFirst reports whether class a gets the next slot rather than b.
//
// If the classes have priorities, one with legs on time goes before one that has
// only late legs, and otherwise the more urgent one goes first: in a burst, lookups with a
// target of 80 ms otherwise wait behind searches of 28 ms a leg, with a target of 300 ms. A
// class that would be starved goes first until it has its part.
//
// Without priorities, the class with the least virtual time goes first. Slot time is charged
// rather than requests, so that long requests pay for their length, and a class that exceeds
// its share doesn't delay the others.
func (h *Home) goesFirst(a, b *class, now time.Time) bool {
	if h.ranked {
		if first, second := a.hasOnTime(), b.hasOnTime(); first != second {
			return first
		}
		if first, second := h.starved(a, now), h.starved(b, now); first != second {
			return first
		}
		if first, second := *a.spec.Priority, *b.spec.Priority; first != second {
			return first < second
		}
	}
	return a.virtualTime < b.virtualTime
}

// hasOnTime reports whether one of the class's next legs can still meet its soft deadline, if it
// has one. The class must have work. Late legs whose deadline is near come first in the order by
// deadline, and mustn't make the others of their class yield.
func (c *class) hasOnTime() bool {
	next := &c.waiting
	if next.len() == 0 {
		next = &c.hedges
	}
	for _, l := range next.legs[:min(next.len(), maxQueueScan)] {
		if l.onTime() || l.SoftDeadline.IsZero() {
			return true
		}
	}
	return false
}

// starved reports whether the class has used less than its part of minClassPart while slots
// were short.
func (h *Home) starved(c *class, now time.Time) bool {
	total, withWork := 0.0, 0
	for i := range h.classes {
		other := &h.classes[i]
		total += other.recentUse.value(now)
		if other.hasWork() {
			withWork++
		}
	}
	if withWork < 2 || total < shortageUse*float64(h.totalSlots)*slotTimeWindowSeconds {
		return false
	}
	return c.recentUse.value(now) < minClassPart/float64(withWork-1)*total
}

// hasPriorities reports whether every class states a priority and not all state the same.
func hasPriorities(classes []ClassSpec) bool {
	differ := false
	for _, c := range classes {
		if c.Priority == nil {
			return false
		}
		differ = differ || *c.Priority != *classes[0].Priority
	}
	return differ
}

// decayingSum is a sum whose parts lose half of their value every slotTimeHalfLife.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (s *decayingSum) value(now time.Time) float64 {
	if !now.After(s.at) {
		return s.sum
	}
	return s.sum * math.Exp2(-float64(now.Sub(s.at))/float64(slotTimeHalfLife))
}

func (s *decayingSum) add(now time.Time, x float64) {
	s.sum = max(0, s.value(now)+x)
	s.at = now
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

// charge adds slot time, in seconds, to what the class has used: the expected time at the
// start of an attempt, and the difference to the actual time at its end.
func (h *Home) charge(c *class, now time.Time, seconds float64) {
	c.virtualTime += seconds / c.weight()
	if h.ranked {
		c.recentUse.add(now, seconds)
	}
}
