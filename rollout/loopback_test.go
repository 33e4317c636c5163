package rollout

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// loopbackLimit is generous so that a busy machine doesn't fail the test; the
// times are logged, not bounded.
const loopbackLimit = 30 * time.Second

// Changes must reach all hosts over real sockets and the store's HTTP client.
func TestRolloutOverLoopback(t *testing.T) {
	is := is.New(t)
	keys := newKeys(t)
	store := standin.NewPlatform()
	address, err := store.Start("")
	is.NoErr(err)
	defer store.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	defer cancel()

	const hosts, watchers = 7, 3
	var listeners []net.Listener
	var addresses []string
	for range hosts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	var mu sync.Mutex
	hostsActive := make(map[uint64]int) // by generation
	activeOnAll := make(chan uint64, 100)
	for i, listener := range listeners {
		pool, client := peer.NewPool(nil), metastore.NewClient([]string{address}, metastore.ClientOptions{})
		defer pool.Close()
		defer client.Close()
		others := append(append([]string(nil), addresses[:i]...), addresses[i+1:]...)
		agent := NewAgent(AgentConfig{
			Address: addresses[i], Store: client, Peers: pool, Signers: keys.signers,
			IsWatcher: func() bool { return i < watchers }, PeerAddresses: func() []string { return others },
			OnApplied: func(c *bundle.Config) {
				mu.Lock()
				defer mu.Unlock()
				if hostsActive[c.Generation]++; hostsActive[c.Generation] == hosts {
					activeOnAll <- c.Generation
				}
			},
		})
		server := peer.NewServer()
		is.NoErr(agent.Register(server.Mux()))
		group.Go(func() error { return server.Serve(ctx, listener) })
		group.Go(func() error { return agent.Run(ctx) })
	}

	f := &fleet{t: t, ctx: ctx, store: store, keys: keys}
	const changes = 10
	for i := range changes {
		change := f.change(30-i, "over loopback")
		started := time.Now()
		submitted, err := f.submit(change)
		is.NoErr(err)
		accepted := time.Since(started)
		select {
		case generation := <-activeOnAll:
			is.Equal(generation, submitted.Ref.Generation)
			t.Logf("generation %d: submit took %s, active on %d hosts %s after its start", generation, accepted, hosts, time.Since(started))
		case <-time.After(loopbackLimit):
			t.Fatalf("generation %d is not active on all hosts", submitted.Ref.Generation)
		}
	}
}
