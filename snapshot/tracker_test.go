package snapshot

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func snapshotOf(version Version, services ...string) *Snapshot {
	s := &Snapshot{Index: "slots", Version: version}
	for i, service := range services {
		s.Shards = append(s.Shards, Shard{ID: ShardID(i + 1), Service: service})
	}
	return s
}

// Guards against pinning a new version before every service has loaded it.
func TestPinWaitsForEveryService(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.Publish([]*Snapshot{snapshotOf(1, "a", "b"), snapshotOf(2, "a", "b")})
	tracker.RecordHeld(start, "a", "slots", []Version{1})
	tracker.RecordHeld(start, "b", "slots", []Version{1})
	is.Equal(tracker.Pin(start, "slots").Version, Version(1))
	tracker.RecordHeld(start, "a", "slots", []Version{2, 1})
	is.Equal(tracker.Pin(start, "slots").Version, Version(1))
	tracker.RecordHeld(start, "b", "slots", []Version{2, 1})
	is.Equal(tracker.Pin(start, "slots").Version, Version(2))
}

// Guards against pinning a version again after the replicas refused it.
func TestRefusalMovesPinToOlderVersion(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.Publish([]*Snapshot{snapshotOf(1, "a"), snapshotOf(2, "a")})
	is.Equal(tracker.Pin(start, "slots").Version, Version(2)) // no report yet
	tracker.RecordMissing(start, "a", "slots", 2)
	is.Equal(tracker.Pin(start, "slots").Version, Version(1))
	// The refusal has expired.
	is.Equal(tracker.Pin(start.Add(missingTTL), "slots").Version, Version(2))
}

// Guards against having no pin, or a worse one, when a service has lost all versions.
func TestPinLacksFewestShards(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.Publish([]*Snapshot{snapshotOf(1, "a", "b", "c"), snapshotOf(2, "a", "b", "c")})
	tracker.RecordHeld(start, "a", "slots", []Version{1, 2})
	tracker.RecordHeld(start, "b", "slots", []Version{1})
	tracker.RecordHeld(start, "c", "slots", []Version{9})
	is.Equal(tracker.Pin(start, "slots").Version, Version(1))
}

func TestWithdrawnVersionAndUnknownIndex(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.Publish([]*Snapshot{snapshotOf(1, "a"), snapshotOf(2, "a")})
	tracker.Publish([]*Snapshot{snapshotOf(1, "a")})
	is.Equal(tracker.Pin(start, "slots").Version, Version(1))
	is.True(tracker.Pin(start, "none") == nil)
}

// Guards against pinning a snapshot with a duplicate shard, which would falsify
// the coverage.
func TestInvalidSnapshotsAreSkipped(t *testing.T) {
	is := is.New(t)
	duplicate := snapshotOf(2, "a", "b")
	duplicate.Shards[1].ID = duplicate.Shards[0].ID
	tracker := NewTracker()
	is.Equal(tracker.Publish([]*Snapshot{snapshotOf(1, "a"), duplicate, snapshotOf(3)}), 2)
	is.Equal(tracker.Pin(start, "slots").Version, Version(1))
}

// Guards against records that stay in memory.
func TestExpireDropsOldRecords(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.RecordHeld(start, "a", "slots", []Version{1})
	tracker.RecordMissing(start, "a", "slots", 2)
	tracker.Expire(start.Add(heldTTL))
	is.Equal(len(tracker.held)+len(tracker.missing)+len(tracker.reported), 0)
}
