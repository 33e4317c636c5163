package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/rollout/rolloutpb"
	"github.com/goldcrestspan/goldcrestspan/settings"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// linkDelay is the default one-way latency between the in-memory hosts.
const linkDelay = time.Millisecond

// keys holds the keys of two authorized signers and of an unknown one.
type keys struct {
	ana, marko, stranger bundle.SigningKey
	signers              bundle.Signers
}

func newKeys(t testing.TB) keys {
	is := is.New(t)
	var k keys
	var err error
	k.ana, err = bundle.GenerateKey("ana")
	is.NoErr(err)
	k.marko, err = bundle.GenerateKey("marko")
	is.NoErr(err)
	k.stranger, err = bundle.GenerateKey("stranger")
	is.NoErr(err)
	k.signers, err = bundle.NewSigners([]settings.Signer{k.ana.Signer(), k.marko.Signer()})
	is.NoErr(err)
	return k
}

func testDocuments(routes int) bundle.Documents {
	docs := bundle.Documents{
		Classes:  []bundle.Class{{Name: "interactive", ReservedShare: 0.5, DefaultDeadline: bundle.Duration(time.Second)}},
		Callers:  []bundle.Caller{{Name: "screens", CertificateName: "screens"}},
		Services: []bundle.Service{{Name: "booking-desk-01", SlotsPerServer: 2, ConnectionsPerServer: 25}},
	}
	for i := range routes {
		docs.Routes = append(docs.Routes, testRoute(fmt.Sprintf("route-%04d", i)))
	}
	return docs
}

func testRoute(name string) bundle.Route {
	return bundle.Route{
		Name: name, Kind: bundle.KindQuery, Index: "slots", Callers: []string{"screens"},
		Classes: []string{"interactive"}, Prefer: bundle.PreferLatency, MinCoverage: 0.8,
	}
}

// fleet runs agents in memory over one simulated platform.
type fleet struct {
	t         testing.TB
	ctx       context.Context
	store     *standin.Platform
	keys      keys
	hosts     []*fleetHost
	byAddress map[string]*fleetHost
	random    *rand.Rand
	delay     time.Duration

	mu    sync.Mutex
	bytes map[string]int // received, by address
	// blocked drops calls from the first address to the second.
	blocked map[[2]string]bool
}

type fleetHost struct {
	fleet   *fleet
	address string
	agent   *Agent
	cancel  context.CancelFunc
	done    chan struct{}
	watcher atomic.Bool
	paused  atomic.Bool
	// running is the agent while the host is up; nil while it is stopped.
	running atomic.Pointer[Agent]

	hold    atomic.Pointer[chan struct{}] // OnApplied waits until it is closed; nil: not at all
	mu      sync.Mutex
	applied []uint64 // generations in the order of activation
}

func newFleet(t testing.TB, hosts, watchers int) *fleet {
	f := &fleet{
		t: t, ctx: t.Context(), store: standin.NewPlatform(), keys: newKeys(t),
		random: rand.New(rand.NewPCG(1, 2)), delay: linkDelay, bytes: map[string]int{}, blocked: map[[2]string]bool{},
		byAddress: map[string]*fleetHost{},
	}
	for i := range hosts {
		host := &fleetHost{fleet: f, address: fmt.Sprintf("10.0.%d.%d:7070", i/250, i%250)}
		host.watcher.Store(i < watchers)
		f.hosts = append(f.hosts, host)
		f.byAddress[host.address] = host
	}
	return f
}

// startAll starts all hosts. stopAll must run before the synctest bubble ends.
func (f *fleet) startAll() {
	for _, host := range f.hosts {
		host.start(f.store)
	}
}

func (f *fleet) stopAll() {
	for _, host := range f.hosts {
		host.stop()
	}
}

func (h *fleetHost) start(store metastore.Store) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.done = cancel, make(chan struct{})
	h.applied = nil
	a := NewAgent(AgentConfig{
		Address: h.address, Store: store, Peers: fleetPeers{h}, Signers: h.fleet.keys.signers,
		IsWatcher: h.watcher.Load, PeerAddresses: h.peers,
		Rand: rand.New(rand.NewPCG(h.fleet.random.Uint64(), 0)),
		OnApplied: func(c *bundle.Config) {
			if hold := h.hold.Load(); hold != nil {
				<-*hold
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			h.applied = append(h.applied, c.Generation)
		},
	})
	h.agent = a
	h.running.Store(a)
	go func() {
		defer close(h.done)
		_ = a.Run(ctx)
	}()
	go h.exchangeAnnouncements(ctx, a)
}

