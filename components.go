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

// clock is the time source that all components share.
type clock func() time.Time

// lifetime is a context that ends when the host has stopped.
type lifetime struct{ context.Context }

// listeners are opened before any component starts, so that the ports chosen for
// port 0 are known.
type listeners struct {
	callers, peers, operators net.Listener
}

// components is what the container builds and the host runs.
type components struct {
	dig.In

	Settings      settings.Settings
	Now           clock
	Log           *zap.Logger
	Registry      *prometheus.Registry
	Metrics       *observe.Metrics
	Listeners     *listeners
	Pool          *peer.Pool
	PeerServer    *peer.Server
	Member        *member.Agent
	Rollout       *rollout.Agent
	Catalog       *catalog.Agent
	Homes         *homeResolver
	HomeServer    *homeserver.Server
	Pins          *snapshot.Pins
	Coordinator   *scatter.Coordinator
	Incarnation   ident.Incarnation
	Bookings      *booking.Executor
	Servers       *serverRegistry
	Admission     *admit.Controller
	Advisor       *entry.Advisor
	CrashDetector *crashDetector
	Hooks         *runtimeHooks
}

// runtimeHooks lets components call others that are built later. It is bound before
// any component runs.
type runtimeHooks struct {
	configUpdate  func(member.ConfigUpdate)
	runBooking    booking.Runner
	configApplied func(*bundle.Config)
	observer      homeserver.AttemptObserver
	backendUpdate func(member.BackendUpdate)
	suspectUpdate func(member.SuspectRequestUpdate)
	replaced      func()
}

func (r *runtimeHooks) bind(h *Host) {
	r.configUpdate = func(update member.ConfigUpdate) {
		h.components.Rollout.HandleConfigUpdate(&memberpb.ConfigNews{
			Generation:   update.Generation,
			ManifestHash: update.ManifestHash,
		}, update.FromAddress)
	}
	r.runBooking = h.runBooking
	r.configApplied = h.applyConfig
	r.observer = h.components.CrashDetector
	r.suspectUpdate = h.components.CrashDetector.merge
	r.replaced = h.stopReplaced
	r.backendUpdate = h.components.Servers.merge
}

// build constructs the components through a dependency injection container.
func build(ctx context.Context, s settings.Settings, o Options) (components, error) {
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
		func() (metastore.Store, metastore.HostList) { return openStore(s, o) },
		func(configs *rollout.Agent, registry *prometheus.Registry) (backend.Runner, error) {
			return newBackendRunner(s, o, configs, registry)
		},
		func(now clock) *snapshot.Pins { return snapshot.NewPins(now) },
		newMember,
		newRollout,
		newHomeServer,
		newExchangeClient,
		provideHomeResolver,
		newServerRegistry,
		newCatalog,
		newAdmission,
		entry.NewAdvisor,
		newCrashDetector,
		newCoordinator,
		newBookingExecutor,
		func() *runtimeHooks { return &runtimeHooks{} },
	}
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return components{}, errors.Wrap(err, "wire the host")
		}
	}
	var built components
	err := container.Invoke(func(p components) { built = p })
	return built, errors.Wrap(dig.RootCause(err), "build the host")
}

func openListeners(s settings.Settings) (*listeners, error) {
	l := &listeners{}
	for _, open := range []struct {
		address string
		target  *net.Listener
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
		*open.target = listener
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

func openStore(s settings.Settings, o Options) (metastore.Store, metastore.HostList) {
	if o.Store != nil {
		return o.Store, o.HostList
	}
	client := metastore.NewClient(s.Platform.Addresses, metastore.ClientOptions{Timeout: s.Platform.Timeout})
	return client, client
}

func newBackendRunner(s settings.Settings, o Options, configs *rollout.Agent, registry *prometheus.Registry) (backend.Runner, error) {
	if o.Backends != nil {
		return o.Backends, nil
	}
	client := backend.NewClient(backend.Options{
		MaxReplyBytes:   int64(s.Limits.BackendReplyBytes),
		ConnectionLimit: func(server backend.Server) int { return connectionLimit(configs.Config(), server.Service) },
	})
	return client, client.RegisterMetrics(registry)
}

// connectionLimit returns how many connections this host may open to one server of
// the service: half of the server's limit, since a service has two homes while
// the hosts' membership views differ.
func connectionLimit(config *bundle.Config, service string) int {
	const maxHomes = 2
	if config == nil {
		return 1
	}
	spec, ok := config.Service(service)
	if !ok {
		return 1
	}
	return max(1, spec.ConnectionsPerServer/maxHomes)
}
