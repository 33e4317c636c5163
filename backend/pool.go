package backend

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errNoConnection: the pool's share of the server's connection limit is used up.
var errNoConnection = errors.New("backend: connection limit reached")

// conn is one HTTP/1.1 connection; it carries one call at a time.
type conn struct {
	http      *http.ClientConn
	wire      *wireConn
	idleSince time.Time
	keepFor   time.Duration // the server's word on idle connections; 0: none
}

// stale reports whether the connection was idle for longer than a call of that
// freshness may find it, or than the server keeps it.
//
// Failure: a server closes an idle connection while a call is on its way; the
// call ends as unknown though it never ran. The guard holds because the last
// part of the time that the server states is left unused.
func (c *conn) stale(now time.Time, fresh time.Duration) bool {
	if c.keepFor > 0 {
		fresh = min(fresh, c.keepFor-keepReserve)
	}
	return now.Sub(c.idleSince) > fresh
}

// keepReserve is the part of a stated idle time that is left unused: a round
// trip between regions and the lateness of a busy host's timers.
const keepReserve = 400 * time.Millisecond

// drop closes the connection at once and reports how many writes it began.
func (c *conn) drop() uint64 {
	writes := c.wire.stop()
	_ = c.http.Close()
	return writes
}

// pool holds the connections to one backend server.
type pool struct {
	mu      sync.Mutex
	open    int     // idle, busy and being dialled
	idle    []*conn // the one used last is at the end
	retired bool    // out of the client's map: its places count no more
}

// errRetired: the pool was emptied and removed; there is or will be another.
var errRetired = errors.New("backend: pool is retired")

// take returns the idle connection that was used last, if that was less than
// fresh ago, or reserves a place to dial one (nil, nil).
func (p *pool) take(now time.Time, fresh time.Duration, limit int) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return nil, errRetired
	}
	if c := p.lastIdle(now, fresh); c != nil {
		return c, nil
	}
	if p.open >= limit && len(p.idle) > 0 {
		p.dropIdle(1) // too old for this call: its place is worth more
	}
	if p.open >= limit {
		return nil, errNoConnection
	}
	p.open++
	return nil, nil
}

// lastIdle takes the connection used last off the idle ones; the lock is held.
func (p *pool) lastIdle(now time.Time, fresh time.Duration) *conn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		alive := c.http.Err() == nil
		if alive && c.stale(now, fresh) {
			return nil // the others are older still
		}
		p.idle = p.idle[:last]
		if alive {
			return c
		}
		p.open--
		c.drop()
	}
	return nil
}

// dropIdle drops the n connections that were idle for longest; the lock is held.
func (p *pool) dropIdle(n int) {
	for _, c := range p.idle[:n] {
		c.drop()
	}
	p.open -= n
	p.idle = append(p.idle[:0], p.idle[n:]...)
}

// expire drops connections that were idle for longer than maxIdle. It retires
// the pool and reports true if nothing is left in it.
//
// Failure: a host that is no longer the home of a server keeps the idle
// connections of its busy time, and the new home meets the server's connection
// limit while nobody uses them. The guard holds because expiry needs no call:
// a timer of the Client comes by.
func (p *pool) expire(now time.Time, maxIdle time.Duration) (empty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := 0
	for expired < len(p.idle) && now.Sub(p.idle[expired].idleSince) > maxIdle {
		expired++
	}
	p.dropIdle(expired)
	p.retired = p.open == 0
	return p.retired
}

// trim drops idle connections until at most keep are open.
func (p *pool) trim(keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(min(len(p.idle), max(0, p.open-keep)))
}

// put gives a healthy connection back.
func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = now
	p.idle = append(p.idle, c)
}

// forget gives back the place of a connection that is closed or was not made.
func (p *pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// size returns the open connections.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// dial opens one connection outside of any pool.
func dial(ctx context.Context, transport *http.Transport, scheme, address string) (*conn, error) {
	var wire *wireConn
	ctx = context.WithValue(ctx, wireConnKey{}, &wire)
	client, err := transport.NewClientConn(ctx, scheme, address)
	if err != nil {
		return nil, err
	}
	return &conn{http: client, wire: wire}, nil
}
