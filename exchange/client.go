package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// redialInterval is the least time between attempts to connect to a peer, so that an
// unreachable peer costs one dial per interval instead of one per leg.
const redialInterval = 100 * time.Millisecond

// Client sends legs to peers. A link opens with the first leg to a peer and closes when
// idle.
type Client struct {
	ctx  context.Context
	pool *peer.Pool
	self *exchangepb.Frame // hello frame
	now  func() time.Time
	// Liveness of the links; set it before the first leg.
	Liveness LivenessTimeouts
	// OnUnresponsive is called with services of which no server answers a peer that owes
	// replies; set it before the first leg. It must not block.
	OnUnresponsive func(service string)

	mu    sync.Mutex
	peers map[string]*peerRunner // by peer address
}

// NewClient returns a client whose links last until ctx ends.
func NewClient(ctx context.Context, pool *peer.Pool, self ident.HostID, incarnation ident.Incarnation, now func() time.Time) *Client {
	return &Client{
		ctx:  ctx,
		pool: pool,
		self: hello(self, incarnation),
		now:  now,

		Liveness:       defaultLiveness,
		OnUnresponsive: func(string) {},

		peers: make(map[string]*peerRunner),
	}
}

// To returns the runner of legs at the peer with the address, IP and port.
func (c *Client) To(address string) leg.Runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.peers[address]
	if r == nil {
		r = &peerRunner{client: c, address: address}
		c.peers[address] = r
	}
	return r
}

// Suspects reports whether the peer owes replies and is silent, or can't be reached. A peer
// whose link broke with open legs stays suspected until it answers on a new link, which is
// opened in the background. Otherwise each new dial to a host that lost power would hold up
// legs until membership notices.
func (c *Client) Suspects(address string) bool {
	c.mu.Lock()
	r := c.peers[address]
	c.mu.Unlock()
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil {
		return r.link.suspected()
	}
	now := c.now()
	if r.dialing {
		return r.suspect || now.Sub(r.dialStart) >= c.Liveness.SuspectAfter
	}
	if r.suspect && now.Sub(r.failedAt) >= redialInterval {
		r.startDial(now)
	}
	return r.suspect
}

// peerRunner is one peer: its open link, or the legs that wait for the link to open.
type peerRunner struct {
	client  *Client
	address string

	mu        sync.Mutex
	link      *link
	dialing   bool
	dialStart time.Time // start of the current dial
	failedAt  time.Time // last failed dial, or end of a link with open legs
	suspect   bool      // no frame since the last failure
	waiting   []*waitingLeg
}

type waitingLeg struct {
	request leg.Request
	done    func(leg.Result)

	mu      sync.Mutex
	aborted bool
	cancel  func() // set once the leg is on a link
}

// Run implements leg.Runner.
func (r *peerRunner) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	r.mu.Lock()
	if r.link != nil {
		l := r.link
		if id, ok := l.add(request, done); ok {
			r.mu.Unlock()
			return func() { l.cancelLeg(id) }
		}
		r.link = nil
	}
	if r.client.now().Sub(r.failedAt) < redialInterval {
		r.mu.Unlock()
		done(leg.Failed(request, result.HomeUnavailable, result.OutcomeUnsent, "the home can't be reached"))
		return func() {}
	}
	w := &waitingLeg{request: request, done: done}
	r.waiting = append(r.waiting, w)
	if !r.dialing {
		r.startDial(r.client.now())
	}
	r.mu.Unlock()
	return w.cancelLeg
}

// startDial opens a link in the background; the lock is held.
func (r *peerRunner) startDial(now time.Time) {
	r.dialing, r.dialStart = true, now
	go r.open()
}

func (w *waitingLeg) cancelLeg() {
	w.mu.Lock()
	cancel := w.cancel
	firstTime := !w.aborted
	w.aborted = true
	w.mu.Unlock()
	switch {
	case cancel != nil:
		cancel()
	case firstTime:
		w.done(leg.Failed(w.request, result.Cancelled, result.OutcomeUnsent, "cancelled"))
	}
}

func (r *peerRunner) open() {
	l, ctx, err := r.dial()
	r.mu.Lock()
	waiting := r.waiting
	r.waiting = nil
	r.dialing = false
	if err != nil {
		r.failedAt, r.suspect = r.client.now(), true
	} else {
		r.link = l
		if r.suspect {
			l.verify()
		}
	}
	r.mu.Unlock()
	for _, w := range waiting {
		w.assign(l)
	}
	if err == nil {
		r.serve(ctx, l)
	}
}

// assign puts a leg that waited for the dial on the link, or ends it.
func (w *waitingLeg) assign(l *link) {
	if w.putOn(l) {
		return
	}
	w.done(leg.Failed(w.request, result.HomeUnavailable, result.OutcomeUnsent, "the home can't be reached"))
}

// putOn reports whether the leg needs no further result: it is on the link, or was cancelled.
func (w *waitingLeg) putOn(l *link) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.aborted {
		return true
	}
	if l != nil {
		if id, ok := l.add(w.request, w.done); ok {
			w.cancel = func() { l.cancelLeg(id) }
			return true
		}
	}
	w.aborted = true
	return false
}

func (r *peerRunner) dial() (*link, context.Context, error) {
	dialCtx, cancelDial := context.WithTimeout(r.client.ctx, r.client.Liveness.DropAfter)
	defer cancelDial()
	conn, err := r.client.pool.Dial(dialCtx, r.address)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(r.client.ctx)
	stream, err := exchangepb.NewDRPCExchangeClient(conn).Legs(ctx)
	if err == nil {
		err = stream.Send(r.client.self)
	}
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, nil, err
	}
	return newLink(conn, stream, cancel, r.client), ctx, nil
}

// serve runs the link's goroutines and cleans up when the first one ends.
func (r *peerRunner) serve(ctx context.Context, l *link) {
	go l.write(ctx)
	go l.watch(ctx)
	go l.read()
	<-ctx.Done()
	broken := l.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == l {
		r.link = nil
	}
	r.suspect = broken
	if broken {
		r.failedAt = r.client.now()
	}
}
