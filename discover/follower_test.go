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

// Guards against a host that is ready before it has applied its first list, and refuses
// requests for lack of servers.
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

// Guards against a slow start of a whole fleet: a host whose peers have no list either
// must soon list from the store.
func TestHostListsFromTheStoreWhenPeersHaveNoList(t *testing.T) {
	for _, c := range []struct {
		joined bool
		within time.Duration
	}{{true, 2*joinCheckInterval + firstHintTimeout}, {false, peerJoinTimeout + joinCheckInterval}} {
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
			is.True(c.joined || took >= peerJoinTimeout)
			cancel()
			is.NoErr(<-done)
		})
	}
}
