package snapshot

import (
	"sort"
	"time"
)

const (
	// heldTTL is how long a backend server's report that it holds a snapshot
	// counts. Services in use renew it within seconds.
	heldTTL = 10 * time.Second
	// missingTTL is how long a refusal for a missing snapshot counts. It is short,
	// since the replica may be loading the snapshot.
	missingTTL = 2 * time.Second
)

// Tracker chooses the snapshot that a new query pins: the newest one of which a
// replica of every shard is known to hold its part. While an index publishes a
// version under load, a query that pinned it too early would be refused by the
// replicas that lack it, and restarted. It is not safe for concurrent use.
type Tracker struct {
	published map[string][]*Snapshot // by index, newest first
	held      map[holding]time.Time  // last report
	missing   map[holding]time.Time  // last refusal
	reported  map[reporter]time.Time // last report of any version
}

type reporter struct{ index, service string }

type holding struct {
	reporter
	version Version
}

// NewTracker makes a tracker without snapshots.
func NewTracker() *Tracker {
	return &Tracker{
		published: make(map[string][]*Snapshot),
		held:      make(map[holding]time.Time),
		missing:   make(map[holding]time.Time),
		reported:  make(map[reporter]time.Time),
	}
}

// Publish replaces the snapshots of all indexes. It skips invalid ones and returns
// their number.
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

// RecordHeld records which versions of an index a backend server of the service holds.
func (t *Tracker) RecordHeld(now time.Time, service, index string, versions []Version) {
	from := reporter{index, service}
	t.reported[from] = now
	for _, version := range versions {
		h := holding{from, version}
		t.held[h] = now
		delete(t.missing, h)
	}
}

// RecordMissing records that the replicas of a service refused a version that they lack.
func (t *Tracker) RecordMissing(now time.Time, service, index string, version Version) {
	h := holding{reporter{index, service}, version}
	t.missing[h] = now
	delete(t.held, h)
}

// Pin returns the snapshot for a new query of the index; nil when there is none.
// If no snapshot is held completely, it is the newest of those that lack the
// fewest shards.
func (t *Tracker) Pin(now time.Time, index string) *Snapshot {
	var best *Snapshot
	fewestMissing := 0
	for _, s := range t.published[index] {
		missingShards := t.missingShards(now, s)
		if best == nil || missingShards < fewestMissing {
			best, fewestMissing = s, missingShards
		}
		if fewestMissing == 0 {
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

// missingShards counts the shards that no replica is known to hold.
func (t *Tracker) missingShards(now time.Time, s *Snapshot) int {
	n := 0
	for _, shard := range s.Shards {
		if !t.isHeldBy(now, shard.Service, s) {
			n++
		}
	}
	return n
}

// isHeldBy reports whether the service holds its part of the snapshot, by the
// recent reports of its servers. Without any report it is presumed to: if not,
// the first query is restarted.
func (t *Tracker) isHeldBy(now time.Time, service string, s *Snapshot) bool {
	from := reporter{s.Index, service}
	h := holding{from, s.Version}
	if isRecent(now, t.held[h], heldTTL) {
		return true
	}
	if isRecent(now, t.missing[h], missingTTL) {
		return false
	}
	return !isRecent(now, t.reported[from], heldTTL)
}

func isRecent(now, then time.Time, ttl time.Duration) bool {
	return !then.IsZero() && now.Sub(then) < ttl
}

// Expire drops the records that are too old to count, to bound the memory.
func (t *Tracker) Expire(now time.Time) {
	for h, at := range t.held {
		if !isRecent(now, at, heldTTL) {
			delete(t.held, h)
		}
	}
	for h, at := range t.missing {
		if !isRecent(now, at, missingTTL) {
			delete(t.missing, h)
		}
	}
	for r, at := range t.reported {
		if !isRecent(now, at, heldTTL) {
			delete(t.reported, r)
		}
	}
}
