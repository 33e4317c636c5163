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

func newLocal(runner backend.Runner, metrics *observe.Metrics, now clock, configs *rollout.Agent, later *late) *homeserver.Server {
	return homeserver.New(runner, metrics, lateWatcher{later}, now, configs.Config)
}

// lateWatcher passes on to the watcher that is built after the homes.
type lateWatcher struct{ later *late }

func (w lateWatcher) Started(id ident.AttemptID, server backend.Server, fingerprint uint64) {
	w.later.watcher.Started(id, server, fingerprint)
}

func (w lateWatcher) Ended(id ident.AttemptID, server backend.Server, fingerprint uint64, end backend.CallResult) bool {
	return w.later.watcher.Ended(id, server, fingerprint, end)
}

func (w lateWatcher) CheckLeg(request leg.Request) *result.Error {
	return w.later.watcher.CheckLeg(request)
}

func newCrashes(s *servers, members *member.Agent, log *zap.Logger, now clock) (*crashes, error) {
	none, err := bundle.Compile(0, bundle.Documents{})
	return &crashes{
		servers: s,
		book:    quarantine.NewRegistry(none),
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
		leaving: draining.NewTable(),
		listing: catalog.NewServerList(),
	}
}

func newCatalog(s settings.Settings, store metastore.Store, list metastore.HostList, sink *servers, pool *peer.Pool, members *member.Agent, incarnation ident.Incarnation, log *zap.Logger) *catalog.Agent {
	return catalog.NewAgent(catalog.Config{
		Store:     store,
		HostList:  list,
		Sink:      sink,
		Peers:     pool,
		IsWatcher: func() bool { return members.View().IsWatcher(s.Host.Zone, watchersPerZone) },
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
	c := scatter.NewCoordinator(h, metrics, now, pins.RecordHeld)
	c.LostLegGrace = lostFor
	return c
}

// lostFor is how long legs of a query that lost others go on: a busy host reads the
// breaks of connections that were closed together within it.
const lostFor = 100 * time.Millisecond

func newDesk(s settings.Settings, incarnation ident.Incarnation, store metastore.Store, pool *peer.Pool, members *member.Agent, registry *prometheus.Registry, later *late) (*booking.Executor, error) {
	desk := booking.NewExecutor(booking.Config{
		Host:        ident.HostID(s.Host.Name),
		Incarnation: incarnation,
		Run:         func(ctx context.Context, r booking.Request) booking.Result { return later.runBooking(ctx, r) },
		Store:       store,
		Peers: booking.DRPCPeers{
			Dial: pool.Dial,
			FindIssuer: func(host ident.HostID, _ ident.Incarnation) (string, bool) {
				return findIssuer(members.View(), host)
			},
			ServingPeers: func() []string { return servingPeers(members.View()) },
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
