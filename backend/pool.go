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
}

// drop closes the connection at once and reports how many writes it began.
func (c *conn) drop() uint64 {
	writes := c.wire.stop()
	_ = c.http.Close()
	return writes
}

// pool holds the connections to one backend server, never more than limit.
type pool struct {
	mu    sync.Mutex
	open  int     // idle, busy and being dialled
	idle  []*conn // the one used last is at the end
	limit int
}

// take returns the idle connection that was used last and less than maxIdle
// ago, or reserves the right to dial one (nil, nil).
func (p *pool) take(now time.Time, maxIdle time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now, maxIdle)
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if c.http.Err() == nil {
			return c, nil
		}
		p.open--
		c.drop()
	}
	if p.open >= p.limit {
		return nil, errNoConnection
	}
	p.open++
	return nil, nil
}

// expire drops connections that were idle for too long. They sit at the front.
func (p *pool) expire(now time.Time, maxIdle time.Duration) {
	expired := 0
	for expired < len(p.idle) && now.Sub(p.idle[expired].idleSince) > maxIdle {
		p.idle[expired].drop()
		expired++
	}
	p.open -= expired
	p.idle = append(p.idle[:0], p.idle[expired:]...)
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

// closeIdle drops every idle connection.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.drop()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// counts returns the open and the idle connections.
func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
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
