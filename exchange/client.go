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

// redialAfter bounds how often a peer that can't be reached is dialled, so that
// a dead host costs one dial each 100 ms and not one for each leg.
const redialAfter = 100 * time.Millisecond

// Client sends legs to peers. Its links open with the first leg to a peer and
// close when idle.
type Client struct {
	ctx  context.Context
	pool *peer.Pool
	self *exchangepb.Frame // hello
	now  func() time.Time
	// Silence of its links; set it before the first leg.
	Silence Silence
	// OnSilent hears of services of which no server answers a peer that owes replies;
	// set it before the first leg. It must not block.
	OnSilent func(service string)

	mu    sync.Mutex
	peers map[string]*remote // by peers' address
}

// NewClient makes a client whose links live until ctx ends.
func NewClient(ctx context.Context, pool *peer.Pool, self ident.HostID, incarnation ident.Incarnation, now func() time.Time) *Client {
	return &Client{
		ctx:  ctx,
		pool: pool,
		self: hello(self, incarnation),
		now:  now,

		Silence:  defaultSilence,
		OnSilent: func(string) {},

		peers: make(map[string]*remote),
	}
}

// To returns the runner of legs at the peer with the address, IP and port.
func (c *Client) To(address string) leg.Runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.peers[address]
	if r == nil {
		r = &remote{client: c, address: address}
		c.peers[address] = r
	}
	return r
}

// Doubts reports whether the peer owes replies and is silent, or can't be reached. A
// peer whose link broke with legs on it is doubted until it has answered on a new one,
// which is opened meanwhile.
//
// Failure: a host loses power. Its link is dropped after Dead, the next leg dials, and
// connecting waits for as long as nobody answers. It shows as searches that lack the
// host's part for seconds, until membership has noticed. The guard holds because no leg
// goes to a host that was silent before it has sent a frame.
func (c *Client) Doubts(address string) bool {
	c.mu.Lock()
	r := c.peers[address]
	c.mu.Unlock()
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil {
		return r.link.doubtful()
	}
	now := c.now()
	if r.dialing {
		return r.suspect || now.Sub(r.dialed) >= c.Silence.Doubt
	}
	if r.suspect && now.Sub(r.failed) >= redialAfter {
		r.startDial(now)
	}
	return r.suspect
}

// remote is one peer: its open link, or the legs that wait for it to open.
type remote struct {
	client  *Client
	address string

	mu      sync.Mutex
	link    *link
	dialing bool
	dialed  time.Time // when the dial under way began
	failed  time.Time // last failed dial, or end of a link with legs on it
	suspect bool      // since then the peer has not answered
	waiting []*waitingLeg
}

type waitingLeg struct {
	request leg.Request
	done    func(leg.Result)

	mu      sync.Mutex
	dropped bool
	cancel  func() // set once the leg is on a link
}

// Run implements leg.Runner.
func (r *remote) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	r.mu.Lock()
	if r.link != nil {
		l := r.link
		if id, ok := l.add(request, done); ok {
			r.mu.Unlock()
			return func() { l.drop(id) }
		}
		r.link = nil
	}
	if r.client.now().Sub(r.failed) < redialAfter {
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
	return w.drop
}

// startDial opens a link in the background; the lock is held.
func (r *remote) startDial(now time.Time) {
	r.dialing, r.dialed = true, now
	go r.open()
}

func (w *waitingLeg) drop() {
	w.mu.Lock()
	cancel := w.cancel
	first := !w.dropped
	w.dropped = true
	w.mu.Unlock()
	switch {
	case cancel != nil:
		cancel()
	case first:
		w.done(leg.Failed(w.request, result.Cancelled, result.OutcomeUnsent, "cancelled"))
	}
}

func (r *remote) open() {
	l, ctx, err := r.dial()
	r.mu.Lock()
	waiting := r.waiting
	r.waiting = nil
	r.dialing = false
	if err != nil {
		r.failed, r.suspect = r.client.now(), true
	} else {
		r.link = l
		if r.suspect {
			l.prove()
		}
	}
	r.mu.Unlock()
	for _, w := range waiting {
		w.place(l)
	}
	if err == nil {
		r.serve(ctx, l)
	}
}

// place puts a leg that waited for the dial on the link, or ends it.
func (w *waitingLeg) place(l *link) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped {
		return
	}
	if l != nil {
		if id, ok := l.add(w.request, w.done); ok {
			w.cancel = func() { l.drop(id) }
			return
		}
	}
	w.dropped = true
	w.done(leg.Failed(w.request, result.HomeUnavailable, result.OutcomeUnsent, "the home can't be reached"))
}

func (r *remote) dial() (*link, context.Context, error) {
	dialing, done := context.WithTimeout(r.client.ctx, r.client.Silence.Dead)
	defer done()
	conn, err := r.client.pool.Dial(dialing, r.address)
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
func (r *remote) serve(ctx context.Context, l *link) {
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
		r.failed = r.client.now()
	}
}
