package home

import "time"

const (
	// activeFor is how long a class without legs keeps its slots from long
	// work of other classes.
	activeFor = time.Second
	// longFactor: work counts as long beside a class whose requests take less
	// than this part of its time.
	longFactor = 3
	// leastWeight is the share of a class without a reserved share: it runs on
	// what the others leave, and is not starved.
	leastWeight = 0.01
	// virtualCredit is how much slot time, in seconds per unit of share, a
	// class that was idle may be ahead of the others when it comes back.
	virtualCredit = 0.02
)

// class is the state of one class at this home.
type class struct {
	spec    ClassSpec
	index   int
	waiting queue // first attempts and retries
	hedges  queue // legs that run and want a second attempt
	watch   attemptList
	running int
	// virtual is the slot time used, in seconds, divided by the share.
	virtual float64
	// long: the class's work takes much longer than that of an active other.
	long         bool
	skipped      bool // in the present decision: no server takes its legs
	pace         pace
	lastSeen     time.Time
	times        meanTime
	observed     histogram
	own          quantiles // of observed, refreshed every refreshEvery samples
	sinceRefresh int
	shared       *sharedClass // nil: nothing is shared
}

// quantiles are the class's own, or those that all homes of the host share while
// too little is known here.
func (c *class) quantiles() quantiles {
	if c.own.slow > 0 {
		return c.own
	}
	return c.shared.quantiles()
}

func (c *class) weight() float64 { return max(c.spec.ReservedShare, leastWeight) }

func (c *class) hasWork() bool { return c.waiting.len() > 0 || c.hedges.len() > 0 }

// active reports whether the class had legs of late.
func (c *class) active(now time.Time) bool {
	return c.running > 0 || c.waiting.len() > 0 || now.Sub(c.lastSeen) < activeFor
}

// nextClass is the class that may take the next slot: among those with work,
// the one that used least slot time for its share.
//
// Load: one class demands more than its share while others have work. Harm
// prevented: its legs fill all slots and the others wait behind them. Slot
// time, not requests, is counted, so long requests pay for their length. An
// idle class's share is lent to whoever has work; at its first leg the class
// is served next. Classes that found no server in this decision are passed over.
func (h *Home) nextClass(now time.Time) *class {
	var best *class
	for i := range h.classes {
		c := &h.classes[i]
		if c.skipped || !c.hasWork() || !h.mayTakeSlot(c, now) {
			continue
		}
		if best == nil || c.virtual < best.virtual {
			best = c
		}
	}
	return best
}

// mayTakeSlot keeps long work out of slots reserved for shorter classes.
//
// Load: batch legs of half a second beside interactive legs of a few
// milliseconds. Harm prevented: in a quiet moment batch borrows all slots, and
// the next screen waits for a batch leg to end. Reason for the limit: short
// work may borrow freely, its slot is back soon; long work may use what no
// recently active shorter class has reserved, and at least one slot.
func (h *Home) mayTakeSlot(c *class, now time.Time) bool {
	own := c.times.mean(now, 0, 0)
	kept := 0
	for i := range h.classes {
		other := &h.classes[i]
		if other == c || !other.active(now) || other.times.count == 0 {
			continue
		}
		if own > longFactor*other.times.mean(now, 0, 0) {
			kept += reservedSlots(other, h.totalSlots)
		}
	}
	c.long = kept > 0
	return !c.long || c.running < max(1, h.totalSlots-kept)
}

func reservedSlots(c *class, total int) int {
	if c.spec.ReservedShare <= 0 {
		return 0
	}
	return max(1, int(c.spec.ReservedShare*float64(total)))
}

// wake brings a class that was idle up to the others, so that it can't claim
// the share of all the time it did not use.
func (h *Home) wake(c *class, now time.Time) {
	if c.hasWork() || c.running > 0 {
		c.lastSeen = now
		return
	}
	least, found := 0.0, false
	for i := range h.classes {
		other := &h.classes[i]
		if other != c && (other.hasWork() || other.running > 0) && (!found || other.virtual < least) {
			least, found = other.virtual, true
		}
	}
	if found {
		c.virtual = max(c.virtual, least-virtualCredit)
	}
	c.lastSeen = now
}

// charge counts an attempt's slot time: the expected one at its start, and at
// its end the difference to the real one.
func (c *class) charge(seconds float64) { c.virtual += seconds / c.weight() }
