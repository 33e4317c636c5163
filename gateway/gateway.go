// Package gateway runs an entry host that reads its routes and backend servers from the
// metadata store. It forwards callers' requests unchanged, either to one backend server or
// to one server of each shard, and merges the shards' parts.
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
	"github.com/goldcrestspan/goldcrestspan/freshness"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/internal/controlloop"
	"github.com/goldcrestspan/goldcrestspan/internal/wait"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/route"
)

// Decoder decodes the values in the store.
type Decoder interface {
	Config(object metastore.Object) (*route.Config, error)
	Server(object metastore.Object) (ServerEntry, error)
	// Order returns the write order of a configuration or a server's entry; false if it can't be
	// decoded.
	Order(object metastore.Object) (discover.WriteOrder, bool)
}

// Backends runs calls at backend servers over pooled connections.
type Backends interface {
	backend.Runner
	// Trim closes idle connections to a server until at most keep remain open.
	Trim(server backend.Server, keep int)
}

// Options configures a Gateway. All fields are required except OnAttemptRate.
type Options struct {
	Name   string // name of this host
	Region string
	Zone   string // availability zone
	// CallerAddress is the IP and port at which callers reach this host.
	CallerAddress string
	// PeerListener is the listener for calls of other hosts.
	PeerListener net.Listener
	// Regions maps availability zones to regions.
	Regions map[string]string
	// ConfigKey, ServersPrefix and HostsPrefix are the store keys of the operator's
	// configuration, of the backend servers' entries and of the hosts' entries.
	ConfigKey, ServersPrefix, HostsPrefix string
	// EvacuationsPrefix is the store prefix of evacuated zones; empty if zones are never
	// evacuated.
	EvacuationsPrefix string
	// Customers configures the identification and the limits of customers.
	Customers CustomerOptions
	// Warmup is how far the load on cold servers may exceed their service's warm-up rate.
	Warmup eligible.WarmupTolerance
	ReloadableOptions
	// Capacity of this host in thousandths of a core, or less if its network link is the
	// bottleneck.
	Capacity uint32

	// OnAttemptRate is called with the smoothed rate of attempts at backend servers; it may be
	// nil. It must not block.
	OnAttemptRate func(perSecond float64)

	Store    metastore.Store
	Backends Backends
	Decode   Decoder
	Logger   *zap.Logger
	Registry *prometheus.Registry
	Now      func() time.Time
}

const (
	// AdviceTTL is how long callers may cache advice. Some cache it adviceTTLFactor times as
	// long. A short time lets callers leave a lost host soon.
	AdviceTTL = time.Second
	// adviceTTLFactor is how many times longer some callers cache advice.
	adviceTTLFactor = 3
	// cutOffAfter is how long a host that reaches neither the store nor a peer keeps serving:
	// longer than two store watches of 4 s, so that a quiet or slow store does not count as
	// lost.
	cutOffAfter = 9 * time.Second
)

