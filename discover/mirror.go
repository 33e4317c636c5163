// Package discover follows objects in the metadata store: the operator's
// configuration and the backend servers' entries. A Mirror is the local copy, which a
// Follower keeps up to date from the store or from peers.
package discover

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// recoveryGrace is how long removals are deferred after the store recovers: servers whose
// leases expired during the outage write their entries again within 2 s.
const recoveryGrace = 2500 * time.Millisecond

// Mirror holds the objects below one prefix. It does no I/O and is not safe for
// concurrent use.
type Mirror struct {
	objects map[string]metastore.Object
	// deferred holds when objects with a deferred removal are dropped.
	deferred  map[string]time.Time
	storeLost bool
	hasList   bool // a complete list was applied
	// removals holds the revisions of removals, for peers; it is complete for removals
	// after removalsSince.
	removals      map[string]metastore.Revision
	removalsSince metastore.Revision
	// deferUntil is the time until which removals are deferred.
	deferUntil time.Time
	order      WriteOrderFunc
}

// NewMirror returns an empty mirror; order may be nil.
func NewMirror(order WriteOrderFunc) *Mirror {
	return &Mirror{order: order, objects: make(map[string]metastore.Object), deferred: make(map[string]time.Time), removals: make(map[string]metastore.Revision)}
}

// StoreLost records that the store is unavailable. Leases of live servers expire during
// an outage, so removals within recoveryGrace of the recovery are deferred until its end
// and cancelled if the entry is written again.
func (m *Mirror) StoreLost() { m.storeLost = true }

// FollowPeers records that changes come from peers from now on, which say themselves for how long
// removals are deferred.
func (m *Mirror) FollowPeers() { m.storeLost = false }

func (m *Mirror) noteStoreReply(now time.Time) {
	if m.storeLost {
		m.storeLost = false
		m.deferUntil = now.Add(recoveryGrace)
	}
}

// Replace applies a complete list and reports whether anything changed for this host
// or its peers.
func (m *Mirror) Replace(now time.Time, listed []metastore.Object, revision metastore.Revision) bool {
	m.noteStoreReply(now)
	m.startRemovals(now, revision)
	changed := false
	present := make(map[string]bool, len(listed))
	for _, object := range listed {
		present[object.Key] = true
		changed = m.set(object) || changed
	}
	for key := range m.objects {
		if !present[key] {
			changed = m.remove(now, key, revision) || changed
		}
	}
	return changed
}

// startRemovals restarts the record of removals at the first complete list, and at the
// first one of each era. Peers behind that revision get all objects, since older removals
// are unknown. After a restore, writers repeat lost writes, so removals are deferred.
func (m *Mirror) startRemovals(now time.Time, revision metastore.Revision) {
	restored := m.hasList && revision.Era() != m.removalsSince.Era()
	if m.hasList && !restored {
		return
	}
	if restored {
		m.deferUntil = now.Add(recoveryGrace)
		clear(m.removals)
	}
	m.hasList, m.removalsSince = true, revision
}

// ApplyNewer applies the objects that are newer by WriteOrder, whatever their revisions,
// and reports whether there were any.
func (m *Mirror) ApplyNewer(objects []metastore.Object) bool {
	changed := false
	for _, object := range objects {
		held, known := m.objects[object.Key]
		if known && m.order.outdated(held, object) {
			m.objects[object.Key] = object
			changed = true
		}
	}
	return changed
}

// Rewind lets the store overwrite objects with a revision above the given one.
func (m *Mirror) Rewind(revision metastore.Revision) {
	for key, held := range m.objects {
		if held.Revision > revision {
			held.Revision = 0
			m.objects[key] = held
		}
	}
	clear(m.removals)
	m.removalsSince = revision
}

// ApplyChanges applies changed objects up to the revision and reports whether anything
// changed for this host or its peers.
func (m *Mirror) ApplyChanges(now time.Time, objects []metastore.Object, revision metastore.Revision) bool {
	m.noteStoreReply(now)
	changed := false
	for _, object := range objects {
		if object.Version == 0 {
			changed = m.remove(now, object.Key, revision) || changed
			continue
		}
		changed = m.set(object) || changed
	}
	return changed
}

// set stores one object unless it has a lower revision or is an older write than the one
// held, as from a delayed reply or a restored store.
func (m *Mirror) set(object metastore.Object) bool {
	delete(m.deferred, object.Key)
	delete(m.removals, object.Key)
	held, known := m.objects[object.Key]
	if known && (object.Revision <= held.Revision || m.order.outdated(object, held)) {
		return false
	}
	m.objects[object.Key] = object
	return true
}

func (m *Mirror) remove(now time.Time, key string, revision metastore.Revision) bool {
	if _, known := m.objects[key]; !known {
		return false
	}
	if now.Before(m.deferUntil) {
		if _, pending := m.deferred[key]; pending {
			return false
		}
		m.deferred[key] = m.deferUntil
		m.recordRemoval(key, revision)
		return true
	}
	m.drop(key)
	m.recordRemoval(key, revision)
	return true
}

// maxRemovals bounds the recorded removals. Peers further behind get all objects.
const maxRemovals = 4096

// recordRemoval records a removal for peers. It is called at once, even if the removal is
// deferred, since peers that have reached the revision never ask for it again.
func (m *Mirror) recordRemoval(key string, revision metastore.Revision) {
	if len(m.removals) >= maxRemovals {
		clear(m.removals)
		m.removalsSince = revision
	}
	m.removals[key] = revision
}

func (m *Mirror) drop(key string) {
	delete(m.deferred, key)
	delete(m.objects, key)
}

// DeferRemovals defers removals until the given time, because the peer that reported them
// defers them too.
func (m *Mirror) DeferRemovals(until time.Time) {
	if until.After(m.deferUntil) {
		m.deferUntil = until
	}
}

// Tick drops the objects whose deferred removal is due and reports whether there were any.
func (m *Mirror) Tick(now time.Time) bool {
	changed := false
	for key, at := range m.deferred {
		if !now.Before(at) {
			m.drop(key)
			changed = true
		}
	}
	return changed
}

// NextTick is when Tick is due; zero: never.
func (m *Mirror) NextTick() time.Time {
	var next time.Time
	for _, at := range m.deferred {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Objects returns all objects, sorted by key.
func (m *Mirror) Objects() []metastore.Object {
	list := make([]metastore.Object, 0, len(m.objects))
	for _, object := range m.objects {
		list = append(list, object)
	}
	slices.SortFunc(list, func(a, b metastore.Object) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// peerState returns a copy for peers, without objects whose removal is deferred.
func (m *Mirror) peerState(objects []metastore.Object, revision metastore.Revision) *peerState {
	state := &peerState{revision: revision, removed: maps.Clone(m.removals), removedSince: m.removalsSince, finalAt: m.deferUntil}
	for _, object := range objects {
		if _, removing := m.deferred[object.Key]; !removing {
			state.objects = append(state.objects, object)
		}
	}
	return state
}
