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

var errAborted = errors.New("backend: connection was aborted")

// tcpConn is a TCP connection that counts writes and records the time of the last
// read.
type tcpConn struct {
	net.Conn

	mu      sync.Mutex
	aborted bool
	writes  uint64

	lastReadNs atomic.Int64
}

// Write counts the write before it sends anything, so that an unchanged count
// proves that nothing was sent.
func (c *tcpConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
		c.mu.Unlock()
		return 0, errAborted
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read records the time at which data arrived.
func (c *tcpConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReadNs.Store(time.Now().UnixNano())
	}
	return n, err
}

// writeCount returns the number of writes so far.
func (c *tcpConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// abort closes the connection and returns the final number of writes. It also
// prevents a later write by the goroutine that sends a long body, so that an
// attempt that was reported as unsent stays unsent.
func (c *tcpConn) abort() uint64 {
	c.mu.Lock()
	c.aborted = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return writes
}

// sinceLastRead returns the time since data last arrived.
func (c *tcpConn) sinceLastRead(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastReadNs.Load()))
}

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, address string) (*tcpConn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepalive.Config}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &tcpConn{Conn: conn}
	c.lastReadNs.Store(time.Now().UnixNano())
	return c, nil
}
