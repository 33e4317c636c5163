package exchange

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// frozenPeer accepts connections while its process hangs; once awake it answers pings.
type frozenPeer struct {
	awake atomic.Bool
	legs  atomic.Int64
}

func (f *frozenPeer) Legs(stream exchangepb.DRPCExchange_LegsStream) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		f.legs.Add(int64(len(frame.GetRequests())))
		for !f.awake.Load() {
			time.Sleep(time.Millisecond)
		}
		if err := stream.Send(&exchangepb.Frame{Pong: max(frame.GetPing(), 1)}); err != nil {
			return err
		}
	}
}

// Guards against sending legs to a home that was silent before it has answered again, although
// its kernel still accepts connections.
func TestSilentPeerIsSuspectedUntilItAnswers(t *testing.T) {
	is := is.New(t)
	hung := &frozenPeer{}
	address, stop := serve(t, func(s *peer.Server) error { return exchangepb.DRPCRegisterExchange(s.Mux(), hung) })
	defer stop()
	c := NewClient(t.Context(), peer.NewPool(nil), "self", 1, time.Now)
	c.Liveness = LivenessTimeouts{PingAfter: 10 * time.Millisecond, SuspectAfter: 20 * time.Millisecond, DropAfter: 60 * time.Millisecond}
	results := make(chan leg.Result, 1)
	c.To(address).Run(leg.Request{Idempotent: true, Deadline: time.Now().Add(time.Minute)}, func(r leg.Result) { results <- r })
	is.Equal((<-results).Outcome, result.OutcomeUnknown)
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !c.Suspects(address) {
			t.Fatal("a peer that has not answered is not suspected")
		}
	}
	hung.awake.Store(true)
	for end := time.Now().Add(10 * time.Second); c.Suspects(address); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a peer that answers again is still suspected")
		}
	}
	is.Equal(hung.legs.Load(), int64(1))
}
