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

// frozen is a peer whose kernel takes connections while its process stands still; it
// answers pings once it has woken.
type frozen struct {
	awake atomic.Bool
	legs  atomic.Int64
}

func (f *frozen) Legs(stream exchangepb.DRPCExchange_LegsStream) error {
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

// A home freezes, or loses power, for seconds. Its link is dropped, and a new one opens at
// once, since its kernel still answers; or connecting waits for a host that is gone. Either
// way every search that came was short of the home's part until it was given up, again
// and again. The home must get no leg until it has answered.
func TestPeerThatWasSilentIsDoubtedUntilItAnswers(t *testing.T) {
	is := is.New(t)
	peerLegs := &frozen{}
	address, stop := serve(t, func(s *peer.Server) error { return exchangepb.DRPCRegisterExchange(s.Mux(), peerLegs) })
	defer stop()
	c := NewClient(t.Context(), peer.NewPool(nil), "self", 1, time.Now)
	c.Silence = Silence{Ping: 10 * time.Millisecond, Doubt: 20 * time.Millisecond, Dead: 60 * time.Millisecond}
	ended := make(chan leg.Result, 1)
	c.To(address).Run(leg.Request{Idempotent: true, Deadline: time.Now().Add(time.Minute)}, func(r leg.Result) { ended <- r })
	is.Equal((<-ended).Outcome, result.OutcomeUnknown)
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !c.Doubts(address) {
			t.Fatal("a peer that has not answered is not doubted")
		}
	}
	peerLegs.awake.Store(true)
	for end := time.Now().Add(10 * time.Second); c.Doubts(address); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a peer that answers again is still doubted")
		}
	}
	is.Equal(peerLegs.legs.Load(), int64(1))
}
