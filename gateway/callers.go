package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// Connection holds what is known about one caller connection. Its methods are safe for
// concurrent use; a nil Connection records nothing.
type Connection struct {
	roundTrip atomic.Int64 // nanoseconds; 0 if unknown
}

// recordRoundTrip sets the round trip of the connection once, from the time that its first
// request had used before it was sent: opening a connection takes one round trip.
func (c *Connection) recordRoundTrip(elapsed time.Duration) {
	if c != nil && elapsed > 0 {
		c.roundTrip.CompareAndSwap(0, int64(elapsed))
	}
}

func (c *Connection) rtt() time.Duration {
	if c == nil {
		return 0
	}
	return time.Duration(c.roundTrip.Load())
}

const (
	// timeoutWindow is how long the longest stated timeout of a class is kept at least.
	timeoutWindow = 10 * time.Second
	// maxConnectTime is the longest elapsed time that is attributed to opening a connection;
	// it covers a round trip between regions. Longer times mean that the caller retried.
	maxConnectTime = 45 * time.Millisecond
)

// callerTimeouts estimates how much of its timeout a caller had used when its request
// arrived. Callers state the remaining time, and all callers of a class start with the same
// timeout.
type callerTimeouts struct {
	mu      sync.Mutex
	classes map[string]*windowedMax
}

// windowedMax is the maximum of the current and the previous window.
type windowedMax struct {
	current, previous time.Duration
	start             time.Time
}

// elapsed returns the time that a caller of the class has used, given its remaining time;
// 0 if it states none.
func (c *callerTimeouts) elapsed(now time.Time, class string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.classes == nil {
		c.classes = make(map[string]*windowedMax)
	}
	window := c.classes[class]
	if window == nil {
		window = &windowedMax{start: now}
		c.classes[class] = window
	}
	if now.Sub(window.start) >= timeoutWindow {
		window.previous, window.current, window.start = window.current, 0, now
	}
	window.current = max(window.current, remaining)
	return max(window.current, window.previous) - remaining
}

// prune drops classes that are no longer configured.
func (c *callerTimeouts) prune(configured map[string]time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for class := range c.classes {
		if _, known := configured[class]; !known {
			delete(c.classes, class)
		}
	}
}
