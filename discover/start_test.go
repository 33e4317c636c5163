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

// countedStore counts the calls that a host makes.
type countedStore struct {
	metastore.Store
	lists, staleLists, watches int
}

func (s *countedStore) List(ctx context.Context, prefix string) ([]metastore.Object, uint64, error) {
	s.lists++
	return s.Store.List(ctx, prefix)
}

func (s *countedStore) ListStale(ctx context.Context, prefix string) ([]metastore.Object, uint64, error) {
	s.staleLists++
	return s.Store.ListStale(ctx, prefix)
}

func (s *countedStore) Watch(ctx context.Context, prefix string, after uint64) ([]metastore.Object, uint64, error) {
	s.watches++
	return s.Store.Watch(ctx, prefix, after)
}

// A fleet of 295 hosts starts, and each takes itself for one that has to watch until
// it knows the others, half a second later. The platform, which bills each call, saw two
// watches and two full lists of each host; it must see one cheap list of the servers.
func TestHostOfAStartingFleetMakesNoWatchOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countedStore{Store: standin.NewPlatform()}
		start := time.Now()
		f := NewFollower(Config{
			Store: store, Prefix: "servers/", Now: time.Now, Logger: zap.NewNop(), StaleStart: true,
			Watches: func() bool { return time.Since(start) < 600*time.Millisecond },
			Apply:   func([]metastore.Object, uint64) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(10 * time.Second)
		is.True(f.Listed())
		cancel()
		is.NoErr(<-done)
		is.Equal(store.watches, 0)
		is.Equal(store.lists, 0)
		is.Equal(store.staleLists, 1)
	})
}

// The store is down when a host has listed, and back later. What it lists then must be
// the newest: servers that left meanwhile would get work for seconds more.
func TestListAfterALossIsNotStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countedStore{Store: brokenWatches{standin.NewPlatform()}}
		f := NewFollower(Config{
			Store: store, Prefix: "servers/", Now: time.Now, Logger: zap.NewNop(), StaleStart: true,
			Watches: func() bool { return true },
			Apply:   func([]metastore.Object, uint64) {},
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

// brokenWatches fails every watch.
type brokenWatches struct{ metastore.Store }

func (brokenWatches) Watch(context.Context, string, uint64) ([]metastore.Object, uint64, error) {
	return nil, 0, metastore.ErrUnavailable
}
