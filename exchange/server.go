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

// Server receives legs from peers and runs them on this host.
type Server struct {
	runner leg.Runner
	now    func() time.Time
	// Forecast predicts how a leg would fare at a home on this host; set it before the first stream.
	// It is sent with each reply to a search's leg.
	Forecast func(service, class string) leg.Forecast
	// PreferredServer returns the server that the service's home on this host prefers to the reserved
	// one; empty if none. Set it before the first stream.
	PreferredServer func(service, class, reserved string) string
}

// NewServer returns the receiving side of the exchange.
func NewServer(runner leg.Runner, now func() time.Time) *Server {
	return &Server{runner: runner, now: now, Forecast: func(string, string) leg.Forecast { return leg.Forecast{} }, PreferredServer: func(string, string, string) string { return "" }}
}

// Register adds the exchange to the services for peers.
func (s *Server) Register(mux drpc.Mux) error {
	return exchangepb.DRPCRegisterExchange(mux, s)
}

// inbound is one stream from a peer.
type inbound struct {
	server *Server
	out    *outbox

	heads map[uint32]*inboundHead // used by the reader only

	mu   sync.Mutex
	legs map[uint64]*inboundLeg // by the sender's leg number
}

// inboundHead is what several legs have in common.
type inboundHead struct {
	forward *forward.Request
	// template is copied for each leg to a home, and batcher holds the replies to these legs; unused
	// for direct legs.
	template leg.Request
	batcher  *replyBatcher
}

type inboundLeg struct {
	cancel  func()
	batcher *replyBatcher // nil: the reply is sent at once
}

// Legs serves one stream until it breaks. It then cancels the stream's legs, since their replies
// can't be delivered.
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
		in.handle(frame)
	}
}

func (in *inbound) handle(frame *exchangepb.Frame) {
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

// newHead decodes a head.
func (in *inbound) newHead(m *exchangepb.Head) *inboundHead {
	now := in.server.now()
	head := &inboundHead{forward: decodeHead(m)}
	if m.GetShare() == nil {
		return head
	}
	head.template = decodeShare(m.GetShare(), head.forward, now)
	unresponsive := func(service string) bool { return in.server.Forecast(service, head.template.Class).Unresponsive }
	head.batcher = newReplyBatcher(in.out.putAll, unresponsive, in.server.now, head.template.SoftDeadline)
	return head
}

func (in *inbound) endHead(id uint32) {
	if head := in.heads[id]; head != nil && head.batcher != nil {
		head.batcher.close()
	}
	delete(in.heads, id)
}

func (in *inbound) run(m *exchangepb.LegRequest) {
	id := m.GetLeg()
	request, batcher := in.decode(m)
	in.mu.Lock()
	in.legs[id] = &inboundLeg{batcher: batcher}
	in.mu.Unlock()
	if batcher != nil {
		batcher.begin(id, request.Service)
	}
	cancel := in.server.runner.Run(request, func(r leg.Result) {
		in.mu.Lock()
		delete(in.legs, id)
		in.mu.Unlock()
		if batcher != nil {
			forecast := in.server.Forecast(request.Service, request.Class)
			forecast.PreferredServer = in.server.PreferredServer(request.Service, request.Class, request.ReservedServer)
			batcher.end(id, item{reply: encodeSharedReply(id, r, forecast)})
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

// decode returns the leg and the batcher of its reply; nil if the reply is sent at once.
func (in *inbound) decode(m *exchangepb.LegRequest) (leg.Request, *replyBatcher) {
	now := in.server.now()
	if m.GetHead() == 0 {
		return decodeRequest(m, now), nil
	}
	head := in.heads[m.GetHead()]
	if head == nil {
		head = &inboundHead{} // the runner refuses a leg without a head
	}
	if m.GetServer() != "" {
		return decodeDirect(m, head.forward, now), nil
	}
	request := head.template
	request.Service, request.Shard = m.GetService(), snapshot.ShardID(m.GetShard())
	request.Body, request.FullAnswer, request.Optional = m.GetBody(), m.GetRest(), m.GetOptional()
	request.ReservedServer = m.GetReserved()
	return request, head.batcher
}

func encodeReply(id uint64, r leg.Result) *exchangepb.LegReply {
	if r.Attempt != nil {
		return encodeAttempt(id, r)
	}
	return encodeResult(id, r)
}

// cancel drops a leg that its sender has cancelled; it gets no reply.
func (in *inbound) cancel(id uint64) {
	in.mu.Lock()
	l := in.legs[id]
	in.mu.Unlock()
	if l == nil {
		return
	}
	if l.batcher != nil {
		l.batcher.drop(id)
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
