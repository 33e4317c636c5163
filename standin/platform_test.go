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

// startPlatform gives a stand-in and an HTTP client to it.
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
	is.True(third.Version > second.Version) // no version is used twice
	_, err = client.Put(ctx, "big", make([]byte, metastore.MaxValueBytes+1), 0)
	is.True(errors.Is(err, metastore.ErrTooLarge))
}

func TestWatchSeesChangesAndDeletions(t *testing.T) {
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
	p, client := startPlatform(t, metastore.ClientOptions{})
	p.SetFaults(standin.PlatformFaults{LoseReplies: 1})
	_, err := client.Put(ctx, "k", []byte("v"), 0)
	is.True(errors.Is(err, metastore.ErrAmbiguous))
	is.True(!errors.Is(err, metastore.ErrUnavailable))
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
	p, client := startPlatform(t, metastore.ClientOptions{Timeout: time.Second})
	p.SetFaults(standin.PlatformFaults{Down: true})
	_, err := client.Put(ctx, "k", []byte("v"), 0)
	is.True(errors.Is(err, metastore.ErrUnavailable))
	is.True(p.Calls().Put > 1) // a refused write is tried again until the deadline
	is.NoErr(p.Close())
	fresh := metastore.NewClient([]string{"127.0.0.1:1"}, metastore.ClientOptions{Timeout: 50 * time.Millisecond})
	_, err = fresh.Put(ctx, "k", []byte("v"), 0)
	is.True(errors.Is(err, metastore.ErrUnavailable))
}

// Something between host and platform lost track of all open connections. The
// next read is answered all the same, on a new connection; a write that went
// out on a silent one is ambiguous, and reading back shows that it is not there.
func TestSilentConnectionsToThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx := context.Background()
	p, client := startPlatform(t, metastore.ClientOptions{Timeout: 2 * time.Second})
	_, err := client.Put(ctx, "k", []byte("one"), 0)
	is.NoErr(err)
	p.BlackholeConnections()
	for err = errNever; err != nil; { // a busy machine may need more than one call
		_, err = client.Get(ctx, "k")
	}
	p.BlackholeConnections()
	_, err = client.Put(ctx, "other", []byte("two"), 0)
	is.True(errors.Is(err, metastore.ErrAmbiguous))
	_, err = p.Get(ctx, "other")
	is.True(errors.Is(err, metastore.ErrNotFound))
}

var errNever = errors.New("not called yet")

// A watch waits on a connection that went silent. The change that comes then
// is seen all the same, after the wait is over.
func TestSilentWatchIsAskedAgain(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), longDeadline)
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

func TestAnotherAddressTakesOver(t *testing.T) {
	is := is.New(t)
	p := standin.NewPlatform()
	address, err := p.Start("")
	is.NoErr(err)
	defer p.Close()
	client := metastore.NewClient([]string{"127.0.0.1:1", address}, metastore.ClientOptions{Timeout: longDeadline})
	defer client.Close()
	_, err = client.Put(context.Background(), "k", []byte("v"), 0) // refused by the first: surely not sent
	is.NoErr(err)
	is.Equal(p.Calls().Put, uint64(1))
}

// A host whose logic runs wild must not use up the platform's rates: its own
// limit refuses, and nothing is sent.
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

// The host list lags, is empty, or can't be had: three different things.
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
	p.SetFaults(standin.PlatformFaults{HostsDown: true})
	_, err = p.Hosts(ctx, metastore.KindBackend)
	is.True(errors.Is(err, metastore.ErrUnavailable))
	p.SetFaults(standin.PlatformFaults{})
	p.RemoveHost(metastore.KindBackend, "b1")
	hosts, err = p.Hosts(ctx, "")
	is.NoErr(err)
	is.Equal(len(hosts), 1)
}
