package goldcrestspan

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/booking"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/catalog"
	"github.com/goldcrestspan/goldcrestspan/draining"
	"github.com/goldcrestspan/goldcrestspan/exchange"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/internal/controlloop"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/quarantine"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/rollout"
	"github.com/goldcrestspan/goldcrestspan/scatter"
	"github.com/goldcrestspan/goldcrestspan/settings"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

func newHomeServer(runner backend.Runner, metrics *observe.Metrics, now clock, configs *rollout.Agent, hooks *runtimeHooks) *homeserver.Server {
	return homeserver.New(runner, metrics, deferredObserver{hooks}, now, configs.Config)
}

// deferredObserver forwards to the observer, which is built after the home server.
type deferredObserver struct{ hooks *runtimeHooks }

func (o deferredObserver) Started(id ident.AttemptID, server backend.Server, fingerprint uint64) {
	o.hooks.observer.Started(id, server, fingerprint)
}

func (o deferredObserver) Ended(id ident.AttemptID, server backend.Server, fingerprint uint64, call backend.CallResult) bool {
	return o.hooks.observer.Ended(id, server, fingerprint, call)
}

func (o deferredObserver) CheckLeg(request leg.Request) *result.Error {
	return o.hooks.observer.CheckLeg(request)
}

func newCrashDetector(servers *serverRegistry, members *member.Agent, log *zap.Logger, now clock) (*crashDetector, error) {
	empty, err := bundle.Compile(0, bundle.Documents{})
	return &crashDetector{
		servers:            servers,
		quarantineRegistry: quarantine.NewRegistry(empty),
		tracker:            quarantine.NewTracker(),
		members:            members,
		log:                log,
		now:                now,
	}, err
}

func newExchangeClient(ctx lifetime, pool *peer.Pool, s settings.Settings, incarnation ident.Incarnation, now clock) *exchange.Client {
	return exchange.NewClient(ctx, pool, ident.HostID(s.Host.Name), incarnation, now)
}

func provideHomeResolver(members *member.Agent, local *homeserver.Server, remote *exchange.Client) *homeResolver {
	return newHomeResolver(members.View, local, remote)
}

func newServerRegistry(s settings.Settings, resolver *homeResolver, homeServer *homeserver.Server, pins *snapshot.Pins, members *member.Agent, log *zap.Logger, now clock) *serverRegistry {
	return &serverRegistry{
		region:     s.Host.Region,
		zone:       s.Host.Zone,
		resolver:   resolver,
		homeServer: homeServer,
		pins:       pins,
		members:    members,
		log:        log,
		now:        now,
		events:     controlloop.NewMailbox[func()](maxWaitingEvents),
		drainTable: draining.NewTable(),
		serverList: catalog.NewServerList(),
	}
}

func newCatalog(s settings.Settings, store metastore.Store, list metastore.HostList, sink *serverRegistry, pool *peer.Pool, members *member.Agent, incarnation ident.Incarnation, log *zap.Logger) *catalog.Agent {
	return catalog.NewAgent(catalog.Config{
		Store:     store,
		HostList:  list,
		Sink:      sink,
		Peers:     pool,
		IsWatcher: func() bool { return members.View().IsWatcher(s.Host.Zone, watchersPerZone) },
		Watchers:  func() []string { return watcherAddresses(members.View(), s.Host.Zone, s.Peers) },
		Epoch:     uint64(incarnation),
		Logger:    log,
	})
}

// watcherAddresses returns the peer listeners of the zone's other watchers, or the
// seeds if none is known.
func watcherAddresses(view *member.View, zone string, seeds []string) []string {
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

// meanBodyBytes times the concurrency limit bounds the bodies of all requests in
// flight, in bytes. The setting limits.max_bytes_in_flight is not used here.
const meanBodyBytes = 4 << 10

func newCoordinator(resolver *homeResolver, metrics *observe.Metrics, now clock, pins *snapshot.Pins) *scatter.Coordinator {
	coordinator := scatter.NewCoordinator(resolver, metrics, now, pins.RecordHeld)
	coordinator.LostLegGrace = lostLegGrace
	return coordinator
}

// lostLegGrace is how long a query with lost legs keeps its other legs running. It
// covers the delay between reports of connections that broke together.
const lostLegGrace = 100 * time.Millisecond

func newBookingExecutor(s settings.Settings, incarnation ident.Incarnation, store metastore.Store, pool *peer.Pool, members *member.Agent, registry *prometheus.Registry, hooks *runtimeHooks) (*booking.Executor, error) {
	executor := booking.NewExecutor(booking.Config{
		Host:        ident.HostID(s.Host.Name),
		Incarnation: incarnation,
		Run:         func(ctx context.Context, r booking.Request) booking.Result { return hooks.runBooking(ctx, r) },
		Store:       store,
		Peers: booking.DRPCPeers{
			Dial: pool.Dial,
			FindIssuer: func(host ident.HostID, _ ident.Incarnation) (string, bool) {
				return findIssuer(members.View(), host)
			},
			ServingPeers: func() []string { return servingPeers(members.View()) },
		},
	})
	return executor, executor.RegisterMetrics(registry)
}

// findIssuer returns the peer listener of the host that issued a ticket. It
// ignores the incarnation, which the issuer checks itself and which membership
// may have raised since.
func findIssuer(view *member.View, host ident.HostID) (string, bool) {
	found, ok := view.Find(host)
	if !ok || found.State == member.StateDead {
		return "", false
	}
	return found.PeerAddress, true
}

// servingPeers returns the peer listeners of the other serving hosts.
func servingPeers(view *member.View) []string {
	var addresses []string
	for _, host := range view.Hosts {
		if host.ID != view.Self && host.Serving() {
			addresses = append(addresses, host.PeerAddress)
		}
	}
	return addresses
}
