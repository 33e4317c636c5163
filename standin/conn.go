package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// trackedConn is the server's end of a connection. Once blackholed it discards all
// data in both directions and never closes by itself.
type trackedConn struct {
	net.Conn
	listener   *trackedListener
	blackholed atomic.Bool
	overLimit  bool // accepted above the connection limit
	closeOnce  sync.Once
}

// Read discards all data while the connection is blackholed.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Write reports success without sending while the connection is blackholed.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and frees its slot under the connection limit.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() { c.listener.remove(c) })
	return c.Conn.Close()
}

// trackedListener tracks its open connections.
type trackedListener struct {
	net.Listener
	limit int // 0: none

	mu    sync.Mutex
	conns map[*trackedConn]bool
	peak  int
}

func newTrackedListener(inner net.Listener, limit int) *trackedListener {
	return &trackedListener{Listener: inner, limit: limit, conns: make(map[*trackedConn]bool)}
}

// Accept also accepts connections above the limit, so that their requests get a
// refusal.
func (l *trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &trackedConn{Conn: raw, listener: l, overLimit: l.limit > 0 && len(l.conns) >= l.limit}
	l.conns[c] = true
	l.peak = max(l.peak, len(l.conns))
	return c, nil
}

func (l *trackedListener) remove(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// forEach calls f for each open connection.
func (l *trackedListener) forEach(f func(*trackedConn)) {
	l.mu.Lock()
	conns := make([]*trackedConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

func (l *trackedListener) counts() (open, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.peak
}

type connKey struct{}

// contextWithConn returns a context that carries the connection.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connFromContext(ctx context.Context) *trackedConn {
	c, _ := ctx.Value(connKey{}).(*trackedConn)
	return c
}
