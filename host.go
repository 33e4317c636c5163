// Package goldcrestspan runs an entry host: one of the many small, equal hosts
// that together are the query tier. The daemon is a few lines around it, and a
// program can embed it:
//
//	host, err := goldcrestspan.New(s, goldcrestspan.Options{})
//	err = host.Run(ctx) // until ctx ends, then a planned stop
package goldcrestspan

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/drain"
	"github.com/goldcrestspan/goldcrestspan/exchange"
	"github.com/goldcrestspan/goldcrestspan/front"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/settings"
)

// Options are what an embedding program may put in place of the defaults.
type Options struct {
	Logger   *zap.Logger          // default: none
	Registry *prometheus.Registry // default: one of its own
	Now      func() time.Time     // default: time.Now
	// Store and HostList, set together, stand in for the platform's client.
	Store    metastore.Store
	HostList metastore.HostList
	// Backends stands in for the HTTP client of backend servers.
	Backends backend.Runner
	// CallerTLS and OperatorTLS are for the listeners; PeerTLS, for both
	// directions between hosts. Nil speaks plain text.
	CallerTLS   *tls.Config
	PeerTLS     *tls.Config
	OperatorTLS *tls.Config

	certificates []listenerFiles // of the settings; none in plain text
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Host is one entry host.
type Host struct {
	parts   parts
	options Options
	front   *front.Front
	live    context.Context
	end     context.CancelFunc

	replaced chan struct{} // closed once another process has this host's name
	inFlight atomic.Int64  // requests of callers
	stop     atomic.Pointer[drain.Stop]
}

// New builds a host and opens its listeners; Run starts it.
func New(s settings.Settings, options Options) (*Host, error) {
	options = options.withDefaults()
	if err := options.openCertificates(s.TLS); err != nil {
		return nil, err
	}
	live, end := context.WithCancel(context.Background())
	built, err := build(live, s, options)
	if err != nil {
		end()
		return nil, err
	}
	h := &Host{parts: built, options: options, live: live, end: end, replaced: make(chan struct{})}
	h.parts.Late.bind(h)
	h.front = front.New(h, h.parts.Metrics, front.Options{
		MaxBodyBytes:  s.Limits.MaxBodyBytes,
		MaxConcurrent: s.Limits.MaxConcurrent,
		Now:           options.Now,
	})
	if err := h.register(); err != nil {
		h.parts.Listeners.close()
		end()
		return nil, err
	}
	return h, nil
}

// register adds every slice's service to the peers' server, and the host's
// view of itself to the metrics.
func (h *Host) register() error {
	mux := h.parts.PeerServer.Mux()
	inbound := exchange.NewServer(h.parts.Local, h.parts.Now)
	for _, register := range []func() error{
		func() error { return h.parts.Member.Register(mux) },
		func() error { return h.parts.Rollout.Register(mux) },
		func() error { return inbound.Register(mux) },
		func() error { return h.parts.Desk.Register(mux) },
		func() error { return h.parts.Catalog.Register(mux) },
		h.registerView,
	} {
		if err := register(); err != nil {
			return errors.Wrap(err, "register services and metrics")
		}
	}
	return nil
}

// CallerAddress, PeerAddress and OperatorAddress are the listeners' addresses.
func (h *Host) CallerAddress() string { return h.parts.Listeners.callers.Addr().String() }

// PeerAddress is the address of the peers' listener.
func (h *Host) PeerAddress() string { return h.parts.Listeners.peers.Addr().String() }

// OperatorAddress is the address of the operators' listener.
func (h *Host) OperatorAddress() string { return h.parts.Listeners.operators.Addr().String() }

// Run serves until ctx ends, and then makes a planned stop. It returns when
// everything has ended, or with the first part that failed.
func (h *Host) Run(ctx context.Context) error {
	defer h.end()
	group, live := errgroup.WithContext(h.live)
	callers := h.callersServer()
	operators := &http.Server{Handler: h.operatorsHandler(), ReadHeaderTimeout: h.parts.Settings.Limits.HeaderTimeout}
	run := func(name string, f func(context.Context) error) {
		group.Go(func() error { return errors.Wrap(f(live), name) })
	}
	run("member", h.join)
	run("rollout", h.parts.Rollout.Run)
	run("servers", h.parts.Servers.run)
	run("catalog", h.parts.Catalog.Run)
	run("peers", func(ctx context.Context) error { return h.parts.PeerServer.Serve(ctx, h.peersListener()) })
	run("callers", func(context.Context) error { return serve(callers, h.parts.Listeners.callers, h.options.CallerTLS) })
	run("operators", func(context.Context) error {
		return serve(operators, h.parts.Listeners.operators, h.options.OperatorTLS)
	})
	run("stop", func(live context.Context) error {
		select {
		case <-ctx.Done():
			h.plannedStop(live)
		case <-h.replaced:
			h.plannedStop(live)
		case <-live.Done():
		}
		closeGently(live, callers)
		_ = operators.Close()
		h.end()
		return nil
	})
	return group.Wait()
}

func (h *Host) callersServer() *http.Server {
	limits := h.parts.Settings.Limits
	return &http.Server{
		Handler:           h.count(h.front.Handler()),
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.BodyTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// maxHeaderBytes bounds the head of a caller's request.
const maxHeaderBytes = 16 << 10

// count counts the requests in flight, for the planned stop.
func (h *Host) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.inFlight.Add(1)
		defer h.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Config implements front.Service.
func (h *Host) Config() *bundle.Config { return h.parts.Rollout.Config() }

// Ready implements front.Service: it refuses work, as "not run", while the
// host has no configuration, is cut off or is stopping.
func (h *Host) Ready() *result.Error {
	if h.Config() == nil {
		return &result.Error{Code: result.NotReady, Hosts: h.otherHosts()}
	}
	if stop := h.stop.Load(); stop != nil && stop.Phase(h.parts.Now(), 1) >= drain.PhaseRefusing {
		return &result.Error{Code: result.Draining, Hosts: h.otherHosts()}
	}
	if h.parts.Member.CutOff(h.parts.Now(), h.parts.Rollout.LastStoreContact(), h.parts.Settings.Limits.CutOffAfter) {
		return &result.Error{Code: result.CutOff, Hosts: h.otherHosts()}
	}
	return nil
}

// otherHosts are callers' listeners of other serving hosts.
func (h *Host) otherHosts() []string {
	view := h.parts.Member.View()
	var addresses []string
	for _, other := range view.Hosts {
		if other.ID != view.Self && other.Serving() && len(addresses) < maxNamedHosts {
			addresses = append(addresses, other.CallerAddress)
		}
	}
	return addresses
}

// maxNamedHosts bounds the hosts named in a refusal.
const maxNamedHosts = 5

// Name is the host's name from its settings.
func (h *Host) Name() string { return h.parts.Settings.Host.Name }

// Serving reports whether the host is ready and has heard from the platform
// which backend servers and snapshots there are.
func (h *Host) Serving() bool {
	return h.Ready() == nil && !h.parts.Catalog.LastContact().IsZero()
}

// Abort ends the host at once, as a crash would: nothing is said to anybody.
func (h *Host) Abort() {
	h.parts.Listeners.close()
	_ = h.parts.Pool.Close()
	h.end()
}
