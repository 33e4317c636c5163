package discover

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

func object(key string, revision metastore.Revision) metastore.Object {
	return metastore.Object{Key: key, Version: uint64(revision), Revision: revision}
}

func keys(m *Mirror) (names []string) {
	for _, o := range m.Objects() {
		names = append(names, o.Key)
	}
	return names
}

// Guards against dropping all servers after an outage of the store, in which their
// leases expired.
func TestRemovalsAreDeferredAfterAnOutage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := NewMirror(nil)
	m.Replace(now, []metastore.Object{object("a", 1), object("b", 2)}, 2)
	m.StoreLost()
	now = now.Add(5 * time.Second)
	m.Replace(now, nil, 8) // removals are deferred
	is.Equal(keys(m), []string{"a", "b"})
	m.ApplyChanges(now.Add(time.Second), []metastore.Object{object("a", 9)}, 9)
	is.True(!m.Tick(now.Add(recoveryGrace - 1)))
	is.True(m.Tick(m.NextTick()))
	is.Equal(keys(m), []string{"a"}) // b was not written again
}

// Guards against requests to a server that has left: without an outage a removal is
// applied at once.
func TestRemovalIsAppliedAtOnceWithoutAnOutage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := NewMirror(nil)
	m.Replace(now, []metastore.Object{object("a", 1)}, 1)
	is.True(m.ApplyChanges(now, []metastore.Object{{Key: "a"}}, 2))
	is.Equal(len(m.Objects()), 0)
}

// Guards against a delayed reply that brings an older configuration back.
func TestOlderRevisionIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := NewMirror(nil)
	m.Replace(now, []metastore.Object{object("config", 7)}, 7)
	is.True(!m.ApplyChanges(now, []metastore.Object{object("config", 5)}, 5))
	is.True(!m.Replace(now, []metastore.Object{object("config", 6)}, 6))
	is.Equal(m.Objects()[0].Revision, metastore.Revision(7))
}

// Guards against peers that miss removals, or that get an incomplete answer when they
// are behind the recorded removals.
func TestPeersGetChangesAndRemovals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := NewMirror(nil)
	m.Replace(now, []metastore.Object{object("a", 1), object("b", 2), object("c", 3)}, 3)
	m.ApplyChanges(now, []metastore.Object{{Key: "a"}, object("b", 5)}, 5)
	c := m.peerState(m.Objects(), 5).changesAfter(3)
	is.True(!c.complete)
	is.Equal(c.removed, []string{"a"})
	is.Equal(len(c.objects), 1)
	is.Equal(c.objects[0].Key, "b")
	is.True(m.peerState(m.Objects(), 5).changesAfter(0).complete)
	m.removalsSince = 5
	is.True(m.peerState(m.Objects(), 5).changesAfter(4).complete)
}

// Guards against peers that reach a watcher's revision without a removal that it has
// deferred, and so never learn of it.
func TestPeersGetDeferredRemovals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	watcher, peer := NewMirror(nil), NewMirror(nil)
	both := []metastore.Object{object("a", 1), object("b", 2)}
	watcher.Replace(now, both, 2)
	peer.Replace(now, both, 2)
	watcher.StoreLost()
	is.True(watcher.Replace(now, both[:1], 7)) // peers must get the removal
	is.Equal(keys(watcher), []string{"a", "b"})
	heard := watcher.peerState(watcher.Objects(), 7)
	c := heard.changesAfter(2)
	is.Equal(c.removed, []string{"b"})
	peer.DeferRemovals(heard.finalAt)
	peer.ApplyChanges(now, []metastore.Object{{Key: "b"}}, 7)
	is.Equal(keys(peer), []string{"a", "b"}) // deferred here too
	is.True(peer.Tick(heard.finalAt))
	is.Equal(keys(peer), []string{"a"})
}

// Guards against a restarted host that hides a removal from before its start from a
// peer that missed it.
func TestRestartedHostDoesNotHideOlderRemovals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	behind, restarted := NewMirror(nil), NewMirror(nil)
	behind.Replace(now, []metastore.Object{object("a", 1), object("b", 2)}, 11)
	restarted.Replace(now, []metastore.Object{object("a", 1)}, 16) // b was removed at 15
	restarted.ApplyChanges(now, []metastore.Object{object("c", 18)}, 18)
	c := restarted.peerState(restarted.Objects(), 18).changesAfter(11)
	is.True(c.complete)
	behind.Replace(now, c.objects, c.revision)
	is.Equal(keys(behind), []string{"a", "c"})
	is.True(!restarted.peerState(restarted.Objects(), 18).changesAfter(16).complete) // removals after its first list are known
}

// revisionOf returns a revision of an era of the store.
func revisionOf(era, counter uint64) metastore.Revision {
	revision, err := metastore.NewRevision(era, counter)
	if err != nil {
		panic(err) // constants of a test
	}
	return revision
}

// Guards against dropping servers whose entries a restored store has lost.
func TestRemovalsAreDeferredAfterARestore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := NewMirror(nil)
	m.Replace(now, []metastore.Object{object("a", revisionOf(1, 1)), object("b", revisionOf(1, 8)), object("c", revisionOf(1, 9))}, revisionOf(1, 9))
	m.Replace(now, []metastore.Object{object("a", revisionOf(2, 1))}, revisionOf(2, 5))
	is.Equal(keys(m), []string{"a", "b", "c"})
	m.ApplyChanges(now.Add(time.Second), []metastore.Object{object("b", revisionOf(2, 6))}, revisionOf(2, 6))
	is.True(m.Tick(now.Add(recoveryGrace)))
	is.Equal(keys(m), []string{"a", "b"}) // c was not written again
}

// Guards against a peer that keeps an object which only it had received before the restore.
func TestPeerOfAnEarlierEraGetsAllObjects(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	watcher, peer := NewMirror(nil), NewMirror(nil)
	a := object("a", revisionOf(1, 1))
	watcher.Replace(now, []metastore.Object{a}, revisionOf(1, 5))
	peer.Replace(now, []metastore.Object{a, object("b", revisionOf(1, 6))}, revisionOf(1, 6))
	watcher.Replace(now, []metastore.Object{object("a", revisionOf(2, 1))}, revisionOf(2, 5))
	c := watcher.peerState(watcher.Objects(), revisionOf(2, 5)).changesAfter(revisionOf(1, 6))
	is.True(c.complete)
	peer.Replace(now, c.objects, c.revision)
	is.Equal(keys(peer), []string{"a", "b"}) // removal of b is deferred
	is.True(peer.Tick(now.Add(recoveryGrace)))
	is.Equal(keys(peer), []string{"a"})
}
