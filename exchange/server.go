package exchange

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/leg"
)

// Server takes legs from peers and runs them at this host's homes.
type Server struct {
	runner leg.Runner
	now    func() time.Time
}

// NewServer makes the server's side of the exchange.
func NewServer(runner leg.Runner, now func() time.Time) *Server {
	return &Server{runner: runner, now: now}
}

// Register adds the exchange to the peers' services.
func (s *Server) Register(mux drpc.Mux) error {
	return exchangepb.DRPCRegisterExchange(mux, s)
}

// inbound is one stream from a peer.
type inbound struct {
	server *Server
	out    *outbox

	heads map[uint32]*forward.Request // owned by the reader

	mu      sync.Mutex
	cancels map[uint64]func() // by the sender's leg number
}

// Legs serves one stream until it breaks. The legs of a broken stream are
// cancelled: their replies could not be delivered.
func (s *Server) Legs(stream exchangepb.DRPCExchange_LegsStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	in := &inbound{server: s, out: newOutbox(), heads: make(map[uint32]*forward.Request), cancels: make(map[uint64]func())}
	defer in.cancelAll()
	go in.write(ctx, cancel, stream)
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		in.take(frame)
	}
}

func (in *inbound) take(frame *exchangepb.Frame) {
	if frame.GetPing() != 0 {
		in.out.put(item{pong: frame.GetPing()})
	}
	for _, head := range frame.GetHeads() {
		in.heads[head.GetId()] = decodeHead(head)
	}
	for _, request := range frame.GetRequests() {
		in.run(request)
	}
	for _, c := range frame.GetCancels() {
		in.cancel(c.GetLeg())
	}
	for _, id := range frame.GetEndedHeads() {
		delete(in.heads, id)
	}
}

func (in *inbound) run(m *exchangepb.LegRequest) {
	id := m.GetLeg()
	ended := false
	cancel := in.server.runner.Run(in.decode(m), func(r leg.Result) {
		in.mu.Lock()
		ended = true
		delete(in.cancels, id)
		in.mu.Unlock()
		in.out.put(item{reply: encodeReply(id, r)})
	})
	in.mu.Lock()
	if !ended {
		in.cancels[id] = cancel
	}
	in.mu.Unlock()
}

func (in *inbound) decode(m *exchangepb.LegRequest) leg.Request {
	if m.GetServer() != "" {
		return decodeNamed(m, in.heads[m.GetHead()], in.server.now())
	}
	return decodeRequest(m, in.server.now())
}

func encodeReply(id uint64, r leg.Result) *exchangepb.LegReply {
	if r.Attempt != nil {
		return encodeAttempt(id, r)
	}
	return encodeResult(id, r)
}

func (in *inbound) cancel(id uint64) {
	in.mu.Lock()
	cancel := in.cancels[id]
	in.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (in *inbound) cancelAll() {
	in.out.close()
	in.mu.Lock()
	cancels := in.cancels
	in.cancels = make(map[uint64]func())
	in.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

func (in *inbound) write(ctx context.Context, cancel context.CancelFunc, stream exchangepb.DRPCExchange_LegsStream) {
	defer cancel()
	in.out.drain(ctx, func(batch []item) error { return stream.Send(frameOf(batch)) })
}
