package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// silenceWatch looks after one call in flight. Something between the two ends
// can lose track of an open connection: nothing comes back on it, not even a
// reset, while new connections work. It shows as a call that never ends. A slow
// server looks the same, so past the bound the server is asked on a new
// connection. If it answers that it does not run the call, the connection is
// silent and is dropped, it alone. If it gives no answer, the server itself is
// out of reach, and the connection is dropped as well. The attempt is unknown
// in both cases: the request may have arrived, run and been answered.
type silenceWatch struct {
	client *Client
	ctx    context.Context
	server Server
	link   *conn
	call   Call
	silent atomic.Bool
	// absentAt is the time of the last bytes when the server first said that
	// it does not run the call; only check uses it.
	absentAt int64

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchSilence starts a watch, unless the deadline comes before the bound:
// then the deadline drops the connection, and the common short call pays no timer.
func (c *Client) watchSilence(ctx context.Context, server Server, link *conn, call Call) *silenceWatch {
	w := &silenceWatch{client: c, ctx: ctx, server: server, link: link, call: call}
	if c.options.ReadIdleTimeout > 0 && time.Until(call.Deadline) > c.options.ReadIdleTimeout {
		w.arm(c.options.ReadIdleTimeout)
	}
	return w
}

func (w *silenceWatch) arm(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer = time.AfterFunc(after, w.check)
	}
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *silenceWatch) check() {
	bound := w.client.options.ReadIdleTimeout
	if quiet := w.link.wire.sinceRead(time.Now()); quiet < bound {
		w.arm(bound - quiet)
		return
	}
	lastRead := w.link.wire.lastReadNs.Load()
	switch {
	case w.runs():
		w.absentAt = 0
		w.arm(bound)
	case w.absentAt != lastRead:
		// The reply may have crossed with the question: look once more.
		w.absentAt = lastRead
		w.arm(bound / 2)
	default:
		w.dropIfOpen()
	}
}

// runs asks the server whether it still works on the call.
func (w *silenceWatch) runs() bool {
	w.client.probes.Add(1)
	ctx, cancel := context.WithTimeout(w.ctx, w.client.options.ProbeTimeout)
	defer cancel()
	health, err := w.client.health(ctx, w.server, &w.call)
	return err == nil && health.Attempt == RunStateRunning
}

// dropIfOpen drops the connection unless the call ended during the probe: its
// connection may be another call's by then.
func (w *silenceWatch) dropIfOpen() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.silent.Store(true)
	w.client.silent.Add(1)
	w.link.wire.stop()
}
