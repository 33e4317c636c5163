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

// LivenessTimeouts are the times without a frame on a link with open legs.
type LivenessTimeouts struct {
	// PingAfter is when the peer is pinged.
	PingAfter time.Duration
	// SuspectAfter is when Client.Suspects reports the peer.
	SuspectAfter time.Duration
	// DropAfter is when the link is dropped.
	DropAfter time.Duration
}

// defaultLiveness drops a link after four lost pings, within the deadline of most queries, so
// that their legs can fail over to another home.
var defaultLiveness = LivenessTimeouts{PingAfter: 200 * time.Millisecond, SuspectAfter: 500 * time.Millisecond, DropAfter: time.Second}

// idleTimeout is how long a stream stays open without legs.
const idleTimeout = time.Minute

// link is an open stream to a peer, on the side that sends legs.
type link struct {
	conn     drpc.Conn
	stream   exchangepb.DRPCExchange_LegsClient
	cancel   context.CancelFunc
	out      *outbox
	now      func() time.Time
	liveness LivenessTimeouts
	// onUnresponsive is called with services of which no server answers the peer.
	onUnresponsive func(service string)

	mu        sync.Mutex
	nextLeg   uint64
	pending   map[uint64]*pendingLeg
	heads     heads
	lastFrame time.Time // last frame from the peer
	lastUsed  time.Time // last leg added
	verifying bool      // the peer was suspected and has sent nothing on this link
	closed    bool
}

type pendingLeg struct {
	request leg.Request
	done    func(leg.Result)
	sent    bool // taken by the writer; may have reached the peer
}

func newLink(conn drpc.Conn, stream exchangepb.DRPCExchange_LegsClient, cancel context.CancelFunc, c *Client) *link {
	now := c.now
	return &link{
		conn:           conn,
		stream:         stream,
		cancel:         cancel,
		out:            newOutbox(),
		now:            now,
		liveness:       c.Liveness,
		onUnresponsive: c.OnUnresponsive,
		pending:        make(map[uint64]*pendingLeg),
		heads:          heads{open: make(map[*forward.Request]*sharedHead)},
		lastFrame:      now(),
		lastUsed:       now(),
	}
}

// add queues a leg; false if the link has closed and the leg was not taken.
func (l *link) add(request leg.Request, done func(leg.Result)) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, false
	}
	if len(l.pending) == 0 {
		// Silence counts only while legs are open.
		l.lastFrame = l.now()
	}
	l.nextLeg++
	id := l.nextLeg
	l.pending[id] = &pendingLeg{request: request, done: done}
	l.lastUsed = l.now()
	if !l.out.put(item{request: l.encode(id, request)}) {
		l.remove(id)
		return 0, false
	}
	return id, true
}

// encode builds the leg's message and queues the leg's head if it was not sent yet; the lock is
// held.
func (l *link) encode(id uint64, request leg.Request) *exchangepb.LegRequest {
	if request.Forward == nil {
		return encodeRequest(id, request, l.now())
	}
	head, first := l.heads.acquire(request.Forward)
	if first {
		l.out.put(item{head: encodeHead(head, request, l.now())})
	}
	if request.DirectServer == "" {
		return encodeShared(id, head, request)
	}
	return encodeDirect(id, head, request, l.now())
}

// remove deletes a leg, and its head if no other leg uses it; the lock is held.
func (l *link) remove(id uint64) *pendingLeg {
	p := l.pending[id]
	delete(l.pending, id)
	if p == nil || p.request.Forward == nil {
		return p
	}
	if head, last := l.heads.release(p.request.Forward); last {
		l.out.put(item{endedHead: head})
	}
	return p
}

// cancelLeg cancels a leg; its done function is called at once.
func (l *link) cancelLeg(id uint64) {
	l.mu.Lock()
	if l.pending[id] != nil {
		l.out.put(item{cancel: &exchangepb.LegCancel{Leg: id}})
	}
	p := l.remove(id)
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

// markSent marks legs before their frame is written, since a partly written frame may already
// have reached the peer.
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

// read handles frames until the stream breaks.
func (l *link) read() {
	defer l.cancel()
	for {
		frame, err := l.stream.Recv()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.lastFrame, l.verifying = l.now(), false
		l.mu.Unlock()
		if frame.GetPing() != 0 {
			l.out.put(item{pong: frame.GetPing()})
		}
		for _, reply := range frame.GetReplies() {
			l.deliver(reply)
		}
		for _, service := range frame.GetSilent() {
			l.onUnresponsive(service)
		}
	}
}

func (l *link) deliver(reply *exchangepb.LegReply) {
	l.mu.Lock()
	p := l.remove(reply.GetLeg())
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

// watch drops the stream if legs are open and the peer is silent. Writes can keep succeeding on
// a lost connection, while a live peer answers pings at once, however slow its backend servers
// are.
func (l *link) watch(ctx context.Context) {
	ticker := time.NewTicker(l.liveness.PingAfter)
	defer ticker.Stop()
	sequence := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		silentFor, unusedFor, open := l.idleTimes()
		if open && silentFor >= l.liveness.DropAfter || !open && unusedFor >= idleTimeout {
			l.cancel()
			return
		}
		if open && silentFor >= l.liveness.PingAfter {
			sequence++
			l.out.put(item{ping: sequence})
		}
	}
}

// suspected reports whether new legs should avoid the peer: legs are open and it has been silent
// for SuspectAfter, or it has yet to send its first frame after a failure.
func (l *link) suspected() bool {
	l.mu.Lock()
	verifying := l.verifying
	l.mu.Unlock()
	silentFor, _, open := l.idleTimes()
	return verifying || open && silentFor >= l.liveness.SuspectAfter
}

// verifyPing is the sequence number of the ping that verify sends.
const verifyPing = 1 << 63

// verify pings the peer and keeps the link suspected until the peer sends a frame.
func (l *link) verify() {
	l.mu.Lock()
	l.verifying = true
	l.mu.Unlock()
	l.out.put(item{ping: verifyPing})
}

func (l *link) idleTimes() (silentFor, unusedFor time.Duration, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	return now.Sub(l.lastFrame), now.Sub(l.lastUsed), len(l.pending) > 0
}

// close ends all open legs: those that were never sent as unsent, the others as unknown. broken
// reports that there were some, or that the peer never answered.
func (l *link) close() (broken bool) {
	l.mu.Lock()
	l.closed = true
	broken = len(l.pending) > 0 || l.verifying
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
