package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/discover"
	"github.com/goldcrestspan/goldcrestspan/exchange"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/scatter"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// built are the parts that the container makes.
type built struct {
	dig.In

	Metrics      *observe.Metrics
	Members      *member.Agent
	Homes        *homeserver.Server
	Coordinators coordinators
	Relay        *discover.Relay
	StoreMetrics *discover.Metrics
	Peers        *peer.Server
	FarServer    *farServer
	HomeLegs     *homeLegs
	Told         *toldForecasts
	Evacuations  *evacuations
	SharedHomes  *homes
}

// build wires the parts in one place; the container orders the constructors.
func (g *Gateway) build() error {
	container := dig.New()
	for _, constructor := range []any{
		func() *zap.Logger { return g.options.Logger },
		func() *prometheus.Registry { return g.options.Registry },
		func(r *prometheus.Registry) (*observe.Metrics, error) { return observe.NewMetrics(r) },
		func() *peer.Pool { return peer.NewPool(nil) },
		peer.NewServer,
		discover.NewRelay,
		discover.NewMetrics,
		g.newMembers,
		g.newFarRunner,
		func() (*farServer, error) {
			return newFarServer(loggedRunner{g.guard(g.options.Backends, g.mayPassOn), g.log, g.options.Now, &g.attempts})
		},
		g.newHomes,
		g.newSharedHomes,
		newEvacuations,
		newHomeLegs,
		func() *toldForecasts { return newToldForecasts(g.options.Now) },
		g.newCoordinators,
	} {
		if err := container.Provide(constructor); err != nil {
			return err
		}
	}
	var storeMetrics *discover.Metrics
	err := container.Invoke(func(b built) {
		storeMetrics = b.StoreMetrics
		g.metrics, g.members, g.homes = b.Metrics, b.Members, b.Homes
		g.coordinators, g.relay = b.Coordinators, b.Relay
		g.peers, g.farServer = b.Peers, b.FarServer
		g.homeLegs, g.toldForecasts = b.HomeLegs, b.Told
		g.evacuations, g.sharedHomes = b.Evacuations, b.SharedHomes
	})
	if err != nil {
		return err
	}
	if err := g.members.Register(g.peers.Mux()); err != nil {
		return err
	}
	legs := exchange.NewServer(peerLegs{far: g.farServer, homes: g.homeLegs}, g.options.Now)
	legs.Forecast = g.homes.Forecast
	if err := legs.Register(g.peers.Mux()); err != nil {
		return err
	}
	g.configs = g.newFollower(storeMetrics, g.options.ConfigKey, nil, g.applyConfigs)
	g.servers = g.newFollower(storeMetrics, g.options.ServersPrefix, g.settleServers, g.applyServers)
	followers := []*discover.Follower{g.configs, g.servers}
	if g.options.EvacuationsPrefix != "" {
		g.evacuationList = g.newFollower(storeMetrics, g.options.EvacuationsPrefix, nil, g.applyEvacuations)
		followers = append(followers, g.evacuationList)
	} else {
		g.setEvacuations(nil, 0)
	}
	return g.relay.Register(g.peers.Mux(), followers...)
}

func (g *Gateway) newMembers(pool *peer.Pool, registry *prometheus.Registry) *member.Agent {
	return member.NewAgent(member.AgentConfig{
		Membership: member.Config{
			Self: member.Host{
				ID:            ident.HostID(g.options.Name),
				Incarnation:   ident.NewIncarnation(g.options.Now()),
				PeerAddress:   g.options.PeerListener.Addr().String(),
				CallerAddress: g.options.CallerAddress,
				Region:        g.options.Region,
				Zone:          g.options.Zone,
				Capacity:      g.options.Capacity,
			},
			Seeds: g.options.Seeds,
		},
		Pool:           pool,
		Now:            g.options.Now,
		Logger:         g.log,
		Registerer:     registry,
		OnConfigUpdate: g.heardNews,
	})
}

func (g *Gateway) newFarRunner(pool *peer.Pool, members *member.Agent, registry *prometheus.Registry) (*farRunner, error) {
	parts, err := newFarParts(registry)
	if err != nil {
		return nil, err
	}
	links := exchange.NewClient(g.live, pool, ident.HostID(g.options.Name), members.Incarnation(), g.options.Now)
	links.Silence = farSilence
	return &farRunner{direct: g.options.Backends, zone: g.options.Zone, view: members.View, load: g.load, links: links, log: g.log, parts: parts}, nil
}

