// Package connlimit bounds callers' connections by limits that change while a
// server runs: net/http reads its own time-outs once.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound one connection; zero values leave the server's own bound.
type Limits struct {
	// HeaderTimeout is how long the head of a request may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may rest between two requests.
	IdleTimeout time.Duration
}

// NewListener wraps the connections of a listener; limits is asked for each bound.
func NewListener(listener net.Listener, limits func() Limits) net.Listener {
	return limited{Listener: listener, limits: limits}
}

type limited struct {
	net.Listener
	limits func() Limits
}

// Accept implements net.Listener.
func (l limited) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.limits}, nil
}

// ConnState is the server's ConnState: it tells a connection when it rests.
func ConnState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*conn); ok {
		c.note(state)
	}
}

// phase is what the server waits for when it next sets a read deadline.
type phase uint8

const (
	awaitsHeader phase = iota
	rests              // for the first byte of another request
	serves
)

// conn shortens the read deadlines that the server sets.
//
// Load: callers that open connections and send their requests a byte at a time,
// or never. Harm prevented: each holds a descriptor of the few thousand that a
// small host has. The limits are the operator's. The server sets a deadline for
// the rest, clears it with the first byte, and then sets one for the header.
type conn struct {
	net.Conn
	limits func() Limits

	mu    sync.Mutex
	phase phase
}

func (c *conn) note(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.phase = rests
	case http.StateActive:
		c.phase = serves
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.Conn.SetReadDeadline(c.shorten(t))
}

func (c *conn) shorten(t time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() {
		if c.phase == rests {
			c.phase = awaitsHeader
		}
		return t
	}
	limits := c.limits()
	var within time.Duration
	switch c.phase {
	case awaitsHeader:
		within = limits.HeaderTimeout
	case rests:
		within = limits.IdleTimeout
	}
	if end := time.Now().Add(within + tolerance); within > 0 && end.Before(t) {
		return end
	}
	return t
}

// tolerance is for a busy host that reads late what has come in time.
const tolerance = 100 * time.Millisecond
