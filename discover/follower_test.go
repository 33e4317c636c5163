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

// A host is taken for ready a moment before it has applied the servers of its
// first list, and refuses the requests that come in that moment.
func TestHostIsNotReadyBeforeItsListIsApplied(t *testing.T) {
	is := is.New(t)
	store := standin.NewPlatform()
	_, err := store.Put(t.Context(), "servers/a", []byte("entry"), 0)
	is.NoErr(err)
	applied := make(chan bool, 1)
	var f *Follower
	f = NewFollower(Config{
		Store: store, Prefix: "servers/", Now: time.Now, Logger: zap.NewNop(),
		IsWatcher: func() bool { return true },
		OnChange:  func([]metastore.Object, metastore.Revision) { applied <- f.HasSynced() },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	is.Equal(<-applied, false)
	for !f.HasSynced() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.NoErr(<-done)
}

// All hosts lost power and start at once; callers wait. A host whose first peer
// has answered, and knows nothing either, must ask the store at once: waiting
// longer for news that nobody has only keeps callers waiting.
func TestHostAsksTheStoreOnceAPeerKnowsNothing(t *testing.T) {
	for _, c := range []struct {
		joined bool
		within time.Duration
	}{{true, 2*joinedCheck + joinedWait}, {false, peersWait + joinedCheck}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := NewFollower(Config{
				Store: standin.NewPlatform(), Prefix: "servers/", Now: time.Now, Logger: zap.NewNop(),
				IsWatcher: func() bool { return true },
				Joined:    func() bool { return c.joined },
				OnChange:  func([]metastore.Object, metastore.Revision) {},
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			start := time.Now()
			go func() { done <- f.Run(ctx) }()
			for !f.HasSynced() {
				time.Sleep(time.Millisecond)
			}
			took := time.Since(start)
			is.True(took <= c.within)
			is.True(c.joined || took >= peersWait)
			cancel()
			is.NoErr(<-done)
		})
	}
}