func (g *Gateway) newHomes(runner *farRunner, counters *observe.Metrics) *homeserver.Server {
	homes := homeserver.New(loggedRunner{g.guard(runner, g.mayGet), g.log, g.options.Now, &g.attempts}, counters, noWatcher{}, g.options.Now, g.homesConfig)
	homes.SetObserver(g.logServer)
	homes.SetConfigOverride(g.tuneHome)
	return homes
}

// setHedgeAges sets when classes of which too little is known are hedged.
func (g *Gateway) setHedgeAges(classes []home.ClassSpec) {
	c := g.inForce.Load()
	for i := range classes {
		if c != nil {
			classes[i].DefaultHedgeDelay = time.Duration(hedgeUnknownPart * float64(c.targets[classes[i].Name]))
		}
	}
}

// newSharedHomes makes the ways to the homes of large searches.
func (g *Gateway) newSharedHomes(local *homeserver.Server, members *member.Agent, pool *peer.Pool, told *toldForecasts) *homes {
	links := exchange.NewClient(g.live, pool, ident.HostID(g.options.Name), members.Incarnation(), g.options.Now)
	links.Silence = farSilence
	links.OnSilent = told.noteSilent
	return &homes{
		self: ident.HostID(g.options.Name), zone: g.options.Zone, local: local, view: members.View, zones: g.serversByZone, split: g.sharedServices,
		links: links, told: told, log: g.log,
	}
}

func (g *Gateway) newCoordinators(shared *homes, local *homeserver.Server, counters *observe.Metrics) coordinators {
	learn := func(string, string, []snapshot.Version) {}
	return coordinators{
		homes:  shared,
		plain:  scatter.NewCoordinator(localHomes{self: shared.self, local: local}, counters, g.options.Now, learn),
		shared: scatter.NewCoordinator(shared, counters, g.options.Now, learn),
	}
}

// coordinators run requests: those at this host's homes alone, and searches whose
// services hosts share.
type coordinators struct {
	plain, shared *scatter.Coordinator
	homes         *homes // of the shared ones
}

// of chooses the coordinator for a request.
func (c coordinators) of(work *scatter.QuerySpec) *scatter.Coordinator {
	if work.Forward.Merge == nil || len(work.Body) > mostFarBody || !c.homes.allIn(work.Forward.Regions) {
		return c.plain
	}
	return c.shared
}

const (
	// serversSettle gathers the servers' changes: fifty that start within a
	// second cost each host a few calls, and a server that leaves has seconds.
	serversSettle = 250 * time.Millisecond
	// startSettle does so during the first startFor of a host.
	//
	// Load: a whole fleet starts, and with it its servers. Harm prevented: until
	// its hosts know each other all of them watch, each change wakes each of
	// them, and of the calls that a fleet of 83 makes in 48 s four of five fall
	// into its first 4 s. Limit: a host that starts into a running fleet hears of
	// changes from its peers meanwhile, and a server that leaves has seconds.
	startSettle = time.Second
	startFor    = 4 * time.Second
)

// settleServers is how long changes of the servers are gathered now.
func (g *Gateway) settleServers() time.Duration {
	if g.options.Now().Sub(g.startedAt) < startFor {
		return startSettle
	}
	return serversSettle
}

func (g *Gateway) newFollower(metrics *discover.Metrics, prefix string, settle func() time.Duration, apply func([]metastore.Object, metastore.Revision)) *discover.Follower {
	return discover.NewFollower(discover.Config{
		Store: g.options.Store, Prefix: prefix, Now: g.options.Now, Logger: g.log, OnChange: apply,
		Relay: g.relay, IsWatcher: g.watches, WatcherCount: g.watchers, Joined: g.members.Joined, BatchInterval: settle, AllowStaleFirstList: prefix != g.options.ConfigKey,
		Order: g.options.Decode.Order, Metrics: metrics,
	})
}

func (g *Gateway) applyConfigs(objects []metastore.Object, _ metastore.Revision) {
	for _, object := range objects {
		if object.Key == g.options.ConfigKey {
			g.post(func() { g.applyConfig(object, "store") })
		}
	}
}
