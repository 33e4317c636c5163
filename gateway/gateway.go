// Package gateway runs an entry host whose routes and backend servers stand in
// the metadata store: it passes callers' requests on as they came, to one
// backend server or to one of each shard, and merges the shards' parts.
package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/discover"
	"github.com/goldcrestspan/goldcrestspan/drain"
	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/route"
)

// Decoder reads the values of the store.
type Decoder interface {
	Config(object metastore.Object) (*route.Config, error)
	Server(object metastore.Object) (ServerEntry, error)
	// Order reads the order of the write of a configuration or a server's entry; false:
	// it can't be read.
	Order(object metastore.Object) (discover.WriteOrder, bool)
}

// Backends runs calls at backend servers over connections that it keeps.
type Backends interface {
	backend.Runner
	// Trim closes idle connections to a server until at most keep are open.
	Trim(server backend.Server, keep int)
}

// Options are what a Gateway needs. All must be set but OnAttempts.
type Options struct {
	Name   string // of this host
	Region string
	Zone   string // availability zone
	// CallerAddress is where callers reach this host, IP and port.
	CallerAddress string
	// PeerListener is the listener of the other hosts' calls.
	PeerListener net.Listener
	// Regions is the region of each availability zone.
	Regions map[string]string
	// ConfigKey, ServersPrefix and HostsPrefix are where the operator's
	// configuration, the backend servers' entries and the hosts' own stand.
	ConfigKey, ServersPrefix, HostsPrefix string
	// EvacuationsPrefix is where the operator names zones that are to get nothing;
	// empty: no zone is ever evacuated.
	EvacuationsPrefix string
	// Warmup are the operator's bounds on what cold servers get.
	Warmup eligible.WarmupTolerance
	ReloadableOptions
	// Capacity is what this host can carry, in thousandths of a core: its
	// processor, or less where its link is the narrower.
	Capacity uint32

	// OnAttemptRate hears how many attempts at backend servers this host makes a second,
	// eased; nil: nobody does. It must not block.
	OnAttemptRate func(perSecond float64)

	Store    metastore.Store
	Backends Backends
	Decode   Decoder
	Logger   *zap.Logger
	Registry *prometheus.Registry
	Now      func() time.Time
}

const (
	// AdviceTTL is how long callers may keep advice. Some keep it three times
	// as long. The shorter it is, the sooner callers leave a lost host; asking
	// costs a host some 50 us.
	AdviceTTL = time.Second
	// keepFactor is how much longer some callers keep advice.
	keepFactor = 3
	// cutOffAfter is how long a host that hears neither the store nor a peer
	// serves on: two watches of 4 s that end without an answer, so that a quiet
	// or slow store is not mistaken for a lost one.
	cutOffAfter = 9 * time.Second
)

// Gateway is one entry host.
type Gateway struct {
	options      Options
	startedAt    time.Time
	log          *zap.Logger
	metrics      *observe.Metrics
	members      *member.Agent
	homes        *homeserver.Server
	coordinators coordinators
	relay        *discover.Relay
	configs      *discover.Follower
	servers      *discover.Follower
	// evacuationList is nil where no zone is ever evacuated.
	evacuationList *discover.Follower
	peers          *peer.Server
	farServer      *farServer
	homeLegs       *homeLegs
	toldForecasts  *toldForecasts
	// live ends after the planned stop; links to peers end with it.
	live context.Context
	end  context.CancelFunc

	tuning  atomic.Pointer[ReloadableOptions]
	sharing atomic.Int64 // hosts that the slack of the budget is divided by
	// homeSharing is the same for the services of large searches.
	homeSharing atomic.Int64
	inForce     atomic.Pointer[configuration]
	zones       atomic.Pointer[map[string]int] // backend servers by zone
	zonesMu     sync.Mutex                     // held while zones and split are worked out
	split       atomic.Pointer[splitServices]
	stop        atomic.Pointer[drain.Stop]
	inFlight    atomic.Int64
	bodies      atomic.Int64 // bytes of the bodies in flight
	attempts    atomic.Int64 // at backend servers, since the start
	callers     callerTimes
	told        atomic.Uint32 // this host's load as the others hear it, in thousandths
	// serversAt is the store's revision of the newest change of the servers.
	serversAt atomic.Uint64
	events    chan func()   // for the control loop
	ended     chan struct{} // closed when the control loop has ended

	// inService are the backend servers that don't leave, by name.
	inService atomic.Pointer[map[string]backend.Server]

	// rules say which servers may get a request now.
	rules atomic.Pointer[eligible.Rules]
	// evacuationsAt is the store's revision of the newest change of the evacuations.
	evacuationsAt atomic.Uint64
	sharedHomes   *homes

	// serversMu guards what is believed of the servers: their entries, the evacuations
	// and the configuration come from different goroutines.
	serversMu    sync.Mutex
	evacuations  *evacuations
	warming      *warming
	serverKeys   []string               // in order
	serverStates map[string]serverState // by key
	// newestStarts are the highest incarnations seen, by server.
	newestStarts *lru.Cache[string, uint64]
}

