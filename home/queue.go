package home

import "sort"

// queue holds legs ordered by soft deadline and request ID. Every home uses the same
// order, so that all legs of a query have the same rank everywhere and the query
// completes as a whole.
//
// It is a sorted slice: with a few hundred legs moving pointers costs less than a tree,
// and placement can look at any position.
type queue struct {
	legs []*leg
}

func (q *queue) len() int { return len(q.legs) }

// position returns the leg's index, or the index at which it would be inserted.
func (q *queue) position(l *leg) int {
	return sort.Search(len(q.legs), func(i int) bool { return !before(q.legs[i], l) })
}

func (q *queue) insert(l *leg) {
	i := q.position(l)
	q.legs = append(q.legs, nil)
	copy(q.legs[i+1:], q.legs[i:])
	q.legs[i] = l
}

// remove removes the leg if present.
func (q *queue) remove(l *leg) {
	for i := q.position(l); i < len(q.legs) && !before(l, q.legs[i]); i++ {
		if q.legs[i] == l {
			q.removeAt(i)
			return
		}
	}
}

func (q *queue) removeAt(i int) {
	last := len(q.legs) - 1
	copy(q.legs[i:], q.legs[i+1:])
	q.legs[last] = nil
	q.legs = q.legs[:last]
}

// before is the queue order.
func before(a, b *leg) bool {
	if !a.orderBy.Equal(b.orderBy) {
		return a.orderBy.Before(b.orderBy)
	}
	if a.Request != b.Request {
		return a.Request.Less(b.Request)
	}
	return a.ID < b.ID
}
