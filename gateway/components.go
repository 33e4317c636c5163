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

// components are what the container builds.
type components struct {
	dig.In

	Metrics      *observe.Metrics
	Customers    *observe.CustomerMetrics
	Members      *member.Agent
	Homes        *homeserver.Server
	Coordinators coordinators
	Relay        *discover.Relay
	StoreMetrics *discover.Metrics
	Peers        *peer.Server
	ProxyServer  *proxyServer
	HomeLegs     *homeLegRunner
	Forecasts    *remoteForecasts
	Evacuations  *evacuations
	SharedHomes  *homes
	Crashes      *crashDetector
	Quotas       *quotas
}

// build constructs and connects the components; the container orders the constructors.
func (g *Gateway) build() error {
	container := dig.New()
	for _, constructor := range []any{
		func() *zap.Logger { return g.options.Logger },
		func() *prometheus.Registry { return g.options.Registry },
		func(r *prometheus.Registry) (*observe.Metrics, error) { return observe.NewMetrics(r) },
		observe.NewCustomerMetrics,
		func() *peer.Pool { return peer.NewPool(nil) },
		peer.NewServer,
		discover.NewRelay,
		discover.NewMetrics,
		g.newMembers,
		g.newCrossZoneRunner,
		func() (*proxyServer, error) {
			return newProxyServer(loggingRunner{g.withEligibility(g.options.Backends, g.checkForPeer), g.log, g.options.Now, &g.attempts})
		},
		g.newCrashDetector,
		newQuotaMetrics,
		g.newQuotas,
		g.newHomes,
		g.newSharedHomes,
		newEvacuations,
		func(local *homeserver.Server, registry *prometheus.Registry) (*homeLegRunner, error) {
			return newHomeLegRunner(local, g.explainPeerKeyRefusal, registry)
		},
		func() *remoteForecasts { return newRemoteForecasts(g.options.Now) },
		g.newCoordinators,
	} {
		if err := container.Provide(constructor); err != nil {
			return err
		}
	}
	var storeMetrics *discover.Metrics
	err := container.Invoke(func(b components) {
		storeMetrics = b.StoreMetrics
		g.metrics, g.members, g.homes = b.Metrics, b.Members, b.Homes
		g.customerMetrics = b.Customers
		g.coordinators, g.relay = b.Coordinators, b.Relay
		g.peers, g.proxyServer = b.Peers, b.ProxyServer
		g.homeLegRunner, g.remoteForecasts = b.HomeLegs, b.Forecasts
		g.evacuations, g.sharedHomes = b.Evacuations, b.SharedHomes
		g.crashDetector, g.quotas = b.Crashes, b.Quotas
	})
	if err != nil {
		return err
	}
	if err := g.options.Registry.Register(newSearchMetrics(g.searches)); err != nil {
		return err
	}
	if err := g.options.Registry.Register(freshnessCollector{g}); err != nil {
		return err
	}
	if err := g.members.Register(g.peers.Mux()); err != nil {
		return err
	}
	if err := g.crashDetector.canaries.register(g.peers.Mux()); err != nil {
		return err
	}
	if err := g.quotas.register(g.peers.Mux()); err != nil {
		return err
	}
	exchangeServer := exchange.NewServer(peerLegRunner{proxy: g.proxyServer, homes: g.homeLegRunner}, g.options.Now)
	exchangeServer.Forecast = g.homes.Forecast
	exchangeServer.PreferredServer = g.homes.PreferredServer
	if err := exchangeServer.Register(g.peers.Mux()); err != nil {
		return err
	}
	g.configs = g.newFollower(storeMetrics, member.ListConfig, g.options.ConfigKey, nil, g.applyConfigs, g.confirmConfig)
	g.servers = g.newFollower(storeMetrics, member.ListServers, g.options.ServersPrefix, g.batchInterval, g.tracked(&g.trackers.servers, &g.servers, g.applyServers), confirmRevisions(&g.trackers.servers))
	followers := []*discover.Follower{g.configs, g.servers}
	if g.options.EvacuationsPrefix != "" {
		g.evacuationList = g.newFollower(storeMetrics, member.ListEvacuations, g.options.EvacuationsPrefix, nil, g.tracked(&g.trackers.evacuations, &g.evacuationList, g.applyEvacuations), confirmRevisions(&g.trackers.evacuations))
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
		Pool:              pool,
		Now:               g.options.Now,
		Logger:            g.log,
		Registerer:        registry,
		OnConfigUpdate:    g.handleConfigUpdate,
		OnConfigConfirmed: g.noteConfigConfirmed,
		OnSuspectRequest:  func(update member.SuspectRequestUpdate) { g.crashDetector.merge(update) },
		OnView:            g.observeView,
	})
}

// observeView is called with each view of the membership; the first comes before the components
// are built.
func (g *Gateway) observeView(view *member.View) {
	if g.crashDetector != nil {
		g.crashDetector.canaries.observeView(view)
	}
	if g.quotas != nil {
		g.quotas.observeView()
	}
}

