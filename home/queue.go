package home

import (
	"sort"
	"time"
)

// queue holds legs ordered by soft deadline and request ID. Every home uses the same
// order, so that all legs of a query have the same rank everywhere and the query
// completes as a whole.
//
// It is a sorted slice: with a few hundred legs moving pointers costs less than a tree,
// and placement can look at any position.
//
// Legs of callers are ordered by what can still be on time, then by the callers' shares, before
// that; see callerShares. The order doesn't depend on the time.
type queue struct {
	legs   []*leg
	ranked int // legs with a rank
	// byRank is set while legs are ordered by rank.
	byRank bool
	// softBound and deadlineBound are at or before the earliest soft deadline of a leg that
	// isn't late, and the earliest deadline. They are used only if ranked > 0, when these
	// legs may be anywhere.
	softBound, deadlineBound time.Time
}

func (q *queue) len() int { return len(q.legs) }

// position returns the leg's index, or the index at which it would be inserted.
func (q *queue) position(l *leg) int {
	return sort.Search(len(q.legs), func(i int) bool { return !q.before(q.legs[i], l) })
}

func (q *queue) insert(l *leg) {
	i := q.position(l)
	q.legs = append(q.legs, nil)
	copy(q.legs[i+1:], q.legs[i:])
	q.legs[i] = l
	if l.ranked {
		q.ranked++
		if q.ranked == 1 {
			q.updateBounds()
		}
	}
	if q.ranked > 0 {
		q.extendBounds(l)
	}
}

// remove removes the leg if present.
func (q *queue) remove(l *leg) {
	for i := q.position(l); i < len(q.legs) && !q.before(l, q.legs[i]); i++ {
		if q.legs[i] == l {
			q.removeAt(i)
			return
		}
	}
}

func (q *queue) removeAt(i int) {
	if q.legs[i].ranked {
		q.ranked--
		q.byRank = q.byRank && q.ranked > 0
	}
	last := len(q.legs) - 1
	copy(q.legs[i:], q.legs[i+1:])
	q.legs[last] = nil
	q.legs = q.legs[:last]
}

// setByRank sets whether legs are ordered by rank.
func (q *queue) setByRank(byRank bool) {
	if q.byRank == byRank {
		return
	}
	q.byRank = byRank
	sort.Slice(q.legs, func(i, j int) bool { return q.before(q.legs[i], q.legs[j]) })
}

// updateOrder chooses the order of a queue that holds legs with a rank. While legs wait for a
// small part of their time only, all can be on time, and the order by deadline is the best. Once
// the first has waited long or is late, not all can be, and ranks decide which, until no more
// legs wait than there are slots. The legs of a caller alone keep their order by deadline.
func (q *queue) updateOrder(now time.Time, slots int, alone bool) {
	switch first := q.legs[0]; {
	case q.byRank:
		q.setByRank(len(q.legs) > slots && !alone)
	case len(q.legs) > slots && first.ranked && !alone:
		q.setByRank(first.late || !now.Before(first.orderBy.Add(-first.longWait)))
	}
}

// onTimeBelow returns the number of legs on time with a lower rank.
func (q *queue) onTimeBelow(rank float64) (n int) {
	for _, l := range q.legs {
		if l.onTime() && l.callerRank < rank {
			n++
		}
	}
	return n
}

func (q *queue) updateBounds() {
	q.softBound, q.deadlineBound = time.Time{}, time.Time{}
	for _, l := range q.legs {
		q.extendBounds(l)
	}
}

func (q *queue) extendBounds(l *leg) {
	if l.onTime() {
		q.softBound = earliest(q.softBound, l.orderBy)
	}
	q.deadlineBound = earliest(q.deadlineBound, l.Deadline)
}

// firstDeadline returns a time at or before the earliest deadline. The queue must not be empty.
func (q *queue) firstDeadline() time.Time {
	if q.ranked > 0 {
		return q.deadlineBound
	}
	return q.legs[0].Deadline
}

// nextExpired returns a leg whose deadline is at or before a time, or nil if there is none.
// Without callers only the first leg is examined. The queue must not be empty.
func (q *queue) nextExpired(at time.Time) *leg {
	if at.Before(q.firstDeadline()) {
		return nil
	}
	if q.ranked == 0 {
		return q.legs[0]
	}
	for _, l := range q.legs {
		if !at.Before(l.Deadline) {
			return l
		}
	}
	q.updateBounds()
	return nil
}

// demoteRanked is Home.demoteLate for a queue that is ordered by caller, where late legs may be
// anywhere.
func (c *class) demoteRanked(now time.Time, slots int) {
	c.waiting.updateOrder(now, slots, c.shares.alone(now))
	done := now.Add(c.quantiles().typical)
	if c.waiting.softBound.IsZero() || done.Before(c.waiting.softBound) {
		return
	}
	for i := 0; i < c.waiting.len(); {
		if l := c.waiting.legs[i]; l.onTime() && !done.Before(l.orderBy) {
			c.requeueLate(l) // comes after all that are on time
			continue
		}
		i++
	}
	c.waiting.updateBounds()
}

// before is the queue order.
func (q *queue) before(a, b *leg) bool {
	if a.late != b.late {
		return b.late
	}
	if q.byRank && a.callerRank != b.callerRank {
		return a.callerRank < b.callerRank
	}
	if !a.orderBy.Equal(b.orderBy) {
		return a.orderBy.Before(b.orderBy)
	}
	if a.Request != b.Request {
		return a.Request.Less(b.Request)
	}
	return a.ID < b.ID
}
