package rollout

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/freshness"
	"github.com/goldcrestspan/goldcrestspan/internal/controlloop"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/rollout/rolloutpb"
)

// Peers connects to other entry hosts; *peer.Pool implements it.
type Peers interface {
	Conn(ctx context.Context, address string) drpc.Conn
}

// AgentConfig configures an Agent. Store, Peers, Signers, IsWatcher and
// PeerAddresses are required.
type AgentConfig struct {
	// Address is this host's peer listener, from which other hosts pull.
	Address string
	Store   metastore.Store
	Peers   Peers
	Signers bundle.Signers
	// IsWatcher reports whether this host watches the store for its zone.
	IsWatcher func() bool
	// OnStoreContact is called when the store has answered; nil: not called.
	OnStoreContact func(at time.Time)
	// PeerAddresses returns the peer listeners of the other live hosts, or the
	// seed addresses of the settings while membership knows no host.
	PeerAddresses func() []string
	// Now defaults to time.Now.
	Now func() time.Time
	// Rand is the source of jitter. The agent needs exclusive use of it.
	Rand       *rand.Rand
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	// OnApplied is called with each configuration in the order of activation,
	// once Config returns it. It must not block.
	OnApplied func(*bundle.Config)
}

// Agent applies accepted configurations on one host. Its state belongs to the
// control loop in Run; other goroutines read the published snapshot.
type Agent struct {
	config  AgentConfig
	metrics *metrics
	logger  *zap.Logger

	events         chan event
	announcements  chan announcement
	snapshot       atomic.Pointer[snapshot]
	ready          atomic.Pointer[bundle.Config]
	lastStoreReply atomic.Int64 // Unix time in nanoseconds; 0: never
	alarm          atomic.Pointer[string]
	tracker        freshness.Tracker
	loop           controlloop.Meter
	// Rate limits on this host's calls to the store.
	storeLimiter    *rate.Limiter
	documentLimiter *rate.Limiter
	fallbackLimiter *rate.Limiter
	serveSlots      chan struct{}

	// The fields below are accessed only by the control loop.
	active  ActiveConfig
	startup StartupGate
	pull    pullState
	refused refusedSet
	jitter  func(time.Duration) time.Duration
}

// snapshot is the immutable state of the active configuration, which the
// control loop publishes to other goroutines.
type snapshot struct {
	ref      bundle.Ref
	signed   []byte
	parts    bundle.Parts
	contents bundle.Contents
	config   *bundle.Config
	// recent lists the parts of earlier active configurations, so that peers
	// that still have one of them are sent only the difference.
	recent []recentParts
}

type recentParts struct {
	ref   bundle.Ref
	parts bundle.Parts
}

// NewAgent returns an agent that does nothing until Run is called.
func NewAgent(config AgentConfig) *Agent {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	a := &Agent{
		config:          config,
		metrics:         newMetrics(config.Registerer),
		logger:          config.Logger.Named("rollout"),
		events:          make(chan event, eventQueueLength),
		announcements:   make(chan announcement, eventQueueLength),
		storeLimiter:    rate.NewLimiter(storeCallsPerSecond, storeCallBurst),
		documentLimiter: rate.NewLimiter(documentsPerSecond, documentsPerSecond),
		fallbackLimiter: rate.NewLimiter(rate.Every(fallbackInterval), fallbackBurst),
		serveSlots:      make(chan struct{}, maxConcurrentServes),
	}
	jitter := newLockedRand(config.Rand)
	a.jitter = jitter.upTo
	return a
}

// Config returns the configuration to serve with, or nil until the host is
// ready.
func (a *Agent) Config() *bundle.Config { return a.ready.Load() }

// ActiveRef returns the reference of the active configuration, or the zero Ref
// if there is none yet.
func (a *Agent) ActiveRef() bundle.Ref {
	if p := a.snapshot.Load(); p != nil {
		return p.ref
	}
	return bundle.Ref{}
}

// ConfigUpdate returns the announcement of the active configuration that
// membership messages carry, or nil if there is no active configuration.
func (a *Agent) ConfigUpdate() *memberpb.ConfigNews {
	ref := a.ActiveRef()
	if ref.IsZero() {
		return nil
	}
	return &memberpb.ConfigNews{Generation: ref.Generation, ManifestHash: ref.Hash[:]}
}

// LastStoreContact returns when the store last answered, or the zero time if it
// never did. Hosts that aren't watchers call the store rarely, so their value
// may be old.
func (a *Agent) LastStoreContact() time.Time {
	nanos := a.lastStoreReply.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Freshness tells whether the active configuration is the newest that has arrived here with valid
// signatures. A generation that a peer only announces does not count: announcements are not signed.
func (a *Agent) Freshness() freshness.State { return a.tracker.State(a.config.Now()) }

// Loop returns the state of the control loop.
func (a *Agent) Loop() controlloop.State {
	return a.loop.State(a.config.Now(), len(a.events)+len(a.announcements))
}

// Alarm returns the current problem that needs an operator, such as a refused
// bundle, or "" if there is none.
func (a *Agent) Alarm() string {
	if text := a.alarm.Load(); text != nil {
		return *text
	}
	return ""
}

// HandleConfigUpdate handles another host's announcement of its configuration;
// from is that host's peer listener. It never blocks: if the queue is full the
// announcement is dropped, and the next membership message repeats it.
func (a *Agent) HandleConfigUpdate(update *memberpb.ConfigNews, from string) {
	if update == nil || update.GetGeneration() == 0 {
		return
	}
	hash, err := bundle.HashFromBytes(update.GetManifestHash())
	if err != nil {
		return
	}
	a.enqueueAnnouncement(bundle.Ref{Generation: update.GetGeneration(), Hash: hash}, from)
}

func (a *Agent) enqueueAnnouncement(ref bundle.Ref, from string) {
	if a.ActiveRef() == ref {
		return // the most frequent case
	}
	select {
	case a.announcements <- announcement{ref: ref, from: from}:
	default:
		a.metrics.announcementsDropped.Inc()
	}
}

// Register adds the rollout service to the peer server.
func (a *Agent) Register(mux drpc.Mux) error {
	return rolloutpb.DRPCRegisterRollout(mux, service{agent: a})
}

// Run keeps the configuration up to date until ctx ends. It may be called only
// once.
func (a *Agent) Run(ctx context.Context) error {
	tasks := newTasks(ctx)
	defer tasks.stop()
	tasks.run(a.queryStoreAtStartup)
	tasks.run(a.queryPeersAtStartup)
	tasks.run(a.followStore)
	a.controlLoop(ctx, tasks)
	return nil
}
