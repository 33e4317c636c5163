package goldcrestspan

import (
	"context"
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
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/peer"
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
	Desk        *booking.Executor
	Servers     *servers
	Admission   *admit.Controller
	Advisor     *entry.Advisor
	Crashes     *crashes
	Late        *late
}

// late is what parts built early need of parts built later. It is bound before
// anything runs.
type late struct {
	configNews func(member.ConfigUpdate)
	runBooking booking.Runner
	applied    func(*bundle.Config)
	watcher    homeserver.AttemptObserver
	backend    func(member.BackendUpdate)
	suspect    func(member.SuspectRequestUpdate)
	replaced   func()
}

func (l *late) bind(h *Host) {
	l.configNews = func(news member.ConfigUpdate) {
		h.parts.Rollout.HandleConfigUpdate(&memberpb.ConfigNews{
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
		func() (metastore.Store, metastore.HostList) { return openPlatform(s, o) },
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

func openPlatform(s settings.Settings, o Options) (metastore.Store, metastore.HostList) {
	if o.Store != nil {
		return o.Store, o.HostList
	}
	client := metastore.NewClient(s.Platform.Addresses, metastore.ClientOptions{Timeout: s.Platform.Timeout})
	return client, client
}

func openBackends(s settings.Settings, o Options, configs *rollout.Agent, registry *prometheus.Registry) (backend.Runner, error) {
	if o.Backends != nil {
		return o.Backends, nil
	}
	client := backend.NewClient(backend.Options{
		MaxReplyBytes:   int64(s.Limits.BackendReplyBytes),
		ConnectionLimit: func(server backend.Server) int { return connectionShare(configs.Config(), server.Service) },
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
