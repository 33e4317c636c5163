package discover

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// substituteAfter is the age of the newest contact of any host with the store from which other
	// hosts watch in place of the watchers, in a fleet of smallFleet hosts: longer than the longest
	// pause between two answers that all hosts hear of while the store answers the watchers.
	substituteAfter = 6 * time.Second
	// smallFleet and substituteDelayPerDoubling raise that age with the fleet's size, since it takes
	// news longer to reach every host.
	smallFleet                 = 8
	substituteDelayPerDoubling = 500 * time.Millisecond
	// substituteTurn is how long one host tries before the next one does.
	substituteTurn = 2 * time.Second
	// substituteWatchLimit bounds the watches of a substitute that the store hasn't answered yet, so
	// that a silent store is noticed within its turn.
	substituteWatchLimit = 1500 * time.Millisecond
	// minSubstituteTime is how long a substitute watches at least once the store has answered it, if
	// others reach it too. The actual time is up to twice as long and random, so that not all
	// substitutes end at once.
	minSubstituteTime = 30 * time.Second
	// othersHeardWithin is how recently a substitute must have heard of another host's contact to
	// end: the longest watch.
	othersHeardWithin = maxWatchTimeoutFactor * maxWatchTimeout
)

// SubstituteInput is what a Substitute decides from.
type SubstituteInput struct {
	// Rank is the position of this host among the hosts of its availability zone that aren't
	// watchers, and Candidates their number; 0 candidates: this host can't be a substitute.
	Rank, Candidates int
	Hosts            int // of the fleet
	// PeersContact is when the store last answered any host that peers have told of; zero: unknown.
	PeersContact time.Time
	OwnContact   time.Time // when the store last answered this host; zero: never
}

// overdue returns how much older the newest contact is than it may be; negative: it is young enough
// or unknown.
func (in SubstituteInput) overdue(now time.Time) time.Duration {
	if in.PeersContact.IsZero() {
		return -1
	}
	contact := in.PeersContact
	if in.OwnContact.After(contact) {
		contact = in.OwnContact
	}
	return now.Sub(contact) - substituteBound(in.Hosts)
}

// Substitute decides whether a host that isn't a watcher watches the store in place of the watchers,
// because no host has reached the store for too long. The watchers are chosen by name, and the store
// may reject just these, while it serves all others. In each availability zone one host at a time
// tries, in the order of rank: while the store is away for all, its load doesn't grow with the fleet.
// It does no I/O and is not safe for concurrent use.
type Substitute struct {
	since         time.Time // since when it watches; zero: it doesn't
	until         time.Time // it may end then if others reach the store
	othersHeardAt time.Time // when another host's contact was last heard of
	heard         time.Time // that contact
}

// Watches decides whether this host watches now.
func (s *Substitute) Watches(now time.Time, in SubstituteInput) bool {
	if in.PeersContact.After(in.OwnContact) && in.PeersContact.After(s.heard) {
		s.heard, s.othersHeardAt = in.PeersContact, now
	}
	switch {
	case in.Candidates == 0:
		s.since = time.Time{}
	case s.since.IsZero():
		if s.isTurn(now, in) {
			s.since, s.until = now, now.Add(minSubstituteTime+rand.N(minSubstituteTime))
		}
	case s.ends(now, in):
		s.since = time.Time{}
	}
	return s.On()
}

// On reports whether this host was last told to watch.
func (s *Substitute) On() bool { return !s.since.IsZero() }

// answered reports whether the store has answered since this host watches as a substitute.
func (s *Substitute) answered(ownContact time.Time) bool { return ownContact.After(s.since) }

// isTurn reports whether no host has reached the store for too long and it is this host's turn.
func (s *Substitute) isTurn(now time.Time, in SubstituteInput) bool {
	overdue := in.overdue(now)
	return overdue >= 0 && int(overdue/substituteTurn)%in.Candidates == in.Rank
}

// ends reports whether the turn has passed without an answer, or others reach the store as well.
func (s *Substitute) ends(now time.Time, in SubstituteInput) bool {
	if !s.answered(in.OwnContact) {
		return now.Sub(s.since) >= substituteTurn
	}
	return !now.Before(s.until) && now.Sub(s.othersHeardAt) <= othersHeardWithin && s.othersHeardAt.After(s.since)
}

// substituteBound is the age of the newest contact from which substitutes watch in a fleet of that
// many hosts.
func substituteBound(hosts int) time.Duration {
	doublings := math.Log2(max(1, float64(hosts)/smallFleet))
	return substituteAfter + time.Duration(doublings*float64(substituteDelayPerDoubling))
}
