package exchange

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// echoHome answers each leg with the leg's body, or never.
type echoHome struct{ silent bool }

func (h echoHome) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	if h.silent {
		return func() {}
	}
	done(leg.Result{
		Request:   request.Request,
		Shard:     request.Shard,
		Snapshot:  request.Snapshot,
		Outcome:   result.OutcomeRan,
		Body:      request.Body,
		Digest:    leg.Digest(request.Body),
		QueueTime: leg.UnknownQueueTime,
	})
	return func() {}
}

// mutePeer reads frames and never sends one, as over a lost connection on which writes still
// succeed.
type mutePeer struct{}

func (mutePeer) Legs(stream exchangepb.DRPCExchange_LegsStream) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
}

func serve(t *testing.T, register func(*peer.Server) error) (address string, stop func()) {
	t.Helper()
	is := is.New(t)
	server := peer.NewServer()
	is.NoErr(register(server))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = server.Serve(ctx, listener) }()
	return listener.Addr().String(), cancel
}

func serveHome(t *testing.T, h echoHome) (address string, stop func()) {
	t.Helper()
	return serve(t, func(s *peer.Server) error { return NewServer(h, time.Now).Register(s.Mux()) })
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	return NewClient(t.Context(), peer.NewPool(nil), "host-1", ident.NewIncarnation(time.Now()), time.Now)
}

func run(runner leg.Runner, body string) <-chan leg.Result {
	results := make(chan leg.Result, 1)
	runner.Run(leg.Request{
		Request:  ident.NewRequestID(),
		Shard:    3,
		Snapshot: 7,
		Deadline: time.Now().Add(time.Minute),
		Body:     []byte(body),
	}, func(r leg.Result) { results <- r })
	return results
}

func TestManyLegsShareAStream(t *testing.T) {
	is := is.New(t)
	address, stop := serveHome(t, echoHome{})
	defer stop()
	runner := newTestClient(t).To(address)
	var pending []<-chan leg.Result
	for range 500 {
		pending = append(pending, run(runner, "body"))
	}
	for _, results := range pending {
		r := <-results
		is.True(r.HasAnswer())
		is.Equal(string(r.Body), "body")
		is.Equal(r.QueueTime, leg.UnknownQueueTime)
	}
}

// Guards against legs that wait for their deadline on a silent connection. They end as unknown,
// since the home may run them.
func TestSilentLinkIsDroppedAndLegsAreUnknown(t *testing.T) {
	is := is.New(t)
	address, stop := serve(t, func(s *peer.Server) error { return exchangepb.DRPCRegisterExchange(s.Mux(), mutePeer{}) })
	defer stop()
	r := <-run(newTestClient(t).To(address), "body")
	is.Equal(r.Code, result.HomeUnavailable)
	is.Equal(r.Outcome, result.OutcomeUnknown)
}

// Guards against dropping the link to a slow home that answers pings.
func TestSlowHomeKeepsItsLink(t *testing.T) {
	is := is.New(t)
	address, stop := serveHome(t, echoHome{silent: true})
	defer stop()
	results := run(newTestClient(t).To(address), "body")
	select {
	case r := <-results:
		t.Fatalf("given up: %v", r)
	case <-time.After(2 * defaultLiveness.DropAfter):
	}
	stop() // the host stops
	r := <-results
	is.Equal(r.Code, result.HomeUnavailable)
	is.Equal(r.Outcome, result.OutcomeUnknown)
}

// A leg to an unreachable home was not sent and may go elsewhere, even if it is a booking.
func TestUnreachableHomeIsUnsent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	r := <-run(newTestClient(t).To(address), "body")
	is.Equal(r.Code, result.HomeUnavailable)
	is.Equal(r.Outcome, result.OutcomeUnsent)
}

// Guards against a host that hangs when a peer can't be reached: a query that ends with this leg
// cancels all its legs, this one too.
func TestResultOfAnUnreachablePeerMayCancelItsLeg(t *testing.T) {
	client := newTestClient(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	_ = listener.Close()
	cancels, ended := make(chan func(), 1), make(chan struct{})
	cancels <- client.To(listener.Addr().String()).Run(leg.Request{Request: ident.NewRequestID()}, func(leg.Result) {
		(<-cancels)()
		close(ended)
	})
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the leg's result hangs")
	}
}
