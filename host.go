// Package goldcrestspan runs an entry host, one of the equal hosts that form the
// query tier. The daemon wraps it, and other programs can embed it:
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
	"github.com/goldcrestspan/goldcrestspan/freshness"
	"github.com/goldcrestspan/goldcrestspan/front"
	"github.com/goldcrestspan/goldcrestspan/internal/wait"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/settings"
)

// Options override the defaults of an embedded host.
type Options struct {
	Logger   *zap.Logger          // default: no logging
	Registry *prometheus.Registry // default: a new registry
	Now      func() time.Time     // default: time.Now
	// Store and HostList, set together, replace the platform client.
	Store    metastore.Store
	HostList metastore.HostList
	// Backends replaces the HTTP client of backend servers.
	Backends backend.Runner
	// CallerTLS and OperatorTLS configure the listeners, PeerTLS both directions
	// between hosts. Nil means the files in the settings, or plain text.
	CallerTLS   *tls.Config
	PeerTLS     *tls.Config
	OperatorTLS *tls.Config

	certificates []listenerCertificates // loaded from the settings; empty in plain text
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
	components components
	options    Options
	front      *front.Front
	runCtx     context.Context
	cancel     context.CancelFunc

	replaced chan struct{} // closed once another process runs under this host's name
	inFlight atomic.Int64  // callers' requests
	stop     atomic.Pointer[drain.Stop]
	// stopEnded is closed when a planned stop has ended, to end the queries in flight.
	stopEnded chan struct{}
	gate      *freshness.Gate
}

// New builds a host and opens its listeners; Run starts it.
func New(s settings.Settings, options Options) (*Host, error) {
	options = options.withDefaults()
	if err := options.loadCertificates(s.TLS); err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	built, err := build(runCtx, s, options)
	if err != nil {
		cancel()
		return nil, err
	}
	h := &Host{components: built, options: options, runCtx: runCtx, cancel: cancel, replaced: make(chan struct{}), stopEnded: make(chan struct{}), gate: freshness.NewGate(s.Limits.CutOffAfter)}
	h.components.Hooks.bind(h)
	h.front = front.New(h, h.components.Metrics, front.Options{
		MaxBodyBytes:  s.Limits.MaxBodyBytes,
		MaxConcurrent: s.Limits.MaxConcurrent,
		Now:           options.Now,
	})
	if err := h.register(); err != nil {
		h.components.Listeners.close()
		cancel()
		return nil, err
	}
	return h, nil
}

// register registers the peer services of all components and the host's metrics.
func (h *Host) register() error {
	mux := h.components.PeerServer.Mux()
	exchangeServer := exchange.NewServer(h.components.HomeServer, h.components.Now)
	for _, register := range []func() error{
		func() error { return h.components.Member.Register(mux) },
		func() error { return h.components.Rollout.Register(mux) },
		func() error { return exchangeServer.Register(mux) },
		func() error { return h.components.Bookings.Register(mux) },
		func() error { return h.components.Catalog.Register(mux) },
		h.registerHostMetrics,
	} {
		if err := register(); err != nil {
			return errors.Wrap(err, "register services and metrics")
		}
	}
	return nil
}

// CallerAddress returns the address of the caller listener.
func (h *Host) CallerAddress() string { return h.components.Listeners.callers.Addr().String() }

// PeerAddress returns the address of the peer listener.
func (h *Host) PeerAddress() string { return h.components.Listeners.peers.Addr().String() }

// OperatorAddress returns the address of the operator listener.
func (h *Host) OperatorAddress() string { return h.components.Listeners.operators.Addr().String() }