// New makes a gateway; Run starts it.
func New(options Options) (*Gateway, error) {
	g := &Gateway{
		options:      options,
		startedAt:    options.Now(),
		log:          options.Logger,
		events:       make(chan func(), eventQueue),
		ended:        make(chan struct{}),
		serverStates: make(map[string]serverState),
		warming:      &warming{self: ident.HostID(options.Name), zone: options.Zone, bounds: options.Warmup},
	}
	newest, err := lru.New[string, uint64](rememberedStarts)
	if err != nil {
		return nil, errors.Wrap(err, "starts of backend servers")
	}
	g.newestStarts = newest
	g.tuning.Store(&options.ReloadableOptions)
	g.sharing.Store(leastSharing)
	g.homeSharing.Store(leastSharing)
	g.live, g.end = context.WithCancel(context.Background())
	if err := g.build(); err != nil {
		g.end()
		return nil, err
	}
	return g, nil
}

// rememberedStarts bounds the servers of which the newest start is remembered:
// the 21,000 of the target size and those that left lately.
const rememberedStarts = 32 << 10

// eventQueue holds events that wait for the control loop.
const eventQueue = 64

// Ready reports whether callers should be sent here: the configuration and the
// servers are known, and no stop was asked for.
func (g *Gateway) Ready() bool {
	return g.inForce.Load() != nil && g.servers.HasSynced() && g.evacuationsListed() && !g.Stopping() && !g.cutOff()
}

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stop.Load() != nil }

// Limits are the configured bounds on what callers send.
func (g *Gateway) Limits() route.Limits {
	if c := g.inForce.Load(); c != nil {
		return c.table.Config.Limits
	}
	return route.Limits{}
}

// cutOff reports whether this host has heard neither the store nor a peer for
// so long that its configuration may be out of date.
func (g *Gateway) cutOff() bool {
	heard := g.configs.LastContact()
	if at := g.servers.LastContact(); at.After(heard) {
		heard = at
	}
	return g.members.CutOff(g.options.Now(), heard, cutOffAfter)
}

// Run serves peers and follows the store until ctx ends, then makes a planned
// stop and returns when nothing is in flight or the stop's limit has passed.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.end()
	group, live := errgroup.WithContext(g.live)
	run := func(name string, f func(context.Context) error) {
		group.Go(func() error { return errors.Wrap(f(live), name) })
	}
	run("control", g.control)
	run("members", g.members.Run)
	run("peers", func(ctx context.Context) error { return g.peers.Serve(ctx, g.options.PeerListener) })
	run("configuration", g.configs.Run)
	run("servers", g.servers.Run)
	if g.evacuationList != nil {
		run("evacuations", g.evacuationList.Run)
	}
	run("registration", g.register)
	run("load", g.measureLoad)
	run("stop", func(live context.Context) error {
		select {
		case <-ctx.Done():
			g.plannedStop(live)
		case <-live.Done():
		}
		g.end()
		return nil
	})
	return group.Wait()
}

// control is the one goroutine that changes what is in force.
func (g *Gateway) control(ctx context.Context) error {
	defer close(g.ended)
	for {
		select {
		case event := <-g.events:
			event()
		case <-ctx.Done():
			return nil
		}
	}
}

// post hands an event to the control loop; after its end the event is void.
func (g *Gateway) post(event func()) {
	select {
	case g.events <- event:
	case <-g.ended:
	}
}

// applyConfig puts a configuration from the store or a peer in force, unless a newer one
// is. Every way in passes here. The operator's version only rises; the store's revision
// goes back with the store, and a peer may know a version that the store has lost.
func (g *Gateway) applyConfig(object metastore.Object, source string) {
	before := g.inForce.Load()
	if before != nil && object.Revision == before.revision {
		return
	}
	config, err := g.options.Decode.Config(object)
	if err != nil {
		g.log.Error("configuration can't be read, the one before stays in force", observe.Revision("revision", object.Revision), zap.String("source", source), observe.ErrorText(err))
		return
	}
	if before != nil && config.Version < before.version() {
		g.log.Warn("older configuration is left out", zap.Uint64("version", config.Version), zap.Uint64("in_force", before.version()), observe.Revision("revision", object.Revision))
		return
	}
	next, err := newConfiguration(object.Revision, config)
	if err != nil {
		g.log.Error("configuration is not valid, the one before stays in force", observe.Revision("revision", object.Revision), zap.String("source", source), observe.ErrorText(err))
		return
	}
	g.inForce.Store(next)
	g.homes.Refresh()
	g.configureWarming(next)
	g.callers.forget(next.targets)
	g.toldForecasts.forget(next.names)
	g.countZones()
	g.announce()
	g.log.Info("configuration in force", zap.Uint64("version", config.Version), observe.Revision("revision", object.Revision),
		zap.String("source", source), zap.Int("routes", len(config.Routes)), zap.Int("services", len(config.Services)))
}

func (g *Gateway) homesConfig() *bundle.Config {
	if c := g.inForce.Load(); c != nil {
		return c.homes
	}
	return nil
}
