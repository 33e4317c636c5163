package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// startPlatform starts a platform and returns it with an HTTP client.
func startPlatform(t *testing.T, options metastore.ClientOptions) (*standin.Platform, *metastore.Client) {
	t.Helper()
	p := standin.NewPlatform()
	address, err := p.Start("")
	if err != nil {
		t.Fatal(err)
	}
	client := metastore.NewClient([]string{address}, options)
	t.Cleanup(func() {
		_ = client.Close()
		_ = p.Close()
	})
	return p, client
}

func TestConditionalUpdatesOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, client := startPlatform(t, metastore.ClientOptions{})
	_, err := client.Get(ctx, "a/b c")
	is.True(errors.Is(err, metastore.ErrNotFound))
	first, err := client.Put(ctx, "a/b c", []byte("one"), 0)
	is.NoErr(err)
	_, err = client.Put(ctx, "a/b c", []byte("two"), 0)
	is.True(errors.Is(err, metastore.ErrConflict))
	second, err := client.Put(ctx, "a/b c", []byte("two"), first.Version)
	is.NoErr(err)
	is.True(errors.Is(client.Delete(ctx, "a/b c", first.Version), metastore.ErrConflict))
	objects, _, err := client.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(objects), 1)
	is.Equal(string(objects[0].Value), "two")
	is.NoErr(client.Delete(ctx, "a/b c", second.Version))
	third, err := client.Put(ctx, "a/b c", []byte("three"), 0)
	is.NoErr(err)
	is.True(third.Version > second.Version) // versions are not reused
	_, err = client.Put(ctx, "big", make([]byte, metastore.MaxValueBytes+1), 0)
	is.True(errors.Is(err, metastore.ErrTooLarge))
}

func TestWatchReturnsChangesAndDeletions(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	p, client := startPlatform(t, metastore.ClientOptions{WatchWait: 5 * time.Millisecond})
	object, err := p.Put(ctx, "w/1", []byte("one"), 0)
	is.NoErr(err)
	objects, revision, err := client.Watch(ctx, "w/", 0)
	is.NoErr(err)
	is.Equal(string(objects[0].Value), "one")
	go func() {
		time.Sleep(20 * time.Millisecond) // several watches end without a change
		_ = p.Delete(ctx, "w/1", object.Version)
	}()
	objects, _, err = client.Watch(ctx, "w/", revision)
	is.NoErr(err)
	is.Equal(objects[0].Version, uint64(0))
}

// The platform applies a write and its reply is lost. The write must be reported as
// ambiguous and not as unavailable, because the caller would repeat it.
func TestLostReplyOfAWriteIsAmbiguous(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, client := startPlatform(t, metastore.ClientOptions{})
	p.SetFaults(standin.PlatformFaults{LoseReplies: 1})
	_, err := client.Put(ctx, "k", []byte("v"), 0)
	is.True(errors.Is(err, metastore.ErrAmbiguous))
	is.True(!errors.Is(err, metastore.ErrUnavailable))
	is.Equal(p.Calls().Put, uint64(1)) // the write was not repeated
	object, err := client.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(object.Value), "v")
}

// The store refuses a write, or nothing listens on its port. Both are reported as
// unavailable, because the write certainly didn't take effect.
func TestStoreDownIsUnavailable(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, client := startPlatform(t, metastore.ClientOptions{Timeout: time.Second})
	p.SetFaults(standin.PlatformFaults{Down: true})
	_, err := client.Put(ctx, "k", []byte("v"), 0)
	is.True(errors.Is(err, metastore.ErrUnavailable))
	is.True(p.Calls().Put > 1) // a refused write is retried until the deadline
	is.NoErr(p.Close())
	unreachable := metastore.NewClient([]string{"127.0.0.1:1"}, metastore.ClientOptions{Timeout: 50 * time.Millisecond})
	_, err = unreachable.Put(ctx, "k", []byte("v"), 0)
	is.True(errors.Is(err, metastore.ErrUnavailable))
}