// reachableAgent returns the agent if the host can answer a call from the
// address, or nil.
func (h *fleetHost) reachableAgent(from string) *Agent {
	if h.paused.Load() || h.fleet.isBlocked(from, h.address) {
		return nil
	}
	return h.running.Load()
}

func (h *fleetHost) generations() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]uint64(nil), h.applied...)
}

func (h *fleetHost) stop() {
	if h.cancel == nil {
		return
	}
	h.running.Store(nil)
	h.cancel()
	<-h.done
	h.cancel = nil
}

// exchangeAnnouncements simulates membership: about once a second the host and
// a random peer exchange announcements.
func (h *fleetHost) exchangeAnnouncements(ctx context.Context, agent *Agent) {
	source := rand.New(rand.NewPCG(xxhash.Sum64String(h.address), 0))
	for pause(ctx, 500*time.Millisecond+time.Duration(source.Int64N(int64(time.Second)))) == nil {
		other := h.fleet.hosts[source.IntN(len(h.fleet.hosts))]
		peer := other.reachableAgent(h.address)
		if other == h || peer == nil || h.paused.Load() {
			continue
		}
		agent.HandleConfigUpdate(peer.ConfigUpdate(), other.address)
		peer.HandleConfigUpdate(agent.ConfigUpdate(), h.address)
	}
}

func (h *fleetHost) peers() []string {
	var addresses []string
	for _, other := range h.fleet.hosts {
		if other != h {
			addresses = append(addresses, other.address)
		}
	}
	return addresses
}

func (f *fleet) isBlocked(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked[[2]string{a, b}]
}

func (f *fleet) countBytes(address string, message proto.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes[address] += proto.Size(message)
}

// fleetPeers implements Peers for one host by in-memory calls with latency.
type fleetPeers struct{ from *fleetHost }

func (p fleetPeers) Conn(_ context.Context, address string) drpc.Conn {
	return fleetConn{from: p.from, address: address}
}

type fleetConn struct {
	drpc.Conn
	from    *fleetHost
	address string
}

func (c fleetConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	f := c.from.fleet
	target := f.byAddress[c.address].reachableAgent(c.from.address)
	if target == nil || c.from.paused.Load() {
		<-ctx.Done() // no answer
		return ctx.Err()
	}
	time.Sleep(f.delay)
	f.countBytes(c.address, in.(proto.Message))
	reply, err := dispatch(ctx, service{agent: target}, in)
	if err != nil {
		return err
	}
	time.Sleep(f.delay)
	f.countBytes(c.from.address, reply)
	proto.Merge(out.(proto.Message), reply)
	return nil
}

func dispatch(ctx context.Context, s service, in any) (proto.Message, error) {
	switch request := in.(type) {
	case *rolloutpb.NotifyRequest:
		return s.Notify(ctx, request)
	case *rolloutpb.HeadRequest:
		return s.Head(ctx, request)
	case *rolloutpb.DocumentsRequest:
		return s.Documents(ctx, request)
	default:
		return nil, errors.Errorf("no rpc for %T", in)
	}
}

// accept proposes, signs and submits a change to docs.
func (f *fleet) accept(docs bundle.Documents, reason string) bundle.Ref {
	is := is.New(f.t)
	change, err := Propose(f.ctx, f.store, docs, bundle.Proposal{Author: "ana", Reason: reason})
	is.NoErr(err)
	submitted, err := Submit(f.ctx, f.store, f.keys.signers, change.Sign(f.keys.ana).Sign(f.keys.marko))
	is.NoErr(err)
	return submitted.Ref
}

// countActive returns how many hosts are ready with the configuration active.
func (f *fleet) countActive(ref bundle.Ref) int {
	n := 0
	for _, host := range f.hosts {
		agent := host.running.Load()
		if agent == nil || agent.ActiveRef() != ref {
			continue
		}
		if config := agent.Config(); config != nil && config.Generation == ref.Generation {
			n++
		}
	}
	return n
}

// waitActive waits until the configuration is active on n hosts and returns how
// long that took. It fails the test after limit.
func (f *fleet) waitActive(limit time.Duration, ref bundle.Ref, n int) time.Duration {
	f.t.Helper()
	started := time.Now()
	for f.countActive(ref) < n {
		if time.Since(started) > limit {
			f.t.Fatalf("generation %s active on %d of %d hosts after %s", ref, f.countActive(ref), n, limit)
		}
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
	}
	return time.Since(started)
}