// Run serves until ctx ends and then makes a planned stop. It returns once all
// components have stopped, with the first error if one failed.
func (h *Host) Run(ctx context.Context) error {
	defer h.cancel()
	group, runCtx := errgroup.WithContext(h.runCtx)
	callers := h.callerServer()
	operators := &http.Server{Handler: h.operatorHandler(), ReadHeaderTimeout: h.components.Settings.Limits.HeaderTimeout}
	run := func(name string, f func(context.Context) error) {
		group.Go(func() error { return errors.Wrap(f(runCtx), name) })
	}
	run("member", h.join)
	run("rollout", h.components.Rollout.Run)
	run("servers", h.components.Servers.run)
	run("catalog", h.components.Catalog.Run)
	run("peers", func(ctx context.Context) error { return h.components.PeerServer.Serve(ctx, h.peerListener()) })
	run("callers", func(context.Context) error {
		return serve(callers, h.components.Listeners.callers, h.options.CallerTLS)
	})
	run("operators", func(context.Context) error {
		return serve(operators, h.components.Listeners.operators, h.options.OperatorTLS)
	})
	run("stop", func(runCtx context.Context) error {
		select {
		case <-ctx.Done():
			h.plannedStop(runCtx)
		case <-h.replaced:
			h.plannedStop(runCtx)
		case <-runCtx.Done():
		}
		shutdownGracefully(runCtx, callers)
		_ = operators.Close()
		h.cancel()
		return nil
	})
	return wait.All(h.runCtx, group.Wait, endTimeout)
}

// endTimeout bounds how long the parts of this host take to end after its planned stop.
const endTimeout = 2 * time.Second

func (h *Host) callerServer() *http.Server {
	limits := h.components.Settings.Limits
	return &http.Server{
		Handler:           h.trackInFlight(h.front.Handler()),
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.BodyTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// maxHeaderBytes bounds the header of a caller's request.
const maxHeaderBytes = 16 << 10

// trackInFlight counts requests in flight, for the planned stop and the load.
func (h *Host) trackInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.inFlight.Add(1)
		defer h.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Config implements front.Service.
func (h *Host) Config() *bundle.Config { return h.components.Rollout.Config() }

// Ready implements front.Service. It returns a refusal while the host has no
// configuration, is cut off from platform and peers, serves by an outdated configuration, or
// refuses work in a stop.
func (h *Host) Ready() *result.Error {
	if h.Config() == nil {
		return &result.Error{Code: result.NotReady, Hosts: h.otherHosts()}
	}
	// Any count does: it only tells refusing from done, and both refuse new work.
	if stop := h.stop.Load(); stop != nil && stop.Phase(h.components.Now(), 1) >= drain.PhaseRefusing {
		return &result.Error{Code: result.Draining, Hosts: h.otherHosts()}
	}
	if h.components.Member.CutOff(h.components.Now(), h.components.Rollout.LastStoreContact(), h.components.Settings.Limits.CutOffAfter) {
		return &result.Error{Code: result.CutOff, Hosts: h.otherHosts()}
	}
	if reason := h.outdated(); reason != freshness.ReasonNone {
		return &result.Error{Code: result.NotReady, Detail: string(reason), Hosts: h.otherHosts()}
	}
	return nil
}

// outdated returns why this host must not serve by its configuration and its list of servers.
func (h *Host) outdated() freshness.Reason {
	c := &h.components
	if reason := h.gate.Check(c.Now(), c.Rollout.Freshness()); reason != freshness.ReasonNone {
		return reason
	}
	return h.gate.CheckLoops(c.Rollout.Loop().Busy, c.Member.Loop().Busy, c.Servers.loop.State(c.Now(), 0).Busy)
}

// otherHosts returns caller listeners of other serving hosts.
func (h *Host) otherHosts() []string {
	view := h.components.Member.View()
	var addresses []string
	for _, other := range view.Hosts {
		if other.ID != view.Self && other.Serving() && len(addresses) < maxAlternativeHosts {
			addresses = append(addresses, other.CallerAddress)
		}
	}
	return addresses
}

// maxAlternativeHosts bounds the hosts listed in a refusal.
const maxAlternativeHosts = 5

// Name returns the host's name from its settings.
func (h *Host) Name() string { return h.components.Settings.Host.Name }

// Serving reports whether the host is ready and has received the lists of backend
// servers and snapshots.
func (h *Host) Serving() bool {
	return h.Ready() == nil && !h.components.Catalog.LastContact().IsZero()
}

// Abort ends the host at once like a crash, without notifying peers or callers.
func (h *Host) Abort() {
	h.components.Listeners.close()
	_ = h.components.Pool.Close()
	h.cancel()
}
