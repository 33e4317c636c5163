// Package discover follows what others write to the metadata store: the
// operator's configuration and the backend servers' entries. A Mirror is the
// state as this host believes it, a Follower keeps it up to date.
package discover

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// returnGrace is how long after the store is heard again a missing entry is
// still believed: servers whose leases lapsed while the store was away write
// their entries anew within 2 s of its return.
const returnGrace = 2500 * time.Millisecond

// Mirror holds the objects below one prefix. It is pure and not safe for
// concurrent use.
type Mirror struct {
	objects map[string]metastore.Object
	// removing holds when a missing object is dropped.
	removing map[string]time.Time
	lost     bool
	listed   bool // a whole list was taken in
	// gone holds at which revision of the store objects were found gone, for
	// peers; it is complete for those after goneSince, see begin.
	gone      map[string]metastore.Revision
	goneSince metastore.Revision
	// doubtUntil: removals before it are held back until then.
	doubtUntil time.Time
	order      OrderOf
}

// NewMirror makes an empty mirror; order may be nil.
func NewMirror(order OrderOf) *Mirror {
	return &Mirror{order: order, objects: make(map[string]metastore.Object), removing: make(map[string]time.Time), gone: make(map[string]metastore.Revision)}
}

// Lost notes that the store can't be heard.
//
// Failure: the store is away for seconds, every server's lease lapses, and with
// its return the first list is empty: all requests would be refused until the
// servers have written again. The guard holds because a removal that is heard
// within returnGrace of the return takes effect at its end, unless the entry
// comes back; what has really gone is then dropped.
func (m *Mirror) Lost() { m.lost = true }

func (m *Mirror) heard(now time.Time) {
	if m.lost {
		m.lost = false
		m.doubtUntil = now.Add(returnGrace)
	}
}

// Replace takes in a whole list, which holds at the revision, and reports
// whether there is anything new for this host or for peers.
func (m *Mirror) Replace(now time.Time, listed []metastore.Object, revision metastore.Revision) bool {
	m.heard(now)
	m.begin(now, revision)
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

// begin notes where the removals that are remembered begin: with the first whole list, and
// with the first one of each era of the store.
//
// A peer from before that revision is given everything. Otherwise it would keep what was
// removed in the meantime, or what a restored store has lost, and take the revision for
// its own. Whoever had written what the store has lost writes it again, so removals are
// held back.
func (m *Mirror) begin(now time.Time, revision metastore.Revision) {
	restored := m.listed && revision.Era() != m.goneSince.Era()
	if m.listed && !restored {
		return
	}
	if restored {
		m.doubtUntil = now.Add(returnGrace)
		clear(m.gone)
	}
	m.listed, m.goneSince = true, revision
}

// TakeNewer takes in the objects that were written after those held, by what their writers
// say, whatever their revisions; it reports whether there were any.
func (m *Mirror) TakeNewer(objects []metastore.Object) bool {
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

// Rewind makes the objects from above the revision older than any that the store hands out.
func (m *Mirror) Rewind(revision metastore.Revision) {
	for key, held := range m.objects {
		if held.Revision > revision {
			held.Revision = 0
			m.objects[key] = held
		}
	}
	clear(m.gone)
	m.goneSince = revision
}

// Change takes in changed objects up to the revision and reports whether there
// is anything new for this host or for peers.
func (m *Mirror) Change(now time.Time, objects []metastore.Object, revision metastore.Revision) bool {
	m.heard(now)
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

// set takes one object in. An older revision than the one held is left, and so is an
// older write: neither a reply that was long on its way nor a restored store may bring an
// old configuration back.
func (m *Mirror) set(object metastore.Object) bool {
	delete(m.removing, object.Key)
	delete(m.gone, object.Key)
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
	if now.Before(m.doubtUntil) {
		if _, waits := m.removing[key]; waits {
			return false
		}
		m.removing[key] = m.doubtUntil
		m.remember(key, revision)
		return true
	}
	m.drop(key)
	m.remember(key, revision)
	return true
}

// mostGone bounds the removals that are remembered: a release of all servers of
// the largest deployment played. A peer further behind gets everything.
const mostGone = 4096

// remember notes for peers at which revision an object was found gone. It is
// noted when it is heard, not when a removal that is held back takes effect:
// peers that know that revision by then would never ask for it again.
func (m *Mirror) remember(key string, revision metastore.Revision) {
	if len(m.gone) >= mostGone {
		clear(m.gone)
		m.goneSince = revision
	}
	m.gone[key] = revision
}

func (m *Mirror) drop(key string) {
	delete(m.removing, key)
	delete(m.objects, key)
}

// Doubt holds removals back until then: a peer that tells of them has just
// regained the store.
func (m *Mirror) Doubt(until time.Time) {
	if until.After(m.doubtUntil) {
		m.doubtUntil = until
	}
}

// Tick drops what was held back for long enough and reports whether it did.
func (m *Mirror) Tick(now time.Time) bool {
	changed := false
	for key, at := range m.removing {
		if !now.Before(at) {
			m.drop(key)
			changed = true
		}
	}
	return changed
}

// NextTick is when Tick is due; zero: not at all.
func (m *Mirror) NextTick() time.Time {
	var next time.Time
	for _, at := range m.removing {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Objects lists what is believed, by key.
func (m *Mirror) Objects() []metastore.Object {
	list := make([]metastore.Object, 0, len(m.objects))
	for _, object := range m.objects {
		list = append(list, object)
	}
	slices.SortFunc(list, func(a, b metastore.Object) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// known is a copy of what is believed for peers, without what is about to be
// removed.
func (m *Mirror) known(believed []metastore.Object, revision metastore.Revision) *known {
	k := &known{revision: revision, removed: maps.Clone(m.gone), since: m.goneSince, doubtUntil: m.doubtUntil}
	for _, object := range believed {
		if _, leaves := m.removing[object.Key]; !leaves {
			k.objects = append(k.objects, object)
		}
	}
	return k
}