func (g *Gateway) newCrossZoneRunner(pool *peer.Pool, members *member.Agent, registry *prometheus.Registry) (*crossZoneRunner, error) {
	partsByPath, err := newCrossZoneCounter(registry)
	if err != nil {
		return nil, err
	}
	links := exchange.NewClient(g.runCtx, pool, ident.HostID(g.options.Name), members.Incarnation(), g.options.Now)
	links.Liveness = peerLinkLiveness
	return &crossZoneRunner{direct: g.options.Backends, zone: g.options.Zone, view: members.View, load: g.load, links: links, log: g.log, partsByPath: partsByPath}, nil
}

func (g *Gateway) newHomes(runner *crossZoneRunner, counters *observe.Metrics, crashes *crashDetector) *homeserver.Server {
	homes := homeserver.New(loggingRunner{g.withEligibility(runner, g.checkOwn), g.log, g.options.Now, &g.attempts}, counters, crashes, g.options.Now, g.homesConfig)
	homes.SetOnServerChange(g.logServer)
	homes.SetConfigOverride(g.configureHome)
	return homes
}

// setHedgeDelays sets the hedge delay of classes without enough latency samples.
func (g *Gateway) setHedgeDelays(classes []home.ClassSpec) {
	c := g.inForce.Load()
	for i := range classes {
		if c != nil {
			classes[i].DefaultHedgeDelay = time.Duration(unknownClassHedgeFraction * float64(c.targets[classes[i].Name]))
		}
	}
}

// newSharedHomes creates the homes of split searches and the links to them.
func (g *Gateway) newSharedHomes(local *homeserver.Server, members *member.Agent, pool *peer.Pool, forecasts *remoteForecasts) *homes {
	links := exchange.NewClient(g.runCtx, pool, ident.HostID(g.options.Name), members.Incarnation(), g.options.Now)
	links.Liveness = peerLinkLiveness
	links.OnUnresponsive = forecasts.recordUnresponsive
	return &homes{
		self: ident.HostID(g.options.Name), zone: g.options.Zone, local: local, view: members.View, zones: g.serversByZone, split: g.splitServices,
		links: links, forecasts: forecasts, log: g.log,
	}
}

func (g *Gateway) newCoordinators(shared *homes, local *homeserver.Server, counters *observe.Metrics) coordinators {
	ignoreHeld := func(string, string, []snapshot.Version) {}
	return coordinators{
		homes:  shared,
		plain:  scatter.NewCoordinator(localHomes{self: shared.self, local: local}, counters, g.options.Now, ignoreHeld),
		shared: scatter.NewCoordinator(shared, counters, g.options.Now, ignoreHeld),
	}
}

// coordinators run requests: plain uses only this host's homes, shared also the homes on
// other hosts to which split searches are spread.
type coordinators struct {
	plain, shared *scatter.Coordinator
	homes         *homes // used by shared
}

// of returns the coordinator for a request.
func (c coordinators) of(spec *scatter.QuerySpec) *scatter.Coordinator {
	if spec.Forward.Merge == nil || len(spec.Body) > maxProxiedBodyBytes || !c.homes.allInRegions(spec.Forward.Regions) {
		return c.plain
	}
	return c.shared
}

const (
	// serversBatchInterval is how long changes of the servers are collected before they are
	// fetched: fifty that start within a second cost each host a few calls, and a server that
	// leaves has seconds.
	serversBatchInterval = 250 * time.Millisecond
	// startupBatchInterval applies during the startupPeriod of a host. While a whole fleet
	// starts, all hosts watch the store, and each change of a server would wake each of them:
	// four of five calls that a fleet of 83 makes in 48 s would fall into its first 4 s.
	startupBatchInterval = time.Second
	startupPeriod        = 4 * time.Second
)

// batchInterval returns how long changes of the servers are collected now.
func (g *Gateway) batchInterval() time.Duration {
	if g.options.Now().Sub(g.startedAt) < startupPeriod {
		return startupBatchInterval
	}
	return serversBatchInterval
}

func (g *Gateway) newFollower(metrics *discover.Metrics, list member.StoreList, prefix string, batchInterval func() time.Duration, onChange func([]metastore.Object, metastore.Revision), onConfirmed func(time.Time)) *discover.Follower {
	role := g.newRole(list, prefix)
	return discover.NewFollower(discover.Config{
		Store: g.options.Store, Prefix: prefix, Now: g.options.Now, Logger: g.log, OnChange: onChange, OnConfirmed: onConfirmed,
		Relay: g.relay, IsWatcher: role.IsWatcher, WatcherCount: g.watcherCount, WatchLimit: func() time.Duration { return g.watchLimit(role, list) },
		OnContact: role.NoteContact, PeersContact: func() time.Time { return g.members.PeersStoreContact(list) },
		Joined: g.members.Joined, BatchInterval: batchInterval, AllowStaleFirstList: prefix != g.options.ConfigKey,
		Order: g.options.Decode.Order, Metrics: metrics,
	})
}

func (g *Gateway) applyConfigs(objects []metastore.Object, _ metastore.Revision) {
	for _, object := range objects {
		if object.Key == g.options.ConfigKey {
			source := g.configs.Source()
			if order, ok := g.options.Decode.Order(object); ok {
				g.arrivedConfig = order.Sequence
				g.trackers.config.Arrived(g.options.Now(), order.Sequence, source)
			}
			g.post(func() { g.applyConfig(object, source) })
		}
	}
}
