package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/peer"
)

const (
	// eventQueue holds events that wait for the control loop. Callers block
	// when it is full, up to their own deadline.
	eventQueue = 256
	// loadOnlyEvery and loadOnlyPerHost bound how often a view is published for
	// loads alone: often enough that callers are sent to more hosts within a second
	// of a burst, and once a second in a fleet of 3,400.
	loadOnlyEvery   = 250 * time.Millisecond
	loadOnlyPerHost = 300 * time.Microsecond
	// changedEvery and changedPerHost bound how often it is for anything. While
	// an availability zone is lost states change all the time, and with each
	// view of 3,400 hosts readers work out the homes of 10,500 services anew,
	// 62 ms of a core: at 50 ms between views a core would be full.
	changedEvery   = 50 * time.Millisecond
	changedPerHost = 100 * time.Microsecond
	// relaysAtOnce bounds the probes made for others at one time.
	relaysAtOnce = 32
	// listWatchers hosts of each availability zone read the host list.
	listWatchers = 2
	// listEvery is how often they read it in a small fleet; listPerHost slows
	// that down as the list grows.
	listEvery   = 2 * time.Second
	listPerHost = 10 * time.Millisecond
	listTimeout = 2 * time.Second
)

// AgentConfig is what an Agent needs. Pool and Logger must be set; callbacks
// may be nil. They run on the control loop and must not block.
type AgentConfig struct {
	Membership Config
	Pool       *peer.Pool
	HostList   metastore.HostList // nil: no second opinion
	Now        func() time.Time   // nil: time.Now
	Rand       *rand.Rand         // nil: seeded by the operating system
	Logger     *zap.Logger
	Registerer prometheus.Registerer // nil: no metrics

	// OnConfigUpdate hears of a configuration newer than the one announced by
	// AnnounceConfig, again with each message until then.
	OnConfigUpdate func(ConfigUpdate)
	// OnBackendUpdate hears once of each leaving life of a backend server.
	OnBackendUpdate func(BackendUpdate)
	// OnSuspectRequest hears once of each suspicion.
	OnSuspectRequest func(SuspectRequestUpdate)
	// OnView hears of each published view.
	OnView func(*View)
	// OnReplaced hears once that another process runs under this host's ID:
	// this one must stop.
	OnReplaced func()
}

// Agent runs a Membership: one goroutine owns it, calls to peers run beside.
type Agent struct {
	config  AgentConfig
	metrics *metrics
	events  chan func(now time.Time, m *Membership)
	done    chan struct{}

	view        atomic.Pointer[View]
	peerHeardAt atomic.Int64 // nanoseconds since 1970; 0: never
	joined      atomic.Bool
	incarnation atomic.Uint64

	// Owned by the control loop.
	members     *Membership
	startedAt   time.Time
	publishedAt time.Time
	wasReplaced bool
	calls       sync.WaitGroup
	relays      chan struct{}
}

// NewAgent makes an agent; Run starts it.
func NewAgent(config AgentConfig) *Agent {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	now := config.Now()
	a := &Agent{
		config:    config,
		metrics:   newMetrics(config.Registerer),
		events:    make(chan func(time.Time, *Membership), eventQueue),
		done:      make(chan struct{}),
		members:   New(config.Membership, now, config.Rand),
		startedAt: now,
		relays:    make(chan struct{}, relaysAtOnce),
	}
	a.publish(now)
	return a
}

// View is the newest published view. It never is nil.
func (a *Agent) View() *View { return a.view.Load() }

// Joined reports whether a peer has given its whole view.
func (a *Agent) Joined() bool { return a.joined.Load() }

// Incarnation is this host's life. It can rise until Joined, see Membership.
func (a *Agent) Incarnation() ident.Incarnation { return ident.Incarnation(a.incarnation.Load()) }

