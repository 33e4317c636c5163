package backend

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var errConnectionLimit = errors.New("backend: connection limit reached")

// pool holds the connections to one backend server.
type pool struct {
	mu      sync.Mutex
	open    int     // idle, busy and being dialed
	idle    []*conn // most recently used last
	removed bool    // no longer in the client's map
}

// errPoolRemoved means that the caller must look the pool up again.
var errPoolRemoved = errors.New("backend: pool was removed")

// get returns the most recently used idle connection that was idle for maxIdle at
// most and has carried no call with the key. Without one it reserves a slot to dial
// and returns nil.
func (p *pool) get(now time.Time, maxIdle time.Duration, limit int, key uint64) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		return nil, errPoolRemoved
	}
	if c := p.newestIdle(now, maxIdle, key); c != nil {
		return c, nil
	}
	if p.open >= limit && len(p.idle) > 0 {
		p.closeOldestIdle(1) // none can be used for this call; free a slot
	}
	if p.open >= limit {
		return nil, errConnectionLimit
	}
	p.open++
	return nil, nil
}

// newestIdle removes and returns the most recently used idle connection that is
// alive and has carried no call with the key. p.mu must be held.
func (p *pool) newestIdle(now time.Time, maxIdle time.Duration, key uint64) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.carried.has(key) {
			continue
		}
		alive := c.alive()
		if alive && c.idleTooLong(now, maxIdle) {
			return nil // the others have been idle for longer
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if alive {
			return c
		}
		p.open--
		c.abort()
	}
	return nil
}

// closeOldestIdle closes the n connections that were idle longest. p.mu must be held.
func (p *pool) closeOldestIdle(n int) {
	for _, c := range p.idle[:n] {
		c.abort()
	}
	p.open -= n
	p.idle = append(p.idle[:0], p.idle[n:]...)
}

// closeExpired closes connections that were idle for longer than maxIdle. If none
// are left open it marks the pool as removed and returns true. Without it, a host
// that is no longer a server's home would keep connections that the new home
// needs under the server's connection limit.
func (p *pool) closeExpired(now time.Time, maxIdle time.Duration) (empty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := 0
	for expired < len(p.idle) && now.Sub(p.idle[expired].idleSince) > maxIdle {
		expired++
	}
	p.closeOldestIdle(expired)
	p.removed = p.open == 0
	return p.removed
}

// trim closes idle connections until at most keep connections are open.
func (p *pool) trim(keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOldestIdle(min(len(p.idle), max(0, p.open-keep)))
}

// put returns a reusable connection to the pool.
func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = now
	p.idle = append(p.idle, c)
}

// releaseSlot frees the slot of a connection that was closed or not opened.
func (p *pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// openCount returns the number of open connections.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
