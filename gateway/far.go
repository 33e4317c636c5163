package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/exchange"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// farSilence is that of the links to hosts of other availability zones. A part
// can always go to its server directly, so a host is doubted soon: two pings
// lost, at 1 ms there and back.
var farSilence = exchange.Silence{
	Ping:  40 * time.Millisecond,
	Doubt: 100 * time.Millisecond,
	Dead:  400 * time.Millisecond,
}

// mostFarBody bounds the bodies of calls that go through a peer: each part
// carries its own copy.
const mostFarBody = 512

// busyProcessor is the share of its processor from which a host calls servers of
// other availability zones directly: that a part goes through a peer costs the two
// hosts a third more processor time.
const busyProcessor = 0.6

// farRunner runs parts at backend servers of other availability zones through a
// host there.
//
// Load: a third of the services have no server in a host's own zone, and of the
// others each third part finds the near server full. Harm prevented: each part's
// request and reply cross zones with all their headers, some 600 bytes, and the
// users pay for these bytes. Through a host there the request's head crosses once
// for all parts, and of each part only the records that the merged answer can
// need. Limits: only parts of merged answers, which may run twice; only through a
// host that answers, or else directly.
type farRunner struct {
	direct backend.Runner
	zone   string
	view   func() *member.View
	// load is the share of its processor that this host uses.
	load  func() float64
	links *exchange.Client
	log   *zap.Logger
	parts *prometheus.CounterVec // by way

	proxies atomic.Pointer[proxies]
}

// proxies are the hosts to go through, by zone, of one view.
type proxies struct {
	of     *member.View
	byZone map[string]string // peers' addresses
}

// Run implements backend.Runner.
func (r *farRunner) Run(ctx context.Context, server backend.Server, call backend.Call) backend.CallResult {
	if server.Zone == r.zone {
		return r.direct.Run(ctx, server, call)
	}
	if address, ok := r.proxy(server, call); ok {
		if end, made := r.through(ctx, address, server, call); made {
			r.parts.WithLabelValues(wayPeer).Inc()
			return end
		}
	}
	r.parts.WithLabelValues(wayDirect).Inc()
	return r.direct.Run(ctx, server, call)
}

// The ways to a backend server of another availability zone, in metrics.
const (
	wayPeer   = "peer"
	wayDirect = "direct"
	wayRest   = "rest" // the whole of a part that was cut
)

func newFarParts(registerer prometheus.Registerer) (*prometheus.CounterVec, error) {
	parts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "goldcrestspan", Name: "far_parts_total",
		Help: "Parts of answers from servers of other availability zones, by way: peer, direct, rest.",
	}, []string{"way"})
	return parts, registerer.Register(parts)
}

// proxy is the host to go through; false: the call goes to the server directly.
func (r *farRunner) proxy(server backend.Server, call backend.Call) (address string, ok bool) {
	if !call.Idempotent || call.Forward == nil || call.Forward.Merge == nil || len(call.Body) > mostFarBody {
		return "", false
	}
	if r.load() > busyProcessor {
		return "", false
	}
	address, ok = r.currentProxies()[server.Zone]
	return address, ok && !r.links.Doubts(address)
}

func (r *farRunner) currentProxies() map[string]string {
	view := r.view()
	if current := r.proxies.Load(); current != nil && current.of == view {
		return current.byZone
	}
	next := &proxies{of: view, byZone: make(map[string]string)}
	for zone, host := range entry.Proxies(view) {
		if host.State == member.StateAlive {
			next.byZone[zone] = host.PeerAddress
		}
	}
	r.proxies.Store(next)
	return next.byZone
}

// through runs the call through a peer. made is false if it surely has not gone
// to the server.
func (r *farRunner) through(ctx context.Context, address string, server backend.Server, call backend.Call) (end backend.CallResult, made bool) {
	request := leg.Request{
		Request: call.Request, Service: call.Service, Shard: call.Shard, Snapshot: call.Snapshot,
		Deadline: call.Deadline, Idempotent: true, Body: call.Body, Forward: call.Forward,
		DirectServer: server.Name, DirectIncarnation: server.Incarnation, MaxRecords: call.Forward.Merge.MostPerPart(),
	}
	ended := askPeer(ctx, r.links, address, request)
	switch {
	case ended.Attempt != nil:
		end = *ended.Attempt
		if ended.Truncated {
			end.Reply.Forwarded.Rest = r.rest(address, request)
		}
		return end, true
	case !time.Now().Before(call.Deadline):
		return backend.CallResult{Outcome: ended.Outcome, Fault: backend.FaultDeadline}, true
	case ctx.Err() != nil:
		return backend.CallResult{Outcome: ended.Outcome, Fault: backend.FaultCancelled}, true
	case ended.Outcome.NotRun():
		return backend.CallResult{}, false
	default:
		r.log.Info("peer that a part went through is lost", zap.String("request", call.Forward.AttemptID), zap.String("peer", address), zap.String("server", server.Name))
		return backend.CallResult{Outcome: ended.Outcome, Fault: backend.FaultPeerLost}, true
	}
}

// rest fetches all records of a part that the peer has cut.
func (r *farRunner) rest(address string, request leg.Request) func(context.Context) ([]byte, error) {
	fetch := restAt(r.links, address, request)
	return func(ctx context.Context) ([]byte, error) {
		r.parts.WithLabelValues(wayRest).Inc()
		return fetch(ctx)
	}
}