// LastPeerContact is when a peer last answered; zero: never.
func (a *Agent) LastPeerContact() time.Time {
	nanos := a.peerHeardAt.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// CutOff decides whether new requests are to be refused as not run. The
// caller passes when the platform's store last answered; zero: never.
func (a *Agent) CutOff(now, storeHeardAt time.Time, after time.Duration) bool {
	return CutOff(now, Contact{
		StartedAt:    a.startedAt,
		PeerHeardAt:  a.LastPeerContact(),
		StoreHeardAt: storeHeardAt,
		Minority:     a.View().Minority,
	}, after)
}

// AnnounceConfig tells peers which configuration this host has in force.
func (a *Agent) AnnounceConfig(generation uint64, manifestHash []byte) {
	a.post(func(now time.Time, m *Membership) { m.AnnounceConfig(now, generation, manifestHash) })
}

// AnnounceStore tells peers up to which revisions of the store this host knows its
// changes.
func (a *Agent) AnnounceStore(known StoreRevisions) {
	a.post(func(now time.Time, m *Membership) { m.AnnounceStore(now, known) })
}

// AnnounceBackend tells peers that a life of a backend server is leaving.
func (a *Agent) AnnounceBackend(news BackendUpdate) {
	a.post(func(now time.Time, m *Membership) { m.AnnounceBackend(now, news) })
}

// AnnounceSuspectRequest tells peers of a request in flight at a lost server.
func (a *Agent) AnnounceSuspectRequest(news SuspectRequestUpdate) {
	a.post(func(now time.Time, m *Membership) { m.AnnounceSuspectRequest(now, news) })
}

// ReportUnreachable says that traffic could not reach a host.
func (a *Agent) ReportUnreachable(id ident.HostID) {
	a.post(func(now time.Time, m *Membership) { m.ReportUnreachable(now, id) })
}

// SetLoad sets this host's measure of its own load, in thousandths.
func (a *Agent) SetLoad(permille uint32) {
	a.post(func(_ time.Time, m *Membership) { m.SetLoad(permille) })
}

// AddSeeds adds peer addresses to call when no peer is known.
func (a *Agent) AddSeeds(addresses []string) {
	a.post(func(_ time.Time, m *Membership) { m.config.Seeds = append(m.config.Seeds, addresses...) })
}

// Leave announces a planned stop and returns when it was sent on or ctx ends.
// The agent runs on, so that work in flight can be finished; ending Run's
// context then tells peers that this host is gone.
func (a *Agent) Leave(ctx context.Context) error {
	err := a.ask(ctx, func(now time.Time, m *Membership) { m.Leave(now) })
	if err != nil {
		return err
	}
	select {
	case <-time.After(2 * pushDelay):
	case <-ctx.Done():
	}
	return nil
}

// post hands an event to the control loop. Once the agent stopped it is void.
func (a *Agent) post(event func(time.Time, *Membership)) {
	select {
	case a.events <- event:
	case <-a.done:
	}
}

// ask posts an event and waits until it was handled.
func (a *Agent) ask(ctx context.Context, event func(time.Time, *Membership)) error {
	handled := make(chan struct{})
	wrapped := func(now time.Time, m *Membership) {
		event(now, m)
		close(handled)
	}
	select {
	case a.events <- wrapped:
	case <-a.done:
		return errors.New("member: agent has stopped")
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	select {
	case <-handled:
		return nil
	case <-a.done:
		return errors.New("member: agent has stopped")
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// Run is the control loop. It returns when ctx ends, after it told peers that
// this host is gone.
func (a *Agent) Run(ctx context.Context) error {
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopList := a.startListReader(callCtx)
	defer stopList()

	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			close(a.done)
			cancel()
			a.depart(context.WithoutCancel(ctx))
			return nil
		case event := <-a.events:
			event(a.config.Now(), a.members)
		case <-timer.C:
		}
		a.turn(callCtx)
		timer.Reset(a.untilNext())
	}
}

func (a *Agent) untilNext() time.Duration {
	wait := a.members.NextDue().Sub(a.config.Now())
	return max(wait, 0)
}

// turn does what is due and passes on what changed.
func (a *Agent) turn(ctx context.Context) {
	now := a.config.Now()
	for _, call := range a.members.Tick(now) {
		a.start(ctx, call)
	}
	a.deliver(a.members.TakeReceived())
	a.publishIfDue(now)
}

func (a *Agent) deliver(received Received) {
	for _, news := range received.Configs {
		if a.config.OnConfigUpdate != nil {
			a.config.OnConfigUpdate(news)
		}
	}
	for _, news := range received.Backends {
		if a.config.OnBackendUpdate != nil {
			a.config.OnBackendUpdate(news)
		}
	}
	for _, news := range received.Suspects {
		if a.config.OnSuspectRequest != nil {
			a.config.OnSuspectRequest(news)
		}
	}
}

func (a *Agent) publishIfDue(now time.Time) {
	if heard := a.members.PeerHeardAt(); !heard.IsZero() {
		a.peerHeardAt.Store(heard.UnixNano())
	}
	age := now.Sub(a.publishedAt)
	hosts := len(a.View().Hosts)
	if age < viewInterval(hosts) || (!a.members.StateChanged() && age < loadInterval(hosts)) {
		return
	}
	a.publish(now)
}

// viewInterval is the least time between two views of a fleet.
func viewInterval(hosts int) time.Duration {
	return max(changedEvery, time.Duration(hosts)*changedPerHost)
}

// loadInterval is the least time between two views that differ in loads only.
func loadInterval(hosts int) time.Duration {
	return max(loadOnlyEvery, time.Duration(hosts)*loadOnlyPerHost)
}

func (a *Agent) publish(now time.Time) {
	a.publishedAt = now
	a.joined.Store(a.members.Joined())
	a.incarnation.Store(uint64(a.members.Incarnation()))
	previous := a.view.Load()
	view := a.members.View()
	if view == previous {
		return
	}
	a.view.Store(view)
	a.metrics.observe(a.members.Counters(), view)
	a.logChanges(previous, view)
	if a.config.OnView != nil {
		a.config.OnView(view)
	}
	if view.Replaced && !a.wasReplaced {
		a.wasReplaced = true
		a.config.Logger.Error("another process runs under this host's name; this one takes no more part")
		if a.config.OnReplaced != nil {
			a.config.OnReplaced()
		}
	}
}

// depart tells peers that this host is gone, as the last thing, and waits for
// the calls still out. Nobody posts events any more.
func (a *Agent) depart(ctx context.Context) {
	now := a.config.Now()
	a.members.Depart(now)
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	for _, call := range a.members.Tick(now.Add(pushDelay)) {
		if call.Push != nil {
			a.start(ctx, call)
		}
	}
	a.calls.Wait()
}

// logChanges writes a line for each host whose state changed.
func (a *Agent) logChanges(previous, view *View) {
	if previous == nil {
		return
	}
	for _, h := range view.Hosts {
		before, known := previous.Find(h.ID)
		if known && before.State == h.State && before.Incarnation == h.Incarnation {
			continue
		}
		a.config.Logger.Info("entry host changed state",
			zap.String("host", string(h.ID)), zap.Stringer("state", h.State),
			zap.String("zone", h.Zone), zap.Uint64("incarnation", uint64(h.Incarnation)))
	}
}

var _ memberpb.DRPCMemberServer = (*service)(nil)
