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

// forgetful answers lists and knows no history.
type forgetful struct{ metastore.Store }

// callTime is how long one call takes.
const callTime = 4 * time.Millisecond

func (forgetful) Watch(context.Context, string, metastore.Revision) ([]metastore.Object, metastore.Revision, error) {
	time.Sleep(callTime)
	return nil, 0, metastore.ErrHistoryGone
}

// Guards against a host that reads a store without history in a loop without a pause.
func TestStoreWithoutHistoryIsListedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			watched = 20 * time.Second
			// mostLists: one each mostRetry, and those while the pause grows.
			mostLists = int(watched/mostRetry) + 6
		)
		is := is.New(t)
		store := &countedStore{Store: forgetful{standin.NewPlatform()}}
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
		is.True(store.lists >= int(watched/mostRetry)-1) // the newest is known within a second
	})
}

// listsAt answers each list with no objects at a revision.
type listsAt struct {
	metastore.Store
	revision metastore.Revision
}

func (s listsAt) List(context.Context, string) ([]metastore.Object, metastore.Revision, error) {
	return nil, s.revision, nil
}

// Guards against an answer from before a restore that arrives after a peer's news of it.
func TestListOfAnEarlierEraIsNotTaken(t *testing.T) {
	is := is.New(t)
	f := NewFollower(Config{
		Store: listsAt{revision: inEra(1, 90)}, Prefix: "servers/", Now: time.Now, Logger: zap.NewNop(),
		OnChange: func([]metastore.Object, metastore.Revision) {},
	})
	f.take(changes{revision: inEra(2, 5), whole: true, objects: []metastore.Object{object("servers/a", inEra(2, 5))}}, "peer")
	is.True(f.list(t.Context()) != nil)
	is.Equal(f.Revision(), inEra(2, 5))
	is.Equal(keys(f.mirror), []string{"servers/a"})
}
