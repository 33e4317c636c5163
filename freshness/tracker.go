// Package freshness tracks whether what a host has in force is the newest version that
// exists. It does no I/O.
package freshness

import (
	"slices"
	"sync"
	"time"
)

// Store is the source of what the metadata store itself has answered.
const Store = "store"

const (
	// maxPending bounds the versions that are known and not in force.
	maxPending = 32
	// announcementTTL is how long a version counts that hosts have announced and that has not
	// arrived. A host repeats it with each message: if none does, it may be lost.
	announcementTTL = 10 * time.Second
)

// Confirmation says that no version above the one in force existed at a time.
type Confirmation struct {
	By string    // Store, or the host that passed it on
	At time.Time // when the store said so; zero: never
}

// Obstacle is why the newest known version is not in force.
type Obstacle string

// The obstacles.
const (
	ObstacleNone       Obstacle = ""
	ObstacleNotFetched Obstacle = "not_fetched" // announced, but the version itself has not arrived
	ObstacleNotApplied Obstacle = "not_applied" // arrived, and waits to be put in force
	ObstacleRejected   Obstacle = "rejected"    // arrived, and can't be put in force
)

// State is what a host knows of the versions of one kind.
type State struct {
	InForce      uint64
	InForceSince time.Time // zero: no version yet
	Newest       uint64    // the highest version known; the one in force if there is none above
	NewestBy     string    // Store, or a host that has it; empty if it is in force
	Confirmed    Confirmation
	Obstacle     Obstacle
	// BehindSince is since when a version above the one in force is known; zero: none is.
	BehindSince time.Time
}

// Behind returns for how long a version above the one in force has been known.
func (s State) Behind(now time.Time) time.Duration {
	if s.BehindSince.IsZero() {
		return 0
	}
	return max(now.Sub(s.BehindSince), 0)
}

// HeardAt returns when this host last knew that nothing newer exists, given when it last heard
// from the store or a peer: later contact counts only until a newer version became known.
func (s State) HeardAt(contact time.Time) time.Time {
	if !s.BehindSince.IsZero() && s.BehindSince.Before(contact) {
		return s.BehindSince
	}
	return contact
}

// sighting is a version that is known and not in force.
type sighting struct {
	version   uint64
	since     time.Time
	by        string
	heardAt   time.Time // when it was last announced
	announced bool      // a host has it in force
	confirmed Confirmation
	arrived   bool
	rejected  bool
}

// counts reports whether the version should be in force here. A version that can't be, and that no
// host has, must not keep the whole fleet from serving.
func (s sighting) counts() bool { return s.announced || !s.rejected }

// Tracker tracks the versions of one kind, such as the configuration. Versions only rise. It
// is safe for concurrent use and never waits for the goroutines that report to it, so that
// one that hangs is seen by the others.
type Tracker struct {
	mu      sync.Mutex
	state   State // without Newest, NewestBy, Obstacle and BehindSince
	pending []sighting
}

// Announced records that a host has a version in force.
func (t *Tracker) Announced(now time.Time, version uint64, by string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sight(now, version, by); s != nil {
		s.announced, s.heardAt = true, now
	}
}

// Arrived records that a version itself has arrived and is about to be put in force.
func (t *Tracker) Arrived(now time.Time, version uint64, by string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sight(now, version, by); s != nil {
		s.arrived = true
	}
}

// Rejected records that an arrived version can't be put in force.
func (t *Tracker) Rejected(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.pending {
		if t.pending[i].version == version {
			t.pending[i].rejected = true
		}
	}
}

// sight returns the entry of a version above the one in force; nil if it is not above, or not
// above all known ones.
func (t *Tracker) sight(now time.Time, version uint64, by string) *sighting {
	if version <= t.state.InForce {
		return nil
	}
	for i := range t.pending {
		if t.pending[i].version == version {
			return &t.pending[i]
		}
	}
	if n := len(t.pending); n > 0 && t.pending[n-1].version > version {
		return nil
	}
	if len(t.pending) == maxPending {
		t.pending = append(t.pending[:1], t.pending[2:]...) // the oldest says since when
	}
	t.pending = append(t.pending, sighting{version: version, since: now, by: by})
	return &t.pending[len(t.pending)-1]
}

// Applied records that a version is in force.
func (t *Tracker) Applied(now time.Time, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.state
	if version <= s.InForce && !s.InForceSince.IsZero() {
		return
	}
	s.InForce, s.InForceSince, s.Confirmed = version, now, Confirmation{}
	for len(t.pending) > 0 && t.pending[0].version <= version {
		if t.pending[0].version == version {
			s.Confirmed = t.pending[0].confirmed
		}
		t.pending = t.pending[1:]
	}
}

// Confirmed records that the version, which is in force or has arrived, was the newest at a time.
func (t *Tracker) Confirmed(version uint64, at time.Time, by string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	confirm := func(c *Confirmation) {
		if at.After(c.At) {
			*c = Confirmation{By: by, At: at}
		}
	}
	if version == t.state.InForce {
		confirm(&t.state.Confirmed)
	}
	for i := range t.pending {
		if t.pending[i].version == version {
			confirm(&t.pending[i].confirmed)
		}
	}
}

// forgetLost drops the versions above the one in force if no host announces the newest any more.
func (t *Tracker) forgetLost(now time.Time) {
	if n := len(t.pending); n > 0 && !t.pending[n-1].arrived && now.Sub(t.pending[n-1].heardAt) > announcementTTL {
		t.pending = nil
	}
}

// State returns what is known now.
func (t *Tracker) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetLost(now)
	s := t.state
	s.Newest = s.InForce
	if len(t.pending) == 0 {
		return s
	}
	newest := t.pending[len(t.pending)-1]
	s.Newest, s.NewestBy = newest.version, newest.by
	if i := slices.IndexFunc(t.pending, sighting.counts); i >= 0 {
		s.BehindSince = t.pending[i].since
	}
	switch {
	case newest.rejected:
		s.Obstacle = ObstacleRejected
	case newest.arrived:
		s.Obstacle = ObstacleNotApplied
	default:
		s.Obstacle = ObstacleNotFetched
	}
	return s
}
