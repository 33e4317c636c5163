package exchange

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Silence says what a link without frames means while legs are open on it.
type Silence struct {
	// Ping is how long it may last before the peer is pinged.
	Ping time.Duration
	// Doubt is how long it may last before Client.Doubts says so, for callers
	// that have another way.
	Doubt time.Duration
	// Dead is how long it may last before the link is dropped.
	Dead time.Duration
}

// defaultSilence drops a link after four pings lost, and still inside the
// deadline of most queries, so that their legs can move to the second home.
var defaultSilence = Silence{Ping: 200 * time.Millisecond, Doubt: 500 * time.Millisecond, Dead: time.Second}

// idleAfter closes streams that carried no leg for this long.
const idleAfter = time.Minute

// link is one open stream to a peer, as the side that sends legs.
type link struct {
	conn   drpc.Conn
	stream exchangepb.DRPCExchange_LegsClient
	cancel context.CancelFunc
	out    *outbox
	now    func() time.Time
	limits Silence
	// onSilent hears of services of which no server answers the peer.
	onSilent func(service string)

	mu      sync.Mutex
	nextLeg uint64
	pending map[uint64]*pendingLeg
	heads   heads
	heard   time.Time // last frame from the peer
	used    time.Time // last leg added
	proving bool      // the peer was silent before, and has sent nothing on this link
	closed  bool
}

type pendingLeg struct {
	request leg.Request
	done    func(leg.Result)
	sent    bool // the writer has taken it: it may have reached the peer
}

func newLink(conn drpc.Conn, stream exchangepb.DRPCExchange_LegsClient, cancel context.CancelFunc, c *Client) *link {
	now := c.now
	return &link{
		conn:     conn,
		stream:   stream,
		cancel:   cancel,
		out:      newOutbox(),
		now:      now,
		limits:   c.Silence,
		onSilent: c.OnSilent,
		pending:  make(map[uint64]*pendingLeg),
		heads:    heads{open: make(map[*forward.Request]*openHead)},
		heard:    now(),
		used:     now(),
	}
}

// add queues a leg; false when the link has closed and the leg was not taken.
func (l *link) add(request leg.Request, done func(leg.Result)) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, false
	}
	if len(l.pending) == 0 {
		// Silence counts only while the peer owes something.
		l.heard = l.now()
	}
	l.nextLeg++
	id := l.nextLeg
	l.pending[id] = &pendingLeg{request: request, done: done}
	l.used = l.now()
	if !l.out.put(item{request: l.encode(id, request)}) {
		l.forget(id)
		return 0, false
	}
	return id, true
}

// encode makes the leg's message, after its head where that was not sent yet;
// the lock is held.
func (l *link) encode(id uint64, request leg.Request) *exchangepb.LegRequest {
	if request.Forward == nil {
		return encodeRequest(id, request, l.now())
	}
	head, first := l.heads.use(request.Forward)
	if first {
		l.out.put(item{head: encodeHead(head, request, l.now())})
	}
	if request.DirectServer == "" {
		return encodeShared(id, head, request)
	}
	return encodeNamed(id, head, request, l.now())
}

// forget takes a leg out, with its head if no other leg has it; the lock is held.
func (l *link) forget(id uint64) *pendingLeg {
	p := l.pending[id]
	delete(l.pending, id)
	if p == nil || p.request.Forward == nil {
		return p
	}
	if head, last := l.heads.release(p.request.Forward); last {
		l.out.put(item{ended: head})
	}
	return p
}

// drop cancels a leg; its done function is called at once.
func (l *link) drop(id uint64) {
	l.mu.Lock()
	if l.pending[id] != nil {
		l.out.put(item{cancel: &exchangepb.LegCancel{Leg: id}})
	}
	p := l.forget(id)
	l.mu.Unlock()
	if p == nil {
		return
	}
	p.done(leg.Failed(p.request, result.Cancelled, sentOutcome(p), "cancelled"))
}

func sentOutcome(p *pendingLeg) result.Outcome {
	if p.sent {
		return result.OutcomeUnknown
	}
	return result.OutcomeUnsent
}

// write sends frames until the stream breaks or ctx ends.
func (l *link) write(ctx context.Context) {
	defer l.cancel()
	l.out.drain(ctx, func(batch []item) error {
		l.markSent(batch)
		return l.stream.Send(frameOf(batch))
	})
}

// markSent marks legs before their frame is written: once any byte may have
// left, a leg is never again called unsent.
func (l *link) markSent(batch []item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, it := range batch {
		if it.request == nil {
			continue
		}
		if p := l.pending[it.request.GetLeg()]; p != nil {
			p.sent = true
		}
	}
}

// read takes replies in until the stream breaks.
func (l *link) read() {
	defer l.cancel()
	for {
		frame, err := l.stream.Recv()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.heard, l.proving = l.now(), false
		l.mu.Unlock()
		if frame.GetPing() != 0 {
			l.out.put(item{pong: frame.GetPing()})
		}
		for _, reply := range frame.GetReplies() {
			l.deliver(reply)
		}
		for _, service := range frame.GetSilent() {
			l.onSilent(service)
		}
	}
}

func (l *link) deliver(reply *exchangepb.LegReply) {
	l.mu.Lock()
	p := l.forget(reply.GetLeg())
	l.mu.Unlock()
	switch {
	case p == nil:
	case reply.GetAttempt() != nil:
		p.done(decodeAttempt(reply, p.request))
	case p.request.Forward != nil:
		p.done(decodeSharedReply(reply, p.request))
	default:
		p.done(decodeResult(reply))
	}
}

// watch drops the stream when the peer owes replies and is silent.
//
// Failure: something between the hosts has lost track of the connection; it
// shows as open legs and no frame, not even a pong, while writes still seem to
// succeed. The guard holds because a live peer answers a ping at once, however
// slow its backend servers are.
func (l *link) watch(ctx context.Context) {
	ticker := time.NewTicker(l.limits.Ping)
	defer ticker.Stop()
	sequence := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		silent, unused, open := l.ages()
		if open && silent >= l.limits.Dead || !open && unused >= idleAfter {
			l.cancel()
			return
		}
		if open && silent >= l.limits.Ping {
			sequence++
			l.out.put(item{ping: sequence})
		}
	}
}

// doubtful reports whether the peer owes replies and has been silent for so long
// that new legs should rather go another way.
func (l *link) doubtful() bool {
	l.mu.Lock()
	proving := l.proving
	l.mu.Unlock()
	silent, _, open := l.ages()
	return proving || open && silent >= l.limits.Doubt
}

// firstPing is the number of the ping on a link that is to be proved.
const firstPing = 1 << 63

// prove makes the link doubtful until the peer has sent a frame, and asks for one.
func (l *link) prove() {
	l.mu.Lock()
	l.proving = true
	l.mu.Unlock()
	l.out.put(item{ping: firstPing})
}

func (l *link) ages() (silent, unused time.Duration, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	return now.Sub(l.heard), now.Sub(l.used), len(l.pending) > 0
}

// close ends every leg that is still open: those never sent surely did not
// run, of the others nothing is known. broken says that there were some, or that the
// peer never answered.
func (l *link) close() (broken bool) {
	l.mu.Lock()
	l.closed = true
	broken = len(l.pending) > 0 || l.proving
	pending := l.pending
	l.pending = make(map[uint64]*pendingLeg)
	l.mu.Unlock()
	l.out.close()
	_ = l.conn.Close()
	for _, p := range pending {
		p.done(leg.Failed(p.request, result.HomeUnavailable, sentOutcome(p), "the link to the home broke"))
	}
	return broken
}
