package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/internal/keepalive"
)

var errStopped = errors.New("backend: connection was dropped")

// wireConn is a TCP connection that knows whether a write was begun on it and
// when bytes last came in.
type wireConn struct {
	net.Conn

	mu      sync.Mutex
	stopped bool
	writes  uint64

	lastReadNs atomic.Int64
}

// Write counts the write before its first byte can leave, so that an unchanged
// count proves that nothing was sent.
func (c *wireConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return 0, errStopped
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read notes the time of each arrival, for the bound on silence.
func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReadNs.Store(time.Now().UnixNano())
	}
	return n, err
}

// mark returns the count of writes, to compare with stop's.
func (c *wireConn) mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// stop closes the connection and returns the final count of writes. A long body
// is written by a goroutine of its own, which may still be about to write when
// the call has failed already: without the stop, "nothing was sent" could turn
// false a moment after it was said.
func (c *wireConn) stop() uint64 {
	c.mu.Lock()
	c.stopped = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return writes
}

// sinceRead is the time since bytes last came in.
func (c *wireConn) sinceRead(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastReadNs.Load()))
}

// dialWire opens a TCP connection.
func dialWire(ctx context.Context, address string) (*wireConn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepalive.Config}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &wireConn{Conn: raw}
	c.lastReadNs.Store(time.Now().UnixNano())
	return c, nil
}
