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

// peerLinkLiveness applies to links that have a fallback. Legs can go to their server
// directly, so a peer is suspected after two lost pings.
var peerLinkLiveness = exchange.LivenessTimeouts{
	PingAfter:    40 * time.Millisecond,
	SuspectAfter: 100 * time.Millisecond,
	DropAfter:    400 * time.Millisecond,
}

// maxProxiedBodyBytes bounds the bodies of requests that go through a peer: each leg
// carries its own copy.
const maxProxiedBodyBytes = 512

// maxProxyCPULoad is the CPU load above which a host calls servers in other zones directly,
// since proxying costs the two hosts a third more CPU time.
const maxProxyCPULoad = 0.6

// crossZoneRunner runs calls at backend servers in other availability zones through a peer in
// that zone. This saves billed cross-zone traffic: the request head crosses once for all legs
// of a search, and only the records that the merged answer can need come back. It is limited
// to idempotent calls for merged answers; if no peer is available the call goes directly.
type crossZoneRunner struct {
	direct backend.Runner
	zone   string
	view   func() *member.View
	// load returns the CPU load of this host.
	load        func() float64
	links       *exchange.Client
	log         *zap.Logger
	partsByPath *prometheus.CounterVec

	proxies atomic.Pointer[proxies]
}

// proxies holds the peers to go through, by zone, for one membership view.
type proxies struct {
	membership *member.View
	byZone     map[string]string // peer addresses
}

// Run implements backend.Runner.
func (r *crossZoneRunner) Run(ctx context.Context, server backend.Server, call backend.Call) backend.CallResult {
	if server.Zone == r.zone {
		return r.direct.Run(ctx, server, call)
	}
	if address, ok := r.proxy(server, call); ok {
		if attempt, made := r.runThrough(ctx, address, server, call); made {
			r.partsByPath.WithLabelValues(pathPeer).Inc()
			return attempt
		}
	}
	r.partsByPath.WithLabelValues(pathDirect).Inc()
	return r.direct.Run(ctx, server, call)
}

// Label values for the path to a backend server in another availability zone.
const (
	pathPeer   = "peer"
	pathDirect = "direct"
	pathRest   = "rest" // the full part after a truncated one
)

func newCrossZoneCounter(registerer prometheus.Registerer) (*prometheus.CounterVec, error) {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "goldcrestspan", Name: "far_parts_total",
		Help: "Parts of answers from servers of other availability zones, by way: peer, direct, rest.",
	}, []string{"way"})
	return counter, registerer.Register(counter)
}

// proxy returns the address of the peer to go through; false if the call goes directly.
func (r *crossZoneRunner) proxy(server backend.Server, call backend.Call) (address string, ok bool) {
	if !call.Idempotent || call.Forward == nil || call.Forward.Merge == nil || len(call.Body) > maxProxiedBodyBytes {
		return "", false
	}
	if r.load() > maxProxyCPULoad {
		return "", false
	}
	address, ok = r.currentProxies()[server.Zone]
	return address, ok && !r.links.Suspects(address)
}

func (r *crossZoneRunner) currentProxies() map[string]string {
	view := r.view()
	if current := r.proxies.Load(); current != nil && current.membership == view {
		return current.byZone
	}
	next := &proxies{membership: view, byZone: make(map[string]string)}
	for zone, host := range entry.Proxies(view) {
		if host.State == member.StateAlive {
			next.byZone[zone] = host.PeerAddress
		}
	}
	r.proxies.Store(next)
	return next.byZone
}

// runThrough runs the call through a peer. made is false if the call certainly has not
// reached the server.
func (r *crossZoneRunner) runThrough(ctx context.Context, address string, server backend.Server, call backend.Call) (attempt backend.CallResult, made bool) {
	request := leg.Request{
		Request: call.Request, Service: call.Service, Shard: call.Shard, Snapshot: call.Snapshot,
		Deadline: call.Deadline, Idempotent: true, Body: call.Body, Forward: call.Forward,
		DirectServer: server.Name, DirectIncarnation: server.Incarnation, MaxRecords: call.Forward.Merge.MaxPerPart(),
	}
	res := askPeer(ctx, r.links, address, request)
	switch {
	case res.Attempt != nil:
		attempt = *res.Attempt
		if res.Truncated {
			attempt.Reply.Forwarded.FetchFull = r.fetchFull(address, request)
		}
		return attempt, true
	case !time.Now().Before(call.Deadline):
		return backend.CallResult{Outcome: res.Outcome, Fault: backend.FaultDeadline}, true
	case ctx.Err() != nil:
		return backend.CallResult{Outcome: res.Outcome, Fault: backend.FaultCancelled}, true
	case res.Outcome.NotRun():
		return backend.CallResult{}, false
	default:
		r.log.Info("peer that a part went through is lost", zap.String("request", call.Forward.AttemptID), zap.String("peer", address), zap.String("server", server.Name))
		return backend.CallResult{Outcome: res.Outcome, Fault: backend.FaultPeerLost}, true
	}
}

// fetchFull returns a function that fetches all records of a part that the peer truncated.
func (r *crossZoneRunner) fetchFull(address string, request leg.Request) func(context.Context) ([]byte, error) {
	fetch := fullPartFetcher(r.links, address, request)
	return func(ctx context.Context) ([]byte, error) {
		r.partsByPath.WithLabelValues(pathRest).Inc()
		return fetch(ctx)
	}
}
