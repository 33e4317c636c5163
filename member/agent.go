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
	"github.com/goldcrestspan/goldcrestspan/internal/controlloop"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/peer"
)

const (
	// eventQueueSize is the capacity of the control loop's queue of peers' calls and of the results
	// of own calls. These wait when it is full, up to their own deadline.
	eventQueueSize = 256
	// The interval between views that differ only in loads, and its growth with
	// the fleet: callers are sent to more hosts within a second of a burst, and a fleet of
	// 3,400 hosts publishes one a second.
	minLoadViewInterval     = 250 * time.Millisecond
	loadViewIntervalPerHost = 300 * time.Microsecond
	// The interval between any two views, and its growth with the fleet: after each
	// view, readers recompute which host is the home of which service, while states may
	// change all the time, as when an availability zone is lost. For 10,500 services of 3,400
	// hosts that takes 62 ms of a core.
	minViewInterval     = 50 * time.Millisecond
	viewIntervalPerHost = 100 * time.Microsecond
	// maxRelayedProbes bounds the concurrent probes on behalf of peers.
	maxRelayedProbes = 32
	// hostListReaders is how many hosts of each availability zone read the host list.
	hostListReaders = 2
	// The interval between reads of the host list, and its growth with the list.
	minHostListInterval     = 2 * time.Second
	hostListIntervalPerHost = 10 * time.Millisecond
	hostListTimeout         = 2 * time.Second
)

// AgentConfig configures an Agent. Pool and Logger are required; callbacks
// may be nil. They run on the control loop and must not block.
type AgentConfig struct {
	Membership Config
	Pool       *peer.Pool
	HostList   metastore.HostList // nil: deaths are never confirmed by a list
	Now        func() time.Time   // nil: time.Now
	Rand       *rand.Rand         // nil: randomly seeded
	Logger     *zap.Logger
	Registerer prometheus.Registerer // nil: no metrics

	// OnConfigUpdate is called for a configuration newer than the announced one, again
	// with each message until AnnounceConfig has been called for it.
	OnConfigUpdate func(ConfigUpdate)
	// OnConfigConfirmed is called for each later confirmation of the announced configuration.
	OnConfigConfirmed func(ConfigConfirmation)
	// OnBackendUpdate is called once for each incarnation of a backend server that leaves.
	OnBackendUpdate func(BackendUpdate)
	// OnSuspectRequest is called once for each suspected request.
	OnSuspectRequest func(SuspectRequestUpdate)
	// OnView is called with each published view.
	OnView func(*View)
	// OnReplaced is called once when another process runs under this host's ID:
	// this one must stop.
	OnReplaced func()
}

// Agent runs a Membership in one goroutine and its calls to peers in others.
type Agent struct {
	config  AgentConfig
	metrics *metrics
	events  chan func(now time.Time, m *Membership)
	done    chan struct{}

	announcements *announcements

	view               atomic.Pointer[View]
	lastPeerContact    atomic.Int64 // Unix nanoseconds; 0: never
	peersStoreContacts atomic.Pointer[StoreContacts]
	joined             atomic.Bool
	incarnation        atomic.Uint64
	loop               controlloop.Meter

	// Owned by the control loop.
	membership       *Membership
	startedAt        time.Time
	publishedAt      time.Time
	replacedReported bool
	calls            sync.WaitGroup
	relaySlots       chan struct{}
}

// NewAgent returns an agent; Run starts it.
func NewAgent(config AgentConfig) *Agent {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	now := config.Now()
	a := &Agent{
		config:  config,
		metrics: newMetrics(config.Registerer),
		events:  make(chan func(time.Time, *Membership), eventQueueSize),
		done:    make(chan struct{}),

		announcements: newAnnouncements(),

		membership: New(config.Membership, now, config.Rand),
		startedAt:  now,
		relaySlots: make(chan struct{}, maxRelayedProbes),
	}
	a.publish(now)
	return a
}

// View returns the newest published view. It is never nil.
func (a *Agent) View() *View { return a.view.Load() }

// Loop returns the state of the control loop.
func (a *Agent) Loop() controlloop.State {
	return a.loop.State(a.config.Now(), len(a.events)+a.announcements.events.Len())
}

// Joined reports whether a peer has sent its complete view.
func (a *Agent) Joined() bool { return a.joined.Load() }

// Incarnation is this host's incarnation. It can rise until Joined; see Membership.
func (a *Agent) Incarnation() ident.Incarnation { return ident.Incarnation(a.incarnation.Load()) }

// LastPeerContact is when a peer last answered a call of this host; zero: never.
func (a *Agent) LastPeerContact() time.Time {
	unixNanos := a.lastPeerContact.Load()
	if unixNanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, unixNanos)
}

// CutOff reports whether new requests must be refused as not run; see the function
// CutOff. lastStoreContact is when the platform's store last answered; zero: never.
func (a *Agent) CutOff(now, lastStoreContact time.Time, timeout time.Duration) bool {
	return CutOff(now, Contact{
		StartedAt:        a.startedAt,
		LastPeerContact:  a.LastPeerContact(),
		LastStoreContact: lastStoreContact,
		Minority:         a.View().Minority,
	}, timeout)
}

