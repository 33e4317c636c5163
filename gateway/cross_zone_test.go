package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/exchange"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// echoRunner answers each call with ten records.
type echoRunner struct{ calls chan backend.Call }

func (r echoRunner) Run(_ context.Context, _ backend.Server, call backend.Call) backend.CallResult {
	r.calls <- call
	body := make([]byte, 10*recordSize)
	return backend.CallResult{Outcome: result.OutcomeRan, Reply: backend.Reply{Body: body, Forwarded: &forward.Reply{Signature: "s"}}}
}

func runProxied(s *proxyServer, request leg.Request) leg.Result {
	done := make(chan leg.Result, 1)
	s.Run(request, func(r leg.Result) { done <- r })
	return <-done
}

func proxiedRequest(server string) leg.Request {
	return leg.Request{
		DirectServer: server, MaxRecords: 3, Deadline: time.Now().Add(time.Minute), Idempotent: true,
		Forward: &forward.Request{AttemptID: "attempt"},
	}
}

// Guards against passing parts on to a leaving server when the sending host has not heard of
// it yet.
func TestProxyRefusesLeavingServer(t *testing.T) {
	is := is.New(t)
	runner := echoRunner{calls: make(chan backend.Call, 1)}
	s, err := newProxyServer(runner)
	is.NoErr(err)
	is.Equal(runProxied(s, proxiedRequest("server")).Outcome, result.OutcomeUnsent) // no servers are known yet
	s.setServers(map[string]backend.Server{"other": {Name: "other"}})
	refusal := runProxied(s, proxiedRequest("server"))
	is.Equal(refusal.Outcome, result.OutcomeUnsent)
	is.True(refusal.Attempt == nil)
	is.Equal(len(runner.calls), 0)
}

// Guards against passing parts on to the old address of a server that has restarted under the
// same name.
func TestProxyRefusesOtherIncarnationOfServer(t *testing.T) {
	is := is.New(t)
	runner := echoRunner{calls: make(chan backend.Call, 1)}
	s, err := newProxyServer(runner)
	is.NoErr(err)
	s.setServers(map[string]backend.Server{"server": {Name: "server", Incarnation: 1}})
	request := proxiedRequest("server")
	request.DirectIncarnation = 2
	refusal := runProxied(s, request)
	is.Equal(refusal.Outcome, result.OutcomeUnsent)
	is.Equal(len(runner.calls), 0)
	s.setServers(map[string]backend.Server{"server": {Name: "server", Incarnation: 2}})
	is.Equal(runProxied(s, request).Outcome, result.OutcomeRan)
}

// Guards against losing the records that a truncated reply left out while they are cached.
func TestProxyCachesTruncatedParts(t *testing.T) {
	is := is.New(t)
	s, err := newProxyServer(echoRunner{calls: make(chan backend.Call, 1)})
	is.NoErr(err)
	s.setServers(map[string]backend.Server{"server": {Name: "server"}})
	part := runProxied(s, proxiedRequest("server"))
	is.True(part.Truncated)
	is.Equal(len(part.Body), 3*recordSize)
	full := proxiedRequest("server")
	full.FullAnswer = true
	is.Equal(len(runProxied(s, full).Body), 10*recordSize)
	full.Forward = &forward.Request{AttemptID: "another"}
	is.True(runProxied(s, full).Attempt == nil)
}

// Guards against proxying parts, which takes more CPU on both hosts, while the host is busy.
func TestBusyHostCallsServersInOtherZonesDirectly(t *testing.T) {
	is := is.New(t)
	load := 0.0
	view := &member.View{Hosts: []member.Host{{ID: "peer", Zone: "far", PeerAddress: "10.2.0.1:8106", State: member.StateAlive, CallerAddress: "10.2.0.1:8104"}}}
	links := exchange.NewClient(t.Context(), peer.NewPool(nil), "self", 1, time.Now)
	runner := &crossZoneRunner{zone: "near", view: func() *member.View { return view }, load: func() float64 { return load }, links: links}
	call := backend.Call{Idempotent: true, Forward: &forward.Request{Merge: &forward.Merge{TopK: 5, Services: 20}}}
	_, proxied := runner.proxy(backend.Server{Name: "server", Zone: "far"}, call)
	is.True(proxied)
	load = 0.9
	_, proxied = runner.proxy(backend.Server{Name: "server", Zone: "far"}, call)
	is.True(!proxied)
}
