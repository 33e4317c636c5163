package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/platform"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// startPlatform gives a stand-in and an HTTP client to it.
func startPlatform(t *testing.T, options platform.ClientOptions) (*standin.Platform, *platform.Client) {
	t.Helper()
	p := standin.NewPlatform()
	address, err := p.Start("")
	if err != nil {
		t.Fatal(err)
	}
	client := platform.NewClient([]string{address}, options)
	t.Cleanup(func() {
		_ = client.Close()
		_ = p.Close()
	})
	return p, client
}

func TestConditionalUpdatesOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, client := startPlatform(t, platform.ClientOptions{})
	_, err := client.Get(ctx, "a/b c")
	is.True(errors.Is(err, platform.ErrNotFound))
	first, err := client.Put(ctx, "a/b c", []byte("one"), 0)
	is.NoErr(err)
	_, err = client.Put(ctx, "a/b c", []byte("two"), 0)
	is.True(errors.Is(err, platform.ErrConflict))
	second, err := client.Put(ctx, "a/b c", []byte("two"), first.Version)
	is.NoErr(err)
	is.True(errors.Is(client.Delete(ctx, "a/b c", first.Version), platform.ErrConflict))
	objects, err := client.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(objects), 1)
	is.Equal(string(objects[0].Value), "two")
	is.NoErr(client.Delete(ctx, "a/b c", second.Version))
	third, err := client.Put(ctx, "a/b c", []byte("three"), 0)
	is.NoErr(err)
	is.True(third.Version > second.Version) // no version is used twice
	_, err = client.Put(ctx, "big", make([]byte, platform.MaxValueBytes+1), 0)
	is.True(errors.Is(err, platform.ErrTooLarge))
}

func TestWatchSeesChangesAndDeletions(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	p, client := startPlatform(t, platform.ClientOptions{WatchWait: 5 * time.Millisecond})
	object, err := p.Put(ctx, "w/1", []byte("one"), 0)
	is.NoErr(err)
	objects, revision, err := client.Watch(ctx, "w/", 0)
	is.NoErr(err)
	is.Equal(string(objects[0].Value), "one")
	go func() {
		time.Sleep(20 * time.Millisecond) // several waits pass without a change
		_ = p.Delete(ctx, "w/1", object.Version)
	}()
	objects, _, err = client.Watch(ctx, "w/", revision)
	is.NoErr(err)
	is.Equal(objects[0].Version, uint64(0))
}

// A writer is told that its write's outcome is unknown: the platform applied
// the write, then the link broke before the reply. Said to be unavailable, the
// writer would write again or tell its user that nothing happened.
func TestLostReplyOfAWriteIsAmbiguous(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, client := startPlatform(t, platform.ClientOptions{})
	p.SetFaults(standin.PlatformFaults{LoseReplies: 1})
	_, err := client.Put(ctx, "k", []byte("v"), 0)
	is.True(errors.Is(err, platform.ErrAmbiguous))
	is.True(!errors.Is(err, platform.ErrUnavailable))
	is.Equal(p.Calls().Put, uint64(1)) // neither the client nor net/http wrote again
	object, err := client.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(object.Value), "v")
}

// The store refuses, then nothing listens any more: in both cases nothing took
// effect, and the writer may be told so.
func TestStoreDownIsUnavailable(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, client := startPlatform(t, platform.ClientOptions{Timeout: 100 * time.Millisecond})
	p.SetFaults(standin.PlatformFaults{Down: true})
	_, err := client.Put(ctx, "k", []byte("v"), 0)
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.True(p.Calls().Put > 1) // a refused write is tried again until the deadline
	is.NoErr(p.Close())
	fresh := platform.NewClient([]string{"127.0.0.1:1"}, platform.ClientOptions{Timeout: 50 * time.Millisecond})
	_, err = fresh.Put(ctx, "k", []byte("v"), 0)
	is.True(errors.Is(err, platform.ErrUnavailable))
}
