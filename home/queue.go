package home

import "sort"

// queue holds legs by the time they are due, then request id.
//
// Load: a query has a leg at every service, and each home orders alone. Harm
// prevented: with orders that differ, each query is last somewhere, and all
// finish late or partial. Deadline and request id rank a query the same at
// every home without a message between them, so queries finish whole.
//
// It is a sorted slice: at the bound of a class (hundreds of legs) moving
// pointers costs less than a tree, and placement can look at any position.
type queue struct {
	legs []*leg
}

func (q *queue) len() int { return len(q.legs) }

// position is where the leg stands or would be put.
func (q *queue) position(l *leg) int {
	return sort.Search(len(q.legs), func(i int) bool { return !before(q.legs[i], l) })
}

func (q *queue) insert(l *leg) {
	i := q.position(l)
	q.legs = append(q.legs, nil)
	copy(q.legs[i+1:], q.legs[i:])
	q.legs[i] = l
}

// remove takes the leg out, if it is there.
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

// before is the order of every home's queue.
func before(a, b *leg) bool {
	if !a.order.Equal(b.order) {
		return a.order.Before(b.order)
	}
	if a.Request != b.Request {
		return a.Request.Less(b.Request)
	}
	return a.ID < b.ID
}
