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
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/rollout/rolloutpb"
)

// Peers connects to other entry hosts; *peer.Pool does.
type Peers interface {
	Conn(ctx context.Context, address string) drpc.Conn
}

// AgentConfig is what an Agent works with. Store, Peers, Signers, IsWatcher
// and PeersFn are required.
type AgentConfig struct {
	// Address is this host's peers' listener, which others pull from.
	Address string
	Store   metastore.Store
	Peers   Peers
	Signers bundle.Signers
	// IsWatcher tells whether this host watches the store for its zone.
	IsWatcher func() bool
	// PeerAddresses returns the peers' listeners of the other live hosts. Before
	// membership knows any it returns the addresses of the settings.
	PeerAddresses func() []string
	// Now is the clock; default time.Now.
	Now func() time.Time
	// Rand is the source of jitter, used by the agent alone.
	Rand       *rand.Rand
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	// OnApplied is called in order with each configuration that comes in
	// force, after Config returns it. It must not block.
	OnApplied func(*bundle.Config)
}

// Agent keeps the accepted configuration in force on one host. Run owns all
// its state; other goroutines read what it publishes.
type Agent struct {
	config  AgentConfig
	metrics *metrics
	logger  *zap.Logger

	events       chan event
	hints        chan hint
	published    atomic.Pointer[published]
	ready        atomic.Pointer[bundle.Config]
	storeHeardAt atomic.Int64 // nanoseconds since 1970; 0: never
	alarm        atomic.Pointer[string]
	// Limits of this host's calls to the store.
	storeLimit    *rate.Limiter
	documentLimit *rate.Limiter
	fallbackLimit *rate.Limiter
	serving       chan struct{}

	// The rest belongs to the control goroutine.
	core    Core
	start   Start
	pull    pullState
	refused refusedSet
	jitter  func(time.Duration) time.Duration
}

// published is what the control goroutine shows to other goroutines.
type published struct {
	ref      bundle.Ref
	signed   []byte
	parts    bundle.Parts
	contents bundle.Contents
	config   *bundle.Config
	// recent are the parts of configurations that were in force before, so
	// that peers that still have them get only what differs.
	recent []recentParts
}

type recentParts struct {
	ref   bundle.Ref
	parts bundle.Parts
}

// NewAgent makes an agent; Run starts it.
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
		config:        config,
		metrics:       newMetrics(config.Registerer),
		logger:        config.Logger.Named("rollout"),
		events:        make(chan event, eventBuffer),
		hints:         make(chan hint, eventBuffer),
		storeLimit:    rate.NewLimiter(storeCallsPerSecond, storeCallBurst),
		documentLimit: rate.NewLimiter(documentsPerSecond, documentsPerSecond),
		fallbackLimit: rate.NewLimiter(rate.Every(fallbackEvery), fallbackBurst),
		serving:       make(chan struct{}, servedAtOnce),
	}
	jitter := newLockedRand(config.Rand)
	a.jitter = jitter.upTo
	return a
}

// Config is the configuration to serve from; nil until the host is ready.
func (a *Agent) Config() *bundle.Config { return a.ready.Load() }

// ActiveRef names the configuration in force; zero: none yet.
func (a *Agent) ActiveRef() bundle.Ref {
	if p := a.published.Load(); p != nil {
		return p.ref
	}
	return bundle.Ref{}
}

// ConfigUpdate is what membership carries about this host's configuration; nil: none.
func (a *Agent) ConfigUpdate() *memberpb.ConfigNews {
	ref := a.ActiveRef()
	if ref.IsZero() {
		return nil
	}
	return &memberpb.ConfigNews{Generation: ref.Generation, ManifestHash: ref.Hash[:]}
}

// LastStoreContact is when the store last answered; zero: never. Only watchers ask
// it all the time, so on other hosts it may be long ago.
func (a *Agent) LastStoreContact() time.Time {
	nanos := a.storeHeardAt.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Alarm is what an operator must look at, as a refused bundle; empty: nothing.
func (a *Agent) Alarm() string {
	if text := a.alarm.Load(); text != nil {
		return *text
	}
	return ""
}

// HandleConfigUpdate takes news of another host's configuration, with the address of its
// peers' listener. It never blocks: news that finds the agent busy is dropped,
// and comes again with the next message of membership.
func (a *Agent) HandleConfigUpdate(news *memberpb.ConfigNews, from string) {
	if news == nil || news.GetGeneration() == 0 {
		return
	}
	hash, err := bundle.HashFromBytes(news.GetManifestHash())
	if err != nil {
		return
	}
	a.hear(bundle.Ref{Generation: news.GetGeneration(), Hash: hash}, from)
}

func (a *Agent) hear(ref bundle.Ref, from string) {
	if a.ActiveRef() == ref {
		return // by far the most frequent news
	}
	select {
	case a.hints <- hint{ref: ref, from: from}:
	default:
		a.metrics.newsDropped.Inc()
	}
}

// Register adds the agent's service to the peers' server.
func (a *Agent) Register(mux drpc.Mux) error {
	return rolloutpb.DRPCRegisterRollout(mux, service{agent: a})
}

// Run keeps the configuration up to date until ctx ends. It is called once.
func (a *Agent) Run(ctx context.Context) error {
	tasks := newTasks(ctx)
	defer tasks.stop()
	tasks.run(a.askStore)
	tasks.run(a.askPeers)
	tasks.run(a.followStore)
	a.control(ctx, tasks)
	return nil
}
