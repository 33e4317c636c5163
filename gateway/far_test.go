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

func askFar(s *farServer, request leg.Request) leg.Result {
	ended := make(chan leg.Result, 1)
	s.Run(request, func(r leg.Result) { ended <- r })
	return <-ended
}

func farRequest(server string) leg.Request {
	return leg.Request{
		DirectServer: server, MaxRecords: 3, Deadline: time.Now().Add(time.Minute), Idempotent: true,
		Forward: &forward.Request{AttemptID: "attempt"},
	}
}

// A server leaves, and the host that sends a part has not heard of it yet. The
// host near the server has, and must pass nothing on; the part has not run and
// may go elsewhere.
func TestPeerPassesNothingOnToALeavingServer(t *testing.T) {
	is := is.New(t)
	runner := echoRunner{calls: make(chan backend.Call, 1)}
	s, err := newFarServer(runner)
	is.NoErr(err)
	is.Equal(askFar(s, farRequest("server")).Outcome, result.OutcomeUnsent) // nothing is known yet
	s.setServers(map[string]backend.Server{"other": {Name: "other"}})
	refused := askFar(s, farRequest("server"))
	is.Equal(refused.Outcome, result.OutcomeUnsent)
	is.True(refused.Attempt == nil)
	is.Equal(len(runner.calls), 0)
}

// A server crashes and starts again under its name, at another address. The host
// that sends a part has heard of it, the host near the server has not: it must not
// pass the part on to where the server was, and the part may go there directly.
func TestPeerPassesNothingOnToAnotherStartOfAServer(t *testing.T) {
	is := is.New(t)
	runner := echoRunner{calls: make(chan backend.Call, 1)}
	s, err := newFarServer(runner)
	is.NoErr(err)
	s.setServers(map[string]backend.Server{"server": {Name: "server", Incarnation: 1}})
	request := farRequest("server")
	request.DirectIncarnation = 2
	refused := askFar(s, request)
	is.Equal(refused.Outcome, result.OutcomeUnsent)
	is.Equal(len(runner.calls), 0)
	s.setServers(map[string]backend.Server{"server": {Name: "server", Incarnation: 2}})
	is.Equal(askFar(s, request).Outcome, result.OutcomeRan)
}

// The host near the servers sends three of ten records, and all of them when
// they turn out to be needed, as long as it keeps them.
func TestPeerKeepsWhatItCuts(t *testing.T) {
	is := is.New(t)
	s, err := newFarServer(echoRunner{calls: make(chan backend.Call, 1)})
	is.NoErr(err)
	s.setServers(map[string]backend.Server{"server": {Name: "server"}})
	part := askFar(s, farRequest("server"))
	is.True(part.Truncated)
	is.Equal(len(part.Body), 3*recordSize)
	rest := farRequest("server")
	rest.FullAnswer = true
	is.Equal(len(askFar(s, rest).Body), 10*recordSize)
	rest.Forward = &forward.Request{AttemptID: "another"}
	is.True(askFar(s, rest).Attempt == nil)
}

// A burst fills the processors of the hosts that carry it. Parts that go through a
// peer cost two hosts a third more processor time: a busy host must go directly,
// and save bytes between zones again when it is calm.
func TestBusyHostCallsFarServersDirectly(t *testing.T) {
	is := is.New(t)
	load := 0.0
	view := &member.View{Hosts: []member.Host{{ID: "peer", Zone: "far", PeerAddress: "10.2.0.1:8106", State: member.StateAlive, CallerAddress: "10.2.0.1:8104"}}}
	links := exchange.NewClient(t.Context(), peer.NewPool(nil), "self", 1, time.Now)
	runner := &farRunner{zone: "near", view: func() *member.View { return view }, load: func() float64 { return load }, links: links}
	call := backend.Call{Idempotent: true, Forward: &forward.Request{Merge: &forward.Merge{Greatest: 5, Services: 20}}}
	_, through := runner.proxy(backend.Server{Name: "server", Zone: "far"}, call)
	is.True(through)
	load = 0.9
	_, through = runner.proxy(backend.Server{Name: "server", Zone: "far"}, call)
	is.True(!through)
}
