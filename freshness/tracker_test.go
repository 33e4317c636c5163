package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(seconds int) time.Time { return time.Unix(1000+int64(seconds), 0) }

// Guards against a host that seems to be up to date because the version that it misses was
// followed by others, and against one that seems late while it puts each version in force.
func TestBehindSinceTheOldestVersionNotInForce(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	tr.Applied(at(0), 3)
	tr.Announced(at(1), 4, "a")
	tr.Announced(at(4), 5, "a")
	is.Equal(tr.State(at(6)).Behind(at(6)), 5*time.Second)
	tr.Applied(at(6), 4)
	is.Equal(tr.State(at(6)).Behind(at(6)), 2*time.Second)
	for version := uint64(6); version < 100; version++ {
		tr.Announced(at(7), version, "a")
	}
	is.Equal(tr.State(at(8)).Behind(at(8)), 4*time.Second)
	is.Equal(tr.State(at(8)).Newest, uint64(99))
	tr.Applied(at(9), 99)
	tr.Announced(at(9), 5, "a") // a peer that is behind
	is.Equal(tr.State(at(9)).Behind(at(9)), time.Duration(0))
}

// Guards against an operator who can't tell why the newest version is not in force.
func TestObstacleSaysWhatTheNewestVersionWaitsFor(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	tr.Applied(at(0), 3)
	is.Equal(tr.State(at(3)).Obstacle, ObstacleNone)
	tr.Announced(at(1), 4, "a")
	is.Equal(tr.State(at(3)).Obstacle, ObstacleNotFetched)
	tr.Arrived(at(2), 4, Store)
	is.Equal(tr.State(at(3)).Obstacle, ObstacleNotApplied)
	is.Equal(tr.State(at(3)).NewestBy, "a")
	tr.Rejected(4)
	is.Equal(tr.State(at(3)).Obstacle, ObstacleRejected)
	tr.Arrived(at(3), 5, Store)
	is.Equal(tr.State(at(3)).Obstacle, ObstacleNotApplied)
}

// Guards against a confirmation of one version that is taken for that of another.
func TestConfirmationEndsWithTheVersion(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	tr.Applied(at(0), 3)
	tr.Confirmed(4, at(1), Store)
	is.True(tr.State(at(3)).Confirmed.At.IsZero())
	tr.Confirmed(3, at(2), "a")
	tr.Confirmed(3, at(1), Store) // arrived later
	is.Equal(tr.State(at(3)).Confirmed, Confirmation{By: "a", At: at(2)})
	tr.Applied(at(3), 4)
	is.True(tr.State(at(3)).Confirmed.At.IsZero())
}
