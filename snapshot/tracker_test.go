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

// A new version is published while its replicas still load it. Queries must
// stay on the old one until every service holds the new one, and then move.
func TestPinWaitsForEveryService(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Publish([]*Snapshot{snapshotOf(1, "a", "b"), snapshotOf(2, "a", "b")})
	tr.Held(start, "a", "slots", []Version{1})
	tr.Held(start, "b", "slots", []Version{1})
	is.Equal(tr.Pin(start, "slots").Version, Version(1))
	tr.Held(start, "a", "slots", []Version{2, 1})
	is.Equal(tr.Pin(start, "slots").Version, Version(1))
	tr.Held(start, "b", "slots", []Version{2, 1})
	is.Equal(tr.Pin(start, "slots").Version, Version(2))
}

// Nothing was heard of a service yet, and its replicas turn out to lack the
// newest version. The refusal must move later queries to the one that is held.
func TestRefusalMovesThePin(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Publish([]*Snapshot{snapshotOf(1, "a"), snapshotOf(2, "a")})
	is.Equal(tr.Pin(start, "slots").Version, Version(2)) // nothing speaks against it
	tr.Lacked(start, "a", "slots", 2)
	is.Equal(tr.Pin(start, "slots").Version, Version(1))
	// The replica may have loaded it by then.
	is.Equal(tr.Pin(start.Add(lackedFor), "slots").Version, Version(2))
}

// A service lost every copy of all versions. Queries must still get the shards
// that are there, from the version that has most of them.
func TestPinIsTheBestHeldWhenNoneIsWhole(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Publish([]*Snapshot{snapshotOf(1, "a", "b", "c"), snapshotOf(2, "a", "b", "c")})
	tr.Held(start, "a", "slots", []Version{1, 2})
	tr.Held(start, "b", "slots", []Version{1})
	tr.Held(start, "c", "slots", []Version{9})
	is.Equal(tr.Pin(start, "slots").Version, Version(1))
}

func TestWithdrawnAndUnknownIndexes(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Publish([]*Snapshot{snapshotOf(1, "a"), snapshotOf(2, "a")})
	tr.Publish([]*Snapshot{snapshotOf(1, "a")})
	is.Equal(tr.Pin(start, "slots").Version, Version(1))
	is.True(tr.Pin(start, "none") == nil)
}

// A builder publishes a shard map that lists a shard twice. Coverage counted by
// it would be untrue, so it must not be pinned at all.
func TestInvalidSnapshotsAreLeftOut(t *testing.T) {
	is := is.New(t)
	twice := snapshotOf(2, "a", "b")
	twice.Shards[1].ID = twice.Shards[0].ID
	tr := NewTracker()
	is.Equal(tr.Publish([]*Snapshot{snapshotOf(1, "a"), twice, snapshotOf(3)}), 2)
	is.Equal(tr.Pin(start, "slots").Version, Version(1))
}

// What was heard long ago must neither count nor stay in memory.
func TestForgetKeepsNothingOld(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Held(start, "a", "slots", []Version{1})
	tr.Lacked(start, "a", "slots", 2)
	tr.Forget(start.Add(heldFor))
	is.Equal(len(tr.held)+len(tr.lacked)+len(tr.reported), 0)
}
