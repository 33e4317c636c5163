package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// readIdleWatch detects a half-open connection under a call in flight. If no data
// arrives for the read idle timeout, it asks the server on a new connection
// whether the call still runs, and closes the call's connection if it doesn't or
// if the server doesn't answer. The outcome of the call is then unknown.
type readIdleWatch struct {
	client       *Client
	ctx          context.Context
	server       Server
	connection   *conn
	call         Call
	unresponsive atomic.Bool
	// absentLastReadNs is the time of the last read when the server first answered
	// that it doesn't run the call. Only check uses it.
	absentLastReadNs int64

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchReadIdle starts a watch. A call whose deadline is before the timeout needs
// no timer, as the deadline closes its connection.
func (c *Client) watchReadIdle(ctx context.Context, server Server, connection *conn, call Call) *readIdleWatch {
	w := &readIdleWatch{client: c, ctx: ctx, server: server, connection: connection, call: call}
	if c.options.ReadIdleTimeout > 0 && time.Until(call.Deadline) > c.options.ReadIdleTimeout {
		w.schedule(c.options.ReadIdleTimeout)
	}
	return w
}

func (w *readIdleWatch) schedule(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer = time.AfterFunc(after, w.check)
	}
}

func (w *readIdleWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *readIdleWatch) check() {
	timeout := w.client.options.ReadIdleTimeout
	if idle := w.connection.tcp.sinceLastRead(time.Now()); idle < timeout {
		w.schedule(timeout - idle)
		return
	}
	lastRead := w.connection.tcp.lastReadNs.Load()
	switch {
	case w.serverRunsCall():
		w.absentLastReadNs = 0
		w.schedule(timeout)
	case w.absentLastReadNs != lastRead:
		// The reply may have been sent just before the probe: check again.
		w.absentLastReadNs = lastRead
		w.schedule(timeout / 2)
	default:
		w.closeUnlessStopped()
	}
}

// serverRunsCall asks the server whether the call is queued or running.
func (w *readIdleWatch) serverRunsCall() bool {
	w.client.probes.Add(1)
	ctx, cancel := context.WithTimeout(w.ctx, w.client.options.ProbeTimeout)
	defer cancel()
	health, err := w.client.health(ctx, w.server, &w.call)
	return err == nil && health.Attempt == RunStateRunning
}

// closeUnlessStopped closes the connection unless the call ended during the
// probe: the connection may be used by another call by then.
func (w *readIdleWatch) closeUnlessStopped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.unresponsive.Store(true)
	w.client.unresponsive.Add(1)
	w.connection.tcp.abort()
}