// Gateway is one entry host.
type Gateway struct {
	options         Options
	startedAt       time.Time
	log             *zap.Logger
	metrics         *observe.Metrics
	customerMetrics *observe.CustomerMetrics
	members         *member.Agent
	homes           *homeserver.Server
	coordinators    coordinators
	relay           *discover.Relay
	configs         *discover.Follower
	servers         *discover.Follower
	// evacuationList is nil if zones are never evacuated.
	evacuationList  *discover.Follower
	peers           *peer.Server
	proxyServer     *proxyServer
	homeLegRunner   *homeLegRunner
	remoteForecasts *remoteForecasts
	crashDetector   *crashDetector
	quotas          *quotas
	searches        *searchAdmission
	// runCtx ends after the planned stop, and links to peers end with it.
	runCtx    context.Context
	cancelRun context.CancelFunc

	reloadable  atomic.Pointer[ReloadableOptions]
	budgetRoles atomic.Pointer[budgetRoles]
	// budgetPlacement is the placement of the homes that the budget was last divided for.
	// It and budgetBasis are used by divideBudget only.
	budgetPlacement *placement
	budgetBasis     budgetBasis
	inForce         atomic.Pointer[configuration]
	trackers        trackers
	gate            *freshness.Gate
	listsOutdated   atomic.Bool                    // of servers and evacuations; see checkFreshness
	arrivedConfig   uint64                         // version of the configuration that the follower has; used on its goroutine
	zoneServers     atomic.Pointer[map[string]int] // backend servers by zone
	zonesMu         sync.Mutex                     // held while zoneServers and split are computed
	split           atomic.Pointer[splitServices]
	stop            atomic.Pointer[drain.Stop]
	stopEnded       chan struct{} // closed when a planned stop has ended, to end the requests in flight
	inFlight        atomic.Int64
	bodyBytes       atomic.Int64 // request body bytes in flight
	attempts        atomic.Int64 // at backend servers since start
	timeouts        callerTimeouts
	reportedLoad    atomic.Uint32 // load reported to peers, in thousandths
	// serversRevision is the store revision of the last change of the servers.
	serversRevision atomic.Uint64
	events          chan func()   // for the control loop
	controlDone     chan struct{} // closed when the control loop ends
	loop            controlloop.Meter

	// inService holds the backend servers that are not leaving, by name.
	inService atomic.Pointer[map[string]backend.Server]

	// rules decides which servers may get a request.
	rules atomic.Pointer[eligible.Rules]
	// evacuationsRevision is the store revision of the last change of the evacuations.
	evacuationsRevision atomic.Uint64
	sharedHomes         *homes

	// serversMu guards the state of the servers: their entries, the evacuations and the
	// configuration arrive on different goroutines.
	serversMu    sync.Mutex
	evacuations  *evacuations
	warming      *warming
	serverKeys   []string               // in order
	serverStates map[string]serverState // by key
	// newestIncarnations holds the highest incarnation seen, by server.
	newestIncarnations *lru.Cache[string, uint64]
}

// New returns a gateway; Run starts it.
func New(options Options) (*Gateway, error) {
	g := &Gateway{
		options:      options,
		startedAt:    options.Now(),
		log:          options.Logger,
		events:       make(chan func(), eventQueueSize),
		controlDone:  make(chan struct{}),
		stopEnded:    make(chan struct{}),
		gate:         freshness.NewGate(options.Customers.ConfigTimeout),
		serverStates: make(map[string]serverState),
		warming:      &warming{self: ident.HostID(options.Name), zone: options.Zone, tolerance: options.Warmup},
	}
	newest, err := lru.New[string, uint64](maxTrackedServers)
	if err != nil {
		return nil, errors.Wrap(err, "create incarnation cache")
	}
	g.newestIncarnations = newest
	g.reloadable.Store(&options.ReloadableOptions)
	g.budgetRoles.Store(&initialBudgetRoles)
	g.searches = newSearchAdmission(options.Now)
	g.runCtx, g.cancelRun = context.WithCancel(context.Background())
	if err := g.build(); err != nil {
		g.cancelRun()
		return nil, err
	}
	return g, nil
}

// maxTrackedServers bounds the servers whose newest incarnation is remembered, in service
// or recently gone: a large fleet has 21,000 in service.
const maxTrackedServers = 32 << 10

// eventQueueSize is how many events may wait for the control loop.
const eventQueueSize = 64

// Ready reports whether callers should be sent here: configuration, servers and evacuations
// are known, and the host is neither stopping nor cut off, nor outdated, nor refuses customers' keys.
func (g *Gateway) Ready() bool {
	c := g.inForce.Load()
	return c != nil && g.servers.HasSynced() && g.evacuationsListed() && !g.Stopping() && !g.cutOff() && g.outdated() == freshness.ReasonNone && !(c.customers != nil && g.keysOutdated())
}

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stop.Load() != nil }

