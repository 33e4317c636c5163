package goldcrestspan

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/booking"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/catalog"
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/exchange"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leaving"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/platform"
	"github.com/goldcrestspan/goldcrestspan/quarantine"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/rollout"
	"github.com/goldcrestspan/goldcrestspan/scatter"
	"github.com/goldcrestspan/goldcrestspan/settings"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// clock is the time source that every part shares.
type clock func() time.Time

// lifetime ends when the host has stopped.
type lifetime struct{ context.Context }

// listeners are open before any part starts, so that ports of 0 are known.
type listeners struct {
	callers, peers, operators net.Listener
}

// parts are what the container builds; the host runs them.
type parts struct {
	dig.In

	Settings    settings.Settings
	Now         clock
	Log         *zap.Logger
	Registry    *prometheus.Registry
	Metrics     *observe.Metrics
	Listeners   *listeners
	Pool        *peer.Pool
	PeerServer  *peer.Server
	Member      *member.Agent
	Rollout     *rollout.Agent
	Catalog     *catalog.Agent
	Homes       *homes
	Local       *homeserver.Server
	Pins        *snapshot.Pins
	Coordinator *scatter.Coordinator
	Incarnation ident.Incarnation
	Desk        *booking.Desk
	Servers     *servers
	Admission   *admit.Controller
	Advisor     *entry.Advisor
	Crashes     *crashes
	Late        *late
}

// late is what parts built early need of parts built later. It is bound before
// anything runs.
type late struct {
	configNews func(member.ConfigNews)
	runBooking booking.Runner
	applied    func(*bundle.Config)
	watcher    homeserver.Watcher
	backend    func(member.BackendNews)
	suspect    func(member.SuspectRequestNews)
	replaced   func()
}

func (l *late) bind(h *Host) {
	l.configNews = func(news member.ConfigNews) {
		h.parts.Rollout.Heard(&memberpb.ConfigNews{
			Generation:   news.Generation,
			ManifestHash: news.ManifestHash,
		}, news.FromAddress)
	}
	l.runBooking = h.runBooking
	l.applied = h.configure
	l.watcher = h.parts.Crashes
	l.suspect = h.parts.Crashes.absorb
	l.replaced = h.beReplaced
	l.backend = h.parts.Servers.absorb
}

// build wires every part in one place. Each constructor below names what it
// needs; the container orders them.
func build(ctx context.Context, s settings.Settings, o Options) (parts, error) {
	container := dig.New()
	constructors := []any{
		func() settings.Settings { return s },
		func() clock { return o.Now },
		func() lifetime { return lifetime{ctx} },
		func() *zap.Logger { return o.Logger },
		func() *prometheus.Registry { return o.Registry },
		func() ident.Incarnation { return ident.NewIncarnation(o.Now()) },
		func(r *prometheus.Registry) (*observe.Metrics, error) { return observe.NewMetrics(r) },
		openListeners,
		func() *peer.Pool { return peer.NewPool(o.PeerTLS) },
		peer.NewServer,
		func() (platform.Store, platform.HostList) { return openPlatform(s, o) },
		func(configs *rollout.Agent, registry *prometheus.Registry) (backend.Runner, error) {
			return openBackends(s, o, configs, registry)
		},
		func(now clock) *snapshot.Pins { return snapshot.NewPins(now) },
		newMember,
		newRollout,
		newLocal,
		newExchange,
		newHomesPart,
		newServers,
		newCatalog,
		newAdmission,
		entry.NewAdvisor,
		newCrashes,
		newCoordinator,
		newDesk,
		func() *late { return &late{} },
	}
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return parts{}, errors.Wrap(err, "wire the host")
		}
	}
	var built parts
	err := container.Invoke(func(p parts) { built = p })
	return built, errors.Wrap(dig.RootCause(err), "build the host")
}

