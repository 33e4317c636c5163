package scatter

import (
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// failOver sends a leg to the second home when the first one is lost.
//
// Failure: an entry host dies while it is home of a service; every query's leg
// there would be missing until membership has noticed, seconds later. It shows
// as HomeUnavailable. The guard holds because it moves a leg once only, and a
// leg that may have run only if it is idempotent; both homes at once
// over-commit the backend servers for a moment, and they shed.
func (r *run) failOver(a arrival) bool {
	if !homeLost(a.result.Code) || r.moved[a.position] {
		return false
	}
	if !a.result.Outcome.NotRun() && !r.work.Idempotent {
		return false
	}
	other := r.otherHome(a.position)
	if other == "" {
		return false
	}
	r.moved[a.position] = true
	r.maybe[a.position] = !a.result.Outcome.NotRun()
	r.c.counter.Failover()
	r.send(a.position, other)
	return true
}

// homeLost reports whether a home said that it is none, or said nothing.
func homeLost(code result.Code) bool {
	return code == result.HomeUnavailable || code == result.NotReady
}

// otherHome is the home to try when the one that the leg was sent to is lost.
// It is the first one if membership has moved the home meanwhile.
func (r *run) otherHome(position int) ident.HostID {
	first, second := r.c.homes.Lookup(r.work.Snapshot.Shards[position].Service)
	if first != r.sentTo[position] {
		return first
	}
	return second
}
