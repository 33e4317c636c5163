package exchange

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// nearby answers legs at named servers with the request's own target.
type nearby struct{}

func (nearby) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	if request.Forward == nil {
		done(leg.Failed(request, result.BadRequest, result.OutcomeUnsent, "no head"))
		return func() {}
	}
	ended := leg.Failed(request, 0, result.OutcomeRan, "")
	ended.Body = []byte(request.DirectServer + request.Forward.Target + request.Forward.Header.Get("X-Own"))
	ended.Truncated = request.MaxRecords == 1
	ended.Attempt = &backend.CallResult{Outcome: result.OutcomeRan, Reply: backend.Reply{
		Load: backend.Load{Running: 1, Queued: 2, Slots: 3}, Forwarded: &forward.Reply{Signature: "signed"},
	}}
	done(ended)
	return func() {}
}

// counting counts the heads that come in.
type counting struct {
	*Server
	mu    sync.Mutex
	heads int
	ended int
}

func (c *counting) Legs(stream exchangepb.DRPCExchange_LegsStream) error {
	return c.Server.Legs(&countingStream{DRPCExchange_LegsStream: stream, c: c})
}

type countingStream struct {
	exchangepb.DRPCExchange_LegsStream
	c *counting
}

func (s *countingStream) Recv() (*exchangepb.Frame, error) {
	frame, err := s.DRPCExchange_LegsStream.Recv()
	s.c.mu.Lock()
	s.c.heads += len(frame.GetHeads())
	s.c.ended += len(frame.GetEndedHeads())
	s.c.mu.Unlock()
	return frame, err
}

// Twenty parts of a search go to one host. What they share crosses the zones
// once and is forgotten with the last of them; each gets its own answer.
func TestPartsOfARequestShareItsHead(t *testing.T) {
	is := is.New(t)
	c := &counting{Server: NewServer(nearby{}, time.Now)}
	address, stop := serve(t, func(s *peer.Server) error { return exchangepb.DRPCRegisterExchange(s.Mux(), c) })
	defer stop()
	runner := newTestClient(t).To(address)
	const requests, parts = 3, 20
	results := make(chan leg.Result, requests*parts)
	for i := range requests {
		shared := &forward.Request{AttemptID: "a", Target: "/t", Header: http.Header{"X-Own": {string(rune('0' + i))}}}
		for j := range parts {
			runner.Run(leg.Request{
				Request: ident.NewRequestID(), DirectServer: string(rune('a' + j)), Forward: shared,
				MaxRecords: j, Deadline: time.Now().Add(time.Minute),
			}, func(r leg.Result) { results <- r })
		}
	}
	bodies := make(map[string]int)
	for range requests * parts {
		r := <-results
		is.Equal(r.Attempt.Reply.Forwarded.Signature, "signed")
		is.Equal(r.Attempt.Reply.Load, backend.Load{Running: 1, Queued: 2, Slots: 3})
		is.Equal(r.Truncated, r.Body[0] == 'b')
		bodies[string(r.Body)]++
	}
	is.Equal(len(bodies), requests*parts)
	deadline := time.Now().Add(5 * time.Second)
	for {
		c.mu.Lock()
		heads, ended := c.heads, c.ended
		c.mu.Unlock()
		if ended == heads {
			is.True(heads >= requests && heads < requests*parts) // a head that has ended is sent anew
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d heads came, %d were ended", heads, ended)
		}
		time.Sleep(time.Millisecond)
	}
}

// A peer stands still. Legs that have another way must take it long before the
// link is given up.
func TestSilentPeerIsDoubtedBeforeItsLinkIsDropped(t *testing.T) {
	is := is.New(t)
	address, stop := serve(t, func(s *peer.Server) error { return exchangepb.DRPCRegisterExchange(s.Mux(), mute{}) })
	defer stop()
	c := newTestClient(t)
	c.Silence = Silence{Ping: 10 * time.Millisecond, Doubt: 30 * time.Millisecond, Dead: time.Minute}
	is.True(!c.Doubts(address)) // nothing is known of it
	runner := c.To(address)
	cancel := runner.Run(leg.Request{DirectServer: "s", Forward: &forward.Request{}, Deadline: time.Now().Add(time.Minute)}, func(leg.Result) {})
	for end := time.Now().Add(5 * time.Second); !c.Doubts(address); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never doubted")
		}
	}
	cancel()
	is.True(!c.Doubts(address)) // it owes nothing now
}

// Bytes between zones are what these messages save: a part's request and reply
// must stay a fraction of the 600 bytes that HTTP takes for them.
func TestMessagesOfANamedLegAreSmall(t *testing.T) {
	is := is.New(t)
	request := encodeNamed(100_000, 5_000, leg.Request{
		DirectServer: "i-8fbe9c6427", MaxRecords: 5, Deadline: time.Unix(2, 0),
	}, time.Unix(0, 0))
	reply := encodeAttempt(100_000, leg.Result{
		Body: make([]byte, 5*16), Truncated: true,
		Attempt: &backend.CallResult{Outcome: result.OutcomeRan, Reply: backend.Reply{
			Load:      backend.Load{Running: 1, Slots: 2},
			Forwarded: &forward.Reply{Signature: "3e1b.07.5a2.600.0.c9f2a4d1"},
		}},
	})
	sent, back := proto.Size(request), proto.Size(reply)
	t.Logf("%d bytes there, %d back", sent, back)
	is.True(sent <= 40)
	is.True(back <= 130)
}