// Limits returns the configured limits on requests.
func (g *Gateway) Limits() route.Limits {
	if c := g.inForce.Load(); c != nil {
		return c.table.Config.Limits
	}
	return route.Limits{}
}

// cutOff reports whether this host has reached neither the store nor a peer for so long that
// its configuration may be outdated.
func (g *Gateway) cutOff() bool {
	lastContact := g.configs.LastContact()
	if at := g.servers.LastContact(); at.After(lastContact) {
		lastContact = at
	}
	return g.members.CutOff(g.options.Now(), lastContact, cutOffAfter)
}

// Run serves peers and follows the store until ctx ends, then performs a planned stop: it
// returns when nothing is in flight or the stop times out.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.cancelRun()
	group, runCtx := errgroup.WithContext(g.runCtx)
	run := func(name string, f func(context.Context) error) {
		group.Go(func() error { return errors.Wrap(f(runCtx), name) })
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
	run("freshness", g.watchFreshness)
	run("limits", g.quotas.run)
	run("processor", g.searches.measureProcessorDelay)
	run("stop", func(runCtx context.Context) error {
		select {
		case <-ctx.Done():
			g.plannedStop(runCtx)
		case <-runCtx.Done():
		}
		g.cancelRun()
		return nil
	})
	return wait.All(g.runCtx, group.Wait, endTimeout)
}

// endTimeout bounds how long the parts of this host take to end after its planned stop.
const endTimeout = 2 * time.Second

// control runs events one at a time; only it changes the configuration in force.
func (g *Gateway) control(ctx context.Context) error {
	defer close(g.controlDone)
	for {
		select {
		case event := <-g.events:
			g.loop.Begin(g.options.Now())
			event()
			g.loop.End()
		case <-ctx.Done():
			return nil
		}
	}
}

// post sends an event to the control loop; after the loop has ended the event is dropped.
func (g *Gateway) post(event func()) {
	select {
	case g.events <- event:
	case <-g.controlDone:
	}
}

// applyConfig puts a configuration from the store or a peer in force unless a newer one
// already is. Versions only rise, while the store's revision goes back when the store is
// restored, and a peer may have a version that the store has lost.
func (g *Gateway) applyConfig(object metastore.Object, source string) {
	previous := g.inForce.Load()
	if previous != nil && object.Revision == previous.revision {
		return
	}
	config, err := g.options.Decode.Config(object)
	if err != nil {
		g.log.Error("failed to decode configuration; keeping the current one", observe.Revision("revision", object.Revision), zap.String("source", source), observe.ErrorText(err))
		g.rejectConfig(object)
		return
	}
	if previous != nil && config.Version < previous.version() {
		g.log.Warn("older configuration is left out", zap.Uint64("version", config.Version), zap.Uint64("in_force", previous.version()), observe.Revision("revision", object.Revision))
		return
	}
	next, err := newConfiguration(object.Revision, config, previous)
	if err != nil {
		g.log.Error("invalid configuration; keeping the current one", observe.Revision("revision", object.Revision), zap.String("source", source), observe.ErrorText(err))
		g.rejectConfig(object)
		return
	}
	g.inForce.Store(next)
	g.homes.Refresh()
	g.searches.controller.Reconfigure(next.compiled)
	g.crashDetector.registry.Reconfigure(next.compiled)
	g.configureWarming(next)
	g.quotas.configure(config.Customers)
	g.timeouts.prune(next.targets)
	g.remoteForecasts.prune(next.hasService)
	g.countZones()
	g.trackers.config.Applied(g.options.Now(), config.Version)
	g.log.Info("configuration in force", zap.Uint64("version", config.Version), observe.Revision("revision", object.Revision),
		zap.String("source", source), zap.Int("routes", len(config.Routes)), zap.Int("services", len(config.Services)), zap.Int("customers", len(config.Customers)))
	g.announce()
	g.passOnConfirmation()
}

func (g *Gateway) homesConfig() *bundle.Config {
	if c := g.inForce.Load(); c != nil {
		return c.compiled
	}
	return nil
}
