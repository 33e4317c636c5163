package snapshot

import (
	"sort"
	"time"
)

const (
	// heldFor is how long a backend server's word that it holds a snapshot
	// counts: some replies of every service in use come within seconds.
	heldFor = 10 * time.Second
	// lackedFor is how long a refusal for a missing snapshot counts. It is
	// short: a replica that loads a snapshot will hold it in a moment.
	lackedFor = 2 * time.Second
)

// Tracker chooses the snapshot that a new query pins: the newest one for which
// some replica of every shard is known to hold it. It is pure state; its owner
// serialises the calls.
//
// Load: an index publishes a version while thousands of queries run, and its
// replicas load it one after the other. Harm prevented: a query that pins a
// version too early is refused by the replicas that lack it, and starts again.
type Tracker struct {
	published map[string][]*Snapshot // by index, newest first
	held      map[holding]time.Time
	lacked    map[holding]time.Time
	reported  map[reporter]time.Time
}

type reporter struct{ index, service string }

type holding struct {
	reporter
	version Version
}

// NewTracker makes a tracker that knows of no snapshot.
func NewTracker() *Tracker {
	return &Tracker{
		published: make(map[string][]*Snapshot),
		held:      make(map[holding]time.Time),
		lacked:    make(map[holding]time.Time),
		reported:  make(map[reporter]time.Time),
	}
}

// Publish replaces the known snapshots of all indexes. Invalid ones are left
// out; the count of these is returned.
func (t *Tracker) Publish(all []*Snapshot) (invalid int) {
	t.published = make(map[string][]*Snapshot)
	for _, s := range all {
		if s.Validate() != nil {
			invalid++
			continue
		}
		t.published[s.Index] = append(t.published[s.Index], s)
	}
	for _, versions := range t.published {
		sort.Slice(versions, func(i, j int) bool { return versions[i].Version > versions[j].Version })
	}
	return invalid
}

// Held notes which versions of an index a backend server of the service holds.
func (t *Tracker) Held(now time.Time, service, index string, versions []Version) {
	from := reporter{index, service}
	t.reported[from] = now
	for _, version := range versions {
		h := holding{from, version}
		t.held[h] = now
		delete(t.lacked, h)
	}
}

// Lacked notes that the replicas of a service refused a version they lack.
func (t *Tracker) Lacked(now time.Time, service, index string, version Version) {
	h := holding{reporter{index, service}, version}
	t.lacked[h] = now
	delete(t.held, h)
}

// Pin returns the snapshot for a new query of the index; nil when there is
// none. If no snapshot is held everywhere, it is the one whose shards are held
// best: the query's coverage then says what is missing.
func (t *Tracker) Pin(now time.Time, index string) *Snapshot {
	var best *Snapshot
	fewest := 0
	for _, s := range t.published[index] {
		lacking := t.lacking(now, s)
		if best == nil || lacking < fewest {
			best, fewest = s, lacking
		}
		if fewest == 0 {
			break
		}
	}
	return best
}

// Indexes lists the indexes that have a published snapshot, sorted.
func (t *Tracker) Indexes() []string {
	names := make([]string, 0, len(t.published))
	for name := range t.published {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// lacking counts the shards that no replica is known to hold.
func (t *Tracker) lacking(now time.Time, s *Snapshot) int {
	n := 0
	for _, shard := range s.Shards {
		if !t.heldBy(now, shard.Service, s) {
			n++
		}
	}
	return n
}

// heldBy trusts what the service's servers said lately. Of a service that said
// nothing it assumes the best: its first reply tells, and the query restarts
// once if it was wrong.
func (t *Tracker) heldBy(now time.Time, service string, s *Snapshot) bool {
	from := reporter{s.Index, service}
	h := holding{from, s.Version}
	if within(now, t.held[h], heldFor) {
		return true
	}
	if within(now, t.lacked[h], lackedFor) {
		return false
	}
	return !within(now, t.reported[from], heldFor)
}

func within(now, then time.Time, limit time.Duration) bool {
	return !then.IsZero() && now.Sub(then) < limit
}

// Forget drops what is too old to count, so that memory follows the indexes
// and services in use.
func (t *Tracker) Forget(now time.Time) {
	for h, at := range t.held {
		if !within(now, at, heldFor) {
			delete(t.held, h)
		}
	}
	for h, at := range t.lacked {
		if !within(now, at, lackedFor) {
			delete(t.lacked, h)
		}
	}
	for r, at := range t.reported {
		if !within(now, at, heldFor) {
			delete(t.reported, r)
		}
	}
}
