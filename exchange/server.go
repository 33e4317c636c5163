package exchange

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Server takes legs from peers and runs them at this host's homes.
type Server struct {
	runner leg.Runner
	now    func() time.Time
	// Forecast says how a leg would fare at a home of this host; set it before the
	// first stream. It goes back with each reply to a search's leg.
	Forecast func(service, class string) leg.Forecast
}

// NewServer makes the server's side of the exchange.
func NewServer(runner leg.Runner, now func() time.Time) *Server {
	return &Server{runner: runner, now: now, Forecast: func(string, string) leg.Forecast { return leg.Forecast{} }}
}

// Register adds the exchange to the peers' services.
func (s *Server) Register(mux drpc.Mux) error {
	return exchangepb.DRPCRegisterExchange(mux, s)
}

// inbound is one stream from a peer.
type inbound struct {
	server *Server
	out    *outbox

	heads map[uint32]*inboundHead // owned by the reader

	mu   sync.Mutex
	legs map[uint64]*inboundLeg // by the sender's leg number
}

// inboundHead is what legs have in common.
type inboundHead struct {
	forward *forward.Request
	// shared is the leg that those to homes are copies of, and replies gathers what
	// they are answered; nil for legs to named servers.
	shared  leg.Request
	replies *gather
}

type inboundLeg struct {
	cancel  func()
	replies *gather // nil: the reply goes at once
}

// Legs serves one stream until it breaks. The legs of a broken stream are
// cancelled: their replies could not be delivered.
func (s *Server) Legs(stream exchangepb.DRPCExchange_LegsStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	in := &inbound{server: s, out: newOutbox(), heads: make(map[uint32]*inboundHead), legs: make(map[uint64]*inboundLeg)}
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
		in.heads[head.GetId()] = in.newHead(head)
	}
	for _, request := range frame.GetRequests() {
		in.run(request)
	}
	for _, c := range frame.GetCancels() {
		in.cancel(c.GetLeg())
	}
	for _, id := range frame.GetEndedHeads() {
		in.endHead(id)
	}
}

// newHead takes in what legs that come have in common.
func (in *inbound) newHead(m *exchangepb.Head) *inboundHead {
	now := in.server.now()
	head := &inboundHead{forward: decodeHead(m)}
	if m.GetShare() == nil {
		return head
	}
	head.shared = decodeShare(m.GetShare(), head.forward, now)
	silent := func(service string) bool { return in.server.Forecast(service, head.shared.Class).Unresponsive }
	head.replies = newGather(in.out.putAll, silent, in.server.now, head.shared.SoftDeadline)
	return head
}

func (in *inbound) endHead(id uint32) {
	if head := in.heads[id]; head != nil && head.replies != nil {
		head.replies.close()
	}
	delete(in.heads, id)
}

func (in *inbound) run(m *exchangepb.LegRequest) {
	id := m.GetLeg()
	request, replies := in.decode(m)
	in.mu.Lock()
	in.legs[id] = &inboundLeg{replies: replies}
	in.mu.Unlock()
	if replies != nil {
		replies.begin(id, request.Service)
	}
	cancel := in.server.runner.Run(request, func(r leg.Result) {
		in.mu.Lock()
		delete(in.legs, id)
		in.mu.Unlock()
		if replies != nil {
			forecast := in.server.Forecast(request.Service, request.Class)
			replies.end(id, item{reply: encodeSharedReply(id, r, forecast)})
			return
		}
		in.out.put(item{reply: encodeReply(id, r)})
	})
	in.mu.Lock()
	defer in.mu.Unlock()
	if l := in.legs[id]; l != nil {
		l.cancel = cancel
	}
}

// decode makes the leg and says where its reply is gathered; nil: it goes at once.
func (in *inbound) decode(m *exchangepb.LegRequest) (leg.Request, *gather) {
	now := in.server.now()
	if m.GetHead() == 0 {
		return decodeRequest(m, now), nil
	}
	head := in.heads[m.GetHead()]
	if head == nil {
		head = &inboundHead{} // the leg is then refused for the lack of it
	}
	if m.GetServer() != "" {
		return decodeNamed(m, head.forward, now), nil
	}
	request := head.shared
	request.Service, request.Shard = m.GetService(), snapshot.ShardID(m.GetShard())
	request.Body, request.FullAnswer, request.Optional = m.GetBody(), m.GetRest(), m.GetOptional()
	return request, head.replies
}

func encodeReply(id uint64, r leg.Result) *exchangepb.LegReply {
	if r.Attempt != nil {
		return encodeAttempt(id, r)
	}
	return encodeResult(id, r)
}

// cancel drops a leg whose sender no longer waits: it is owed no reply.
func (in *inbound) cancel(id uint64) {
	in.mu.Lock()
	l := in.legs[id]
	in.mu.Unlock()
	if l == nil {
		return
	}
	if l.replies != nil {
		l.replies.drop(id)
	}
	if l.cancel != nil {
		l.cancel()
	}
}

func (in *inbound) cancelAll() {
	in.out.close()
	in.mu.Lock()
	legs := in.legs
	in.legs = make(map[uint64]*inboundLeg)
	in.mu.Unlock()
	for _, l := range legs {
		if l.cancel != nil {
			l.cancel()
		}
	}
	for id := range in.heads {
		in.endHead(id)
	}
}

func (in *inbound) write(ctx context.Context, cancel context.CancelFunc, stream exchangepb.DRPCExchange_LegsStream) {
	defer cancel()
	in.out.drain(ctx, func(batch []item) error { return stream.Send(frameOf(batch)) })
}
