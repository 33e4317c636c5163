package discover

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// countingStore counts calls.
type countingStore struct {
	metastore.Store
	lists, staleLists, watches int
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]metastore.Object, metastore.Revision, error) {
	s.lists++
	return s.Store.List(ctx, prefix)
}

func (s *countingStore) ListStale(ctx context.Context, prefix string) ([]metastore.Object, metastore.Revision, error) {
	s.staleLists++
	return s.Store.ListStale(ctx, prefix)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after metastore.Revision) ([]metastore.Object, metastore.Revision, error) {
	s.watches++
	return s.Store.Watch(ctx, prefix, after)
}

// Guards against needless calls while a fleet starts and each host is a watcher until it
// knows the others: a host must make one stale list and no watch.
func TestStartingHostMakesNoWatchBeforeItFollowsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingStore{Store: standin.NewPlatform()}
		start := time.Now()
		f := NewFollower(Config{
			Store: store, Prefix: "servers/", Now: time.Now, Logger: zap.NewNop(), AllowStaleFirstList: true,
			IsWatcher: func() bool { return time.Since(start) < 600*time.Millisecond },
			OnChange:  func([]metastore.Object, metastore.Revision) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(10 * time.Second)
		is.True(f.HasSynced())
		cancel()
		is.NoErr(<-done)
		is.Equal(store.watches, 0)
		is.Equal(store.lists, 0)
		is.Equal(store.staleLists, 1)
	})
}

// quietStore ends each watch shortly before its deadline, without a change.
type quietStore struct{ metastore.Store }

func (quietStore) Watch(ctx context.Context, _ string, after metastore.Revision) ([]metastore.Object, metastore.Revision, error) {
	deadline, _ := ctx.Deadline()
	time.Sleep(time.Until(deadline) - 50*time.Millisecond)
	return nil, after, nil
}

// Guards against a store's answer that counts as contact before it is applied, and against
// watches that outlast the bound on the time without contact.
func TestContactFollowsTheAppliedAnswerWithinTheWatchLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingStore{Store: quietStore{standin.NewPlatform()}}
		var f *Follower
		var contactOnChange time.Time
		changes := 0
		f = NewFollower(Config{
			Store: store, Prefix: "config/", Now: time.Now, Logger: zap.NewNop(),
			IsWatcher:  func() bool { return true },
			WatchLimit: func() time.Duration { return time.Second },
			OnChange: func([]metastore.Object, metastore.Revision) {
				changes++
				contactOnChange = f.LastContact()
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.Equal(changes, 1)
		is.True(contactOnChange.IsZero())
		is.True(time.Since(f.LastContact()) <= time.Second)
		is.True(store.watches >= 9)
		cancel()
		is.NoErr(<-done)
	})
}

// Guards against a stale list after an outage of the store, which would keep servers that
// left meanwhile.
func TestListAfterAnOutageIsNotStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingStore{Store: failingWatchStore{standin.NewPlatform()}}
		f := NewFollower(Config{
			Store: store, Prefix: "servers/", Now: time.Now, Logger: zap.NewNop(), AllowStaleFirstList: true,
			IsWatcher: func() bool { return true },
			OnChange:  func([]metastore.Object, metastore.Revision) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(3 * time.Second)
		cancel()
		is.NoErr(<-done)
		is.Equal(store.staleLists, 1)
		is.True(store.lists > 0)
	})
}

// failingWatchStore fails every watch.
type failingWatchStore struct{ metastore.Store }

func (failingWatchStore) Watch(context.Context, string, metastore.Revision) ([]metastore.Object, metastore.Revision, error) {
	return nil, 0, metastore.ErrUnavailable
}

// restoredStore is a store that was restored to a revision below that of its stale list.
type restoredStore struct {
	metastore.Store
	stale, now          []metastore.Object
	staleAt, restoredAt metastore.Revision
}

