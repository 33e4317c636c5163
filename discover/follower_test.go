package discover

import (
	"context"
	"testing"
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
		Watches: func() bool { return true },
		Apply:   func([]metastore.Object, uint64) { applied <- f.Listed() },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	is.Equal(<-applied, false)
	for !f.Listed() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.NoErr(<-done)
}
