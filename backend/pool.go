package backend

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errNoConnection: the pool's share of the server's connection limit is used up.
var errNoConnection = errors.New("backend: connection limit reached")

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
		alive := c.alive()
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