func (s *restoredStore) ListStale(context.Context, string) ([]metastore.Object, metastore.Revision, error) {
	return s.stale, s.staleAt, nil
}

func (s *restoredStore) List(context.Context, string) ([]metastore.Object, metastore.Revision, error) {
	return s.now, s.restoredAt, nil
}

func (s *restoredStore) Watch(ctx context.Context, _ string, after metastore.Revision) ([]metastore.Object, metastore.Revision, error) {
	if after > s.restoredAt {
		return nil, after, metastore.ErrHistoryGone
	}
	<-ctx.Done()
	return nil, after, nil
}

// Guards against a host that keeps a stale first list from before a restore, because its
// revisions are higher than the store's.
func TestStaleListFromBeforeARestoreIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &restoredStore{
			stale: []metastore.Object{object("servers/a", revisionOf(2, 60)), object("servers/b", revisionOf(2, 20))}, staleAt: revisionOf(2, 63),
			now: []metastore.Object{object("servers/a", revisionOf(2, 45)), object("servers/b", revisionOf(2, 20))}, restoredAt: revisionOf(2, 50),
		}
		var published []metastore.Object
		f := NewFollower(Config{
			Store: store, Prefix: "servers/", Now: time.Now, Logger: zap.NewNop(), AllowStaleFirstList: true,
			IsWatcher: func() bool { return true },
			OnChange:  func(objects []metastore.Object, _ metastore.Revision) { published = objects },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(5 * time.Second)
		cancel()
		is.NoErr(<-done)
		is.Equal(f.Revision(), revisionOf(2, 50))
		is.Equal(published[0].Revision, revisionOf(2, 45))
		is.Equal(f.peerState.Load().revision, revisionOf(2, 50))
	})
}

// Guards against a host that counts contact with its peers as contact with the store, and against
// hosts that go on calling a store that rejects them once it is not their turn any more.
func TestFollowingPeersIsNoContactWithTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingStore{Store: failingWatchStore{standin.NewPlatform()}}
		start := time.Now()
		peersContact := start
		f := NewFollower(Config{
			Store: store, Prefix: "servers/", Now: time.Now, Logger: zap.NewNop(),
			IsWatcher:    func() bool { return time.Since(start) >= 10*time.Second && time.Since(start) < 12*time.Second },
			OnChange:     func([]metastore.Object, metastore.Revision) {},
			PeersContact: func() time.Time { return peersContact },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(5 * time.Second)
		is.True(time.Since(f.LastContact()) > 4*time.Second)
		peersContact = time.Now()
		is.Equal(f.LastContact(), peersContact)
		time.Sleep(8 * time.Second)
		calls := store.lists + store.watches
		is.True(calls > 2) // it has tried in its turn
		time.Sleep(10 * time.Second)
		is.Equal(store.lists+store.watches, calls)
		cancel()
		is.NoErr(<-done)
	})
}

// Guards against servers that are dropped because their leases expired while nobody reached the
// store: a host that then watches for others must defer removals.
func TestSubstituteDefersRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := standin.NewPlatform()
		put := func(key string) {
			_, err := platform.Put(t.Context(), key, []byte("v"), 0)
			is.NoErr(err)
		}
		put("servers/a")
		start := time.Now()
		var objects []metastore.Object
		f := NewFollower(Config{
			Store: platform, Prefix: "servers/", Now: time.Now, Logger: zap.NewNop(),
			IsWatcher:    func() bool { return time.Since(start) >= 10*time.Second },
			OnChange:     func(all []metastore.Object, _ metastore.Revision) { objects = all },
			PeersContact: func() time.Time { return start },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(5 * time.Second)
		is.Equal(len(objects), 1)
		is.NoErr(platform.Delete(t.Context(), "servers/a", 1))
		time.Sleep(6 * time.Second)
		is.Equal(len(objects), 1)
		time.Sleep(3 * time.Second)
		is.Equal(len(objects), 0)
		cancel()
		is.NoErr(<-done)
	})
}
