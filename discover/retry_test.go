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

// noHistoryStore answers lists and fails each watch with ErrHistoryGone.
type noHistoryStore struct{ metastore.Store }

// watchDuration is the duration of a watch that fails.
const watchDuration = 4 * time.Millisecond

func (noHistoryStore) Watch(context.Context, string, metastore.Revision) ([]metastore.Object, metastore.Revision, error) {
	time.Sleep(watchDuration)
	return nil, 0, metastore.ErrHistoryGone
}

// Guards against a host that lists in a loop without a delay from a store without history.
func TestStoreWithoutHistoryIsListedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			watched = 20 * time.Second
			// mostLists allows one for each maxRetryDelay, and those while the delay grows.
			mostLists = int(watched/maxRetryDelay) + 6
		)
		is := is.New(t)
		store := &countingStore{Store: noHistoryStore{standin.NewPlatform()}}
		f := NewFollower(Config{
			Store: store, Prefix: "config", Now: time.Now, Logger: zap.NewNop(),
			IsWatcher: func() bool { return true },
			OnChange:  func([]metastore.Object, metastore.Revision) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(watched)
		cancel()
		is.NoErr(<-done)
		is.True(store.lists <= mostLists)
		is.True(store.lists >= int(watched/maxRetryDelay)-1) // changes are applied within a second
	})
}

// fixedListStore answers each list with no objects and a fixed revision.
type fixedListStore struct {
	metastore.Store
	revision metastore.Revision
}

func (s fixedListStore) List(context.Context, string) ([]metastore.Object, metastore.Revision, error) {
	return nil, s.revision, nil
}

// Guards against a list from before a restore that arrives after a peer's changes from
// after it.
func TestListOfAnEarlierEraIsRejected(t *testing.T) {
	is := is.New(t)
	f := NewFollower(Config{
		Store: fixedListStore{revision: revisionOf(1, 90)}, Prefix: "servers/", Now: time.Now, Logger: zap.NewNop(),
		OnChange: func([]metastore.Object, metastore.Revision) {},
	})
	f.applyChanges(changes{revision: revisionOf(2, 5), complete: true, objects: []metastore.Object{object("servers/a", revisionOf(2, 5))}}, "peer")
	is.True(f.listStore(t.Context()) != nil)
	is.Equal(f.Revision(), revisionOf(2, 5))
	is.Equal(keys(f.mirror), []string{"servers/a"})
}