// All open connections to the platform are half-open. A read must succeed on a new
// connection, and a write that was sent on an old one is ambiguous.
func TestBlackholedPlatformConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx := context.Background()
	p, client := startPlatform(t, metastore.ClientOptions{Timeout: 2 * time.Second})
	_, err := client.Put(ctx, "k", []byte("one"), 0)
	is.NoErr(err)
	p.BlackholeConnections()
	for err = errNotCalled; err != nil; { // a slow run may need more than one call
		_, err = client.Get(ctx, "k")
	}
	p.BlackholeConnections()
	_, err = client.Put(ctx, "other", []byte("two"), 0)
	is.True(errors.Is(err, metastore.ErrAmbiguous))
	_, err = p.Get(ctx, "other")
	is.True(errors.Is(err, metastore.ErrNotFound))
}

var errNotCalled = errors.New("not called yet")

// A watch waits on a half-open connection. It must return the next change after the
// wait has timed out.
func TestBlackholedWatchIsRetried(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
	defer cancel()
	p, client := startPlatform(t, metastore.ClientOptions{WatchWait: 50 * time.Millisecond, Timeout: 400 * time.Millisecond})
	seen := make(chan error, 1)
	go func() {
		for {
			objects, _, err := client.Watch(ctx, "w/", 0)
			if len(objects) > 0 || ctx.Err() != nil {
				seen <- err
				return
			}
		}
	}()
	waitFor(t, "the watch", func() bool { return p.Calls().Watch > 0 })
	p.BlackholeConnections()
	_, err := p.Put(ctx, "w/1", []byte("one"), 0)
	is.NoErr(err)
	is.NoErr(<-seen)
}

func TestFailoverToNextAddress(t *testing.T) {
	is := is.New(t)
	p := standin.NewPlatform()
	address, err := p.Start("")
	is.NoErr(err)
	defer p.Close()
	client := metastore.NewClient([]string{"127.0.0.1:1", address}, metastore.ClientOptions{Timeout: longTimeout})
	defer client.Close()
	_, err = client.Put(context.Background(), "k", []byte("v"), 0) // the first address refuses the connection
	is.NoErr(err)
	is.Equal(p.Calls().Put, uint64(1))
}

// A host that writes too often must be refused by its own rate limit, before
// anything is sent to the platform.
func TestRateLimitRefusesBeforeSending(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, client := startPlatform(t, metastore.ClientOptions{Timeout: 10 * time.Second, WritesPerSecond: 0.01})
	_, err := client.Put(ctx, "a", nil, 0)
	is.NoErr(err)
	_, err = client.Put(ctx, "b", nil, 0)
	is.True(errors.Is(err, metastore.ErrUnavailable))
	is.Equal(p.Calls().Put, uint64(1))
}

// The host list is outdated, shrinks or is unavailable.
func TestHostListFaults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, client := startPlatform(t, metastore.ClientOptions{})
	p.AddHost(metastore.ListedHost{Name: "b1", Kind: metastore.KindBackend, State: metastore.StateLive})
	p.AddHost(metastore.ListedHost{Name: "e1", Kind: metastore.KindEntry, State: metastore.StateLive})
	hosts, err := client.Hosts(ctx, metastore.KindBackend)
	is.NoErr(err)
	is.Equal(len(hosts), 1)
	p.SetFaults(standin.PlatformFaults{HostListLag: time.Hour})
	hosts, err = p.Hosts(ctx, metastore.KindBackend)
	is.NoErr(err)
	is.Equal(len(hosts), 0)
	p.SetFaults(standin.PlatformFaults{HostListDown: true})
	_, err = p.Hosts(ctx, metastore.KindBackend)
	is.True(errors.Is(err, metastore.ErrUnavailable))
	p.SetFaults(standin.PlatformFaults{})
	p.RemoveHost(metastore.KindBackend, "b1")
	hosts, err = p.Hosts(ctx, "")
	is.NoErr(err)
	is.Equal(len(hosts), 1)
}
