// Package connlimit applies timeouts to a server's connections that can change
// while the server runs, unlike those of http.Server.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits are the timeouts of a connection. A zero value leaves the server's own.
type Limits struct {
	// HeaderTimeout is the time limit for reading a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is the time limit for waiting for the next request.
	IdleTimeout time.Duration
}

// NewListener wraps a listener so that its connections observe the current limits.
func NewListener(listener net.Listener, limits func() Limits) net.Listener {
	return limitedListener{Listener: listener, limits: limits}
}

type limitedListener struct {
	net.Listener
	limits func() Limits
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: conn, limits: l.limits}, nil
}

// ConnState must be set as the server's ConnState hook. It detects idle connections.
func ConnState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*limitedConn); ok {
		c.setState(state)
	}
}

// phase is what the next read deadline of the server applies to.
type phase uint8

const (
	awaitingHeader phase = iota
	idle                 // until the first byte of the next request
	active
)

// limitedConn shortens the read deadlines that the server sets, so that slow or
// idle callers do not exhaust the file descriptors. The server sets a deadline
// for the idle time, clears it at the first byte and then sets one for the header.
type limitedConn struct {
	net.Conn
	limits func() Limits

	mu    sync.Mutex
	phase phase
}

func (c *limitedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.phase = idle
	case http.StateActive:
		c.phase = active
	}
}

// SetReadDeadline implements net.Conn.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	return c.Conn.SetReadDeadline(c.limitDeadline(t))
}

func (c *limitedConn) limitDeadline(t time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() {
		if c.phase == idle {
			c.phase = awaitingHeader
		}
		return t
	}
	limits := c.limits()
	var timeout time.Duration
	switch c.phase {
	case awaitingHeader:
		timeout = limits.HeaderTimeout
	case idle:
		timeout = limits.IdleTimeout
	}
	if end := time.Now().Add(timeout + readSlack); timeout > 0 && end.Before(t) {
		return end
	}
	return t
}

// readSlack allows for data that arrives in time but is read late.
const readSlack = 100 * time.Millisecond
