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

// loopbackLimit is far above what is measured, so that a busy machine doesn't
// fail the test: the figure is printed, not bounded.
const loopbackLimit = 30 * time.Second

// Seven hosts over real sockets, with the platform behind HTTP, change the
// configuration ten times. The first three watch the store.
func TestRolloutOverLoopback(t *testing.T) {
	is := is.New(t)
	people := newPeople(t)
	store := standin.NewPlatform()
	address, err := store.Start("")
	is.NoErr(err)
	defer store.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var running errgroup.Group
	defer func() { _ = running.Wait() }()
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
	inForce := make(map[uint64]int)
	all := make(chan uint64, 100)
	for i, listener := range listeners {
		pool, client := peer.NewPool(nil), metastore.NewClient([]string{address}, metastore.ClientOptions{})
		defer pool.Close()
		defer client.Close()
		others := append(append([]string(nil), addresses[:i]...), addresses[i+1:]...)
		agent := NewAgent(AgentConfig{
			Address: addresses[i], Store: client, Peers: pool, Signers: people.signers,
			IsWatcher: func() bool { return i < watchers }, PeerAddresses: func() []string { return others },
			OnApplied: func(c *bundle.Config) {
				mu.Lock()
				defer mu.Unlock()
				if inForce[c.Generation]++; inForce[c.Generation] == hosts {
					all <- c.Generation
				}
			},
		})
		server := peer.NewServer()
		is.NoErr(agent.Register(server.Mux()))
		running.Go(func() error { return server.Serve(ctx, listener) })
		running.Go(func() error { return agent.Run(ctx) })
	}

	f := &fleet{t: t, ctx: ctx, store: store, people: people}
	const changes = 10
	for i := range changes {
		change := f.change(30-i, "over loopback")
		started := time.Now()
		receipt, err := f.submit(change)
		is.NoErr(err)
		accepted := time.Since(started)
		select {
		case generation := <-all:
			is.Equal(generation, receipt.Ref.Generation)
			t.Logf("generation %d: submit took %s, in force on %d hosts %s after its start", generation, accepted, hosts, time.Since(started))
		case <-time.After(loopbackLimit):
			t.Fatalf("generation %d is not in force on all hosts", receipt.Ref.Generation)
		}
	}
}