func openListeners(s settings.Settings) (*listeners, error) {
	l := &listeners{}
	for _, open := range []struct {
		address string
		into    *net.Listener
	}{
		{s.Listeners.Callers, &l.callers},
		{s.Listeners.Peers, &l.peers},
		{s.Listeners.Operators, &l.operators},
	} {
		listener, err := net.Listen("tcp", open.address)
		if err != nil {
			l.close()
			return nil, errors.Wrap(err, "listen")
		}
		*open.into = listener
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func openPlatform(s settings.Settings, o Options) (platform.Store, platform.HostList) {
	if o.Store != nil {
		return o.Store, o.HostList
	}
	client := platform.NewClient(s.Platform.Addresses, platform.ClientOptions{Timeout: s.Platform.Timeout})
	return client, client
}

func openBackends(s settings.Settings, o Options, configs *rollout.Agent, registry *prometheus.Registry) (backend.Runner, error) {
	if o.Backends != nil {
		return o.Backends, nil
	}
	client := backend.NewClient(backend.Options{
		MaxReplyBytes: int64(s.Limits.BackendReplyBytes),
		Limit:         func(server backend.Server) int { return connectionShare(configs.Config(), server.Service) },
	})
	return client, client.RegisterMetrics(registry)
}

// connectionShare is how many connections this host opens to one server of the
// service: half of the server's limit. With one view of the members only the
// service's home connects. While views differ there can be two homes, and a
// server whose limit they both used up would turn away either at random; with a
// half each, both are served until the views agree.
func connectionShare(config *bundle.Config, service string) int {
	const homesAtOnce = 2
	if config == nil {
		return 1
	}
	spec, ok := config.Service(service)
	if !ok {
		return 1
	}
	return max(1, spec.ConnectionsPerServer/homesAtOnce)
}

func newMember(s settings.Settings, l *listeners, pool *peer.Pool, list platform.HostList, now clock, log *zap.Logger, registry *prometheus.Registry, incarnation ident.Incarnation, later *late) *member.Agent {
	return member.NewAgent(member.AgentConfig{
		Membership: member.Config{
			Self: member.Host{
				ID:            ident.HostID(s.Host.Name),
				Incarnation:   incarnation,
				PeerAddress:   l.peers.Addr().String(),
				CallerAddress: l.callers.Addr().String(),
				Region:        s.Host.Region,
				Zone:          s.Host.Zone,
			},
			Seeds: s.Peers,
		},
		Pool:          pool,
		HostList:      list,
		Now:           now,
		Logger:        log,
		Registerer:    registry,
		OnConfigNews:  func(news member.ConfigNews) { later.configNews(news) },
		OnBackendNews: func(news member.BackendNews) { later.backend(news) },

		OnReplaced: func() { later.replaced() },

		OnSuspectRequest: func(news member.SuspectRequestNews) { later.suspect(news) },
	})
}

func newRollout(s settings.Settings, l *listeners, store platform.Store, pool *peer.Pool, members *member.Agent, now clock, log *zap.Logger, registry *prometheus.Registry, later *late) (*rollout.Agent, error) {
	signers, err := bundle.NewSigners(s.Keys.Signers)
	if err != nil {
		return nil, err
	}
	return rollout.NewAgent(rollout.AgentConfig{
		Address:    l.peers.Addr().String(),
		Store:      store,
		Peers:      pool,
		Signers:    signers,
		IsWatcher:  func() bool { return isWatcher(members.View(), s.Host.Zone) },
		PeersFn:    func() []string { return livePeers(members.View(), s.Peers) },
		Now:        now,
		Logger:     log,
		Registerer: registry,
		OnApplied:  func(config *bundle.Config) { later.applied(config) },
	}), nil
}

// watchersPerZone hosts of each availability zone watch the platform: one may
// be lost, and another may be starting, without the zone going blind.
const watchersPerZone = 3

func isWatcher(view *member.View, zone string) bool {
	for _, id := range view.Watchers(zone, watchersPerZone) {
		if id == view.Self {
			return true
		}
	}
	return false
}

// livePeers are the peers' listeners of the other serving hosts; before any is
// known, the addresses of the settings.
func livePeers(view *member.View, seeds []string) []string {
	var addresses []string
	for _, host := range view.Hosts {
		if host.ID != view.Self && host.Serving() {
			addresses = append(addresses, host.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return seeds
	}
	return addresses
}

func newLocal(runner backend.Runner, metrics *observe.Metrics, now clock, configs *rollout.Agent, later *late) *homeserver.Server {
	return homeserver.New(runner, metrics, lateWatcher{later}, now, configs.Config)
}

// lateWatcher passes on to the watcher that is built after the homes.
type lateWatcher struct{ later *late }

func (w lateWatcher) Started(id ident.AttemptID, server backend.Server, fingerprint uint64) {
	w.later.watcher.Started(id, server, fingerprint)
}

func (w lateWatcher) Ended(id ident.AttemptID, server backend.Server, fingerprint uint64, end backend.Attempt) bool {
	return w.later.watcher.Ended(id, server, fingerprint, end)
}

func (w lateWatcher) Refuse(request leg.Request) *result.Error {
	return w.later.watcher.Refuse(request)
}

func newCrashes(s *servers, members *member.Agent, log *zap.Logger, now clock) (*crashes, error) {
	none, err := bundle.Compile(0, bundle.Documents{})
	return &crashes{
		servers: s,
		book:    quarantine.NewBook(none),
		tracker: quarantine.NewTracker(),
		members: members,
		log:     log,
		now:     now,
	}, err
}

func newExchange(life lifetime, pool *peer.Pool, s settings.Settings, incarnation ident.Incarnation, now clock) *exchange.Client {
	return exchange.NewClient(life, pool, ident.HostID(s.Host.Name), incarnation, now)
}

func newHomesPart(members *member.Agent, local *homeserver.Server, remote *exchange.Client) *homes {
	return newHomes(members.View, local, remote)
}

func newServers(s settings.Settings, h *homes, local *homeserver.Server, pins *snapshot.Pins, members *member.Agent, log *zap.Logger, now clock) *servers {
	return &servers{
		region:  s.Host.Region,
		zone:    s.Host.Zone,
		homes:   h,
		local:   local,
		pins:    pins,
		members: members,
		log:     log,
		now:     now,
		events:  make(chan func(), signalBuffer),
		leaving: leaving.NewTable(),
		listing: catalog.NewListing(),
	}
}

func newCatalog(s settings.Settings, store platform.Store, list platform.HostList, sink *servers, pool *peer.Pool, members *member.Agent, incarnation ident.Incarnation, log *zap.Logger) *catalog.Agent {
	return catalog.NewAgent(catalog.Config{
		Store:     store,
		List:      list,
		Sink:      sink,
		Peers:     pool,
		IsWatcher: func() bool { return isWatcher(members.View(), s.Host.Zone) },
		Watchers:  func() []string { return watchersOf(members.View(), s.Host.Zone, s.Peers) },
		Epoch:     uint64(incarnation),
		Log:       log,
	})
}

// watchersOf are the peers' listeners of the zone's watchers. A host that has
// not joined asks the addresses of its settings.
func watchersOf(view *member.View, zone string, seeds []string) []string {
	var addresses []string
	for _, id := range view.Watchers(zone, watchersPerZone) {
		if host, ok := view.Find(id); ok && id != view.Self {
			addresses = append(addresses, host.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return seeds
	}
	return addresses
}

func newAdmission(s settings.Settings) *admit.Controller {
	limits := admit.Limits{
		MaxConcurrent: s.Limits.MaxConcurrent,
		MaxBytes:      s.Limits.MaxConcurrent * meanBodyBytes,
	}
	return admit.New(limits, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// meanBodyBytes is what the bodies of all requests in flight may come to, for
// each request that may be: 8 MiB at the default of 2048.
const meanBodyBytes = 4 << 10

func newCoordinator(h *homes, metrics *observe.Metrics, now clock, pins *snapshot.Pins) *scatter.Coordinator {
	return scatter.NewCoordinator(h, metrics, now, pins.Learn)
}

func newDesk(s settings.Settings, incarnation ident.Incarnation, store platform.Store, pool *peer.Pool, members *member.Agent, registry *prometheus.Registry, later *late) (*booking.Desk, error) {
	desk := booking.NewDesk(booking.Config{
		Host:        ident.HostID(s.Host.Name),
		Incarnation: incarnation,
		Run:         func(ctx context.Context, r booking.Request) booking.Result { return later.runBooking(ctx, r) },
		Store:       store,
		Peers: booking.Links{
			Dial: pool.Dial,
			Find: func(host ident.HostID, _ ident.Incarnation) (string, bool) {
				return findIssuer(members.View(), host)
			},
			Serving: func() []string { return servingPeers(members.View()) },
		},
	})
	return desk, desk.RegisterMetrics(registry)
}

// findIssuer returns the peers' listener of the host that issued a ticket. It
// does not compare incarnations: the desk there knows its own, and membership
// may raise the one it shows.
func findIssuer(view *member.View, host ident.HostID) (string, bool) {
	found, ok := view.Find(host)
	if !ok || found.State == member.StateDead {
		return "", false
	}
	return found.PeerAddress, true
}

// servingPeers returns the peers' listeners of the other hosts that serve.
func servingPeers(view *member.View) []string {
	var addresses []string
	for _, host := range view.Hosts {
		if host.ID != view.Self && host.Serving() {
			addresses = append(addresses, host.PeerAddress)
		}
	}
	return addresses
}
