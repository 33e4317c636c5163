package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// trackedConn is a server's side of a connection that can be made silent: it
// then swallows what comes in and what goes out, and never closes by itself.
type trackedConn struct {
	net.Conn
	owner     *trackedListener
	silent    atomic.Bool
	overLimit bool // accepted above the connection limit
	closeOnce sync.Once
}

// Read hides everything that arrives while the connection is silent.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends to send while the connection is silent.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close gives the place under the connection limit back.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() { c.owner.remove(c) })
	return c.Conn.Close()
}

// trackedListener knows its open connections.
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

// Accept takes a connection; one above the limit is taken too, to be told so.
func (l *trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &trackedConn{Conn: raw, owner: l, overLimit: l.limit > 0 && len(l.conns) >= l.limit}
	l.conns[c] = true
	l.peak = max(l.peak, len(l.conns))
	return c, nil
}

func (l *trackedListener) remove(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// each calls f on every open connection.
func (l *trackedListener) each(f func(*trackedConn)) {
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

// withConn gives a request's context its connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *trackedConn {
	c, _ := ctx.Value(connKey{}).(*trackedConn)
	return c
}