// Leave announces a planned stop and returns once it has been sent or ctx ends.
// The agent keeps running so that work in flight can finish; cancelling Run's
// context then announces that this host is gone.
func (a *Agent) Leave(ctx context.Context) error {
	err := a.postAndWait(ctx, func(now time.Time, m *Membership) { m.Leave(now) })
	if err != nil {
		return err
	}
	select {
	case <-time.After(2 * pushDelay):
	case <-ctx.Done():
	}
	return nil
}

// post sends an event to the control loop and waits while its queue is full. Control loops and
// their callbacks use announce instead. After the agent has stopped it does nothing.
func (a *Agent) post(event func(time.Time, *Membership)) {
	select {
	case a.events <- event:
	case <-a.done:
	}
}

// postAndWait sends an event to the control loop and waits until it was handled.
func (a *Agent) postAndWait(ctx context.Context, event func(time.Time, *Membership)) error {
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

// Run is the control loop. When ctx ends it tells peers that this host is gone
// and returns.
func (a *Agent) Run(ctx context.Context) error {
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopList := a.startHostListReader(callCtx)
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
			a.loop.Begin(a.config.Now())
			event(a.config.Now(), a.membership)
		case <-a.announcements.events.Ready():
			a.loop.Begin(a.config.Now())
			a.announcements.apply(a.config.Now(), a.membership)
		case <-timer.C:
			a.loop.Begin(a.config.Now())
		}
		a.step(callCtx)
		a.loop.End()
		timer.Reset(a.untilNextDue())
	}
}

func (a *Agent) untilNextDue() time.Duration {
	untilDue := a.membership.NextDue().Sub(a.config.Now())
	return max(untilDue, 0)
}

// step starts the calls that are due, delivers updates and publishes the view.
func (a *Agent) step(ctx context.Context) {
	now := a.config.Now()
	for _, call := range a.membership.Tick(now) {
		a.startCall(ctx, call)
	}
	a.deliver(a.membership.TakeReceived())
	a.publishIfDue(now)
}

func (a *Agent) deliver(received ReceivedUpdates) {
	if a.config.OnConfigConfirmed != nil && !received.Confirmation.At.IsZero() {
		a.config.OnConfigConfirmed(received.Confirmation)
	}
	for _, update := range received.Configs {
		if a.config.OnConfigUpdate != nil {
			a.config.OnConfigUpdate(update)
		}
	}
	for _, update := range received.Backends {
		if a.config.OnBackendUpdate != nil {
			a.config.OnBackendUpdate(update)
		}
	}
	for _, update := range received.Suspects {
		if a.config.OnSuspectRequest != nil {
			a.config.OnSuspectRequest(update)
		}
	}
}

func (a *Agent) publishIfDue(now time.Time) {
	if last := a.membership.LastPeerContact(); !last.IsZero() {
		a.lastPeerContact.Store(last.UnixNano())
	}
	contacts := a.membership.PeersStoreContacts()
	if published := a.peersStoreContacts.Load(); published == nil || *published != contacts {
		a.peersStoreContacts.Store(&contacts)
	}
	age := now.Sub(a.publishedAt)
	hosts := len(a.View().Hosts)
	if age < viewInterval(hosts) || (!a.membership.StateChanged() && age < loadViewInterval(hosts)) {
		return
	}
	a.publish(now)
}

// viewInterval is the minimum interval between two views.
func viewInterval(hosts int) time.Duration {
	return max(minViewInterval, time.Duration(hosts)*viewIntervalPerHost)
}

// loadViewInterval is the minimum interval between two views that differ in loads only.
func loadViewInterval(hosts int) time.Duration {
	return max(minLoadViewInterval, time.Duration(hosts)*loadViewIntervalPerHost)
}

func (a *Agent) publish(now time.Time) {
	a.publishedAt = now
	a.joined.Store(a.membership.Joined())
	a.incarnation.Store(uint64(a.membership.Incarnation()))
	previous := a.view.Load()
	view := a.membership.View()
	if view == previous {
		return
	}
	a.view.Store(view)
	a.metrics.observe(a.membership.Counters(), view)
	a.logChanges(previous, view)
	if a.config.OnView != nil {
		a.config.OnView(view)
	}
	if view.Replaced && !a.replacedReported {
		a.replacedReported = true
		a.config.Logger.Error("another process runs under this host's ID; this process leaves the membership")
		if a.config.OnReplaced != nil {
			a.config.OnReplaced()
		}
	}
}

// depart tells peers that this host is gone and waits for the calls in flight.
// No events are posted any more.
func (a *Agent) depart(ctx context.Context) {
	now := a.config.Now()
	a.membership.Depart(now)
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	for _, call := range a.membership.Tick(now.Add(pushDelay)) {
		if call.Push != nil {
			a.startCall(ctx, call)
		}
	}
	a.calls.Wait()
}

// logChanges logs each host whose state changed.
func (a *Agent) logChanges(previous, view *View) {
	if previous == nil {
		return
	}
	for _, host := range view.Hosts {
		before, known := previous.Find(host.ID)
		if known && before.State == host.State && before.Incarnation == host.Incarnation {
			continue
		}
		a.config.Logger.Info("entry host changed state",
			zap.String("host", string(host.ID)), zap.Stringer("state", host.State),
			zap.String("zone", host.Zone), zap.Uint64("incarnation", uint64(host.Incarnation)))
	}
}

var _ memberpb.DRPCMemberServer = (*service)(nil)
