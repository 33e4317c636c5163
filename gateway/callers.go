package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// Connection is what is learnt of one connection of a caller. Its methods are
// safe for concurrent use; a nil Connection learns nothing.
type Connection struct {
	roundTrip atomic.Int64 // nanoseconds; 0: not known
}

// learn notes the time that the connection's first request had used before it
// was sent: opening a connection takes a round trip.
func (c *Connection) learn(opened time.Duration) {
	if c != nil && opened > 0 {
		c.roundTrip.CompareAndSwap(0, int64(opened))
	}
}

func (c *Connection) way() time.Duration {
	if c == nil {
		return 0
	}
	return time.Duration(c.roundTrip.Load())
}

const (
	// budgetMemory is how long the longest time that callers of a class state is
	// remembered at least: those that come back within their time are told from
	// new ones by it, and operators change it.
	budgetMemory = 10 * time.Second
	// mostOpening is the longest that opening a connection is taken for; what has
	// used more was sent before. It covers a round trip between regions.
	mostOpening = 45 * time.Millisecond
)

// callerTimes tells how much of its time a caller had used when its request came.
// Callers state what is left of it, and all callers of a class begin with the same.
type callerTimes struct {
	mu      sync.Mutex
	classes map[string]*longest
}

// longest is the longest time stated in this span and in the one before.
type longest struct {
	now, before time.Duration
	since       time.Time
}

// used is the time that a caller of the class had used up, who has left what it
// states; 0 when it states none.
func (c *callerTimes) used(now time.Time, class string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.classes == nil {
		c.classes = make(map[string]*longest)
	}
	l := c.classes[class]
	if l == nil {
		l = &longest{since: now}
		c.classes[class] = l
	}
	if now.Sub(l.since) >= budgetMemory {
		l.before, l.now, l.since = l.now, 0, now
	}
	l.now = max(l.now, left)
	return max(l.now, l.before) - left
}

// forget drops classes that are no longer configured.
func (c *callerTimes) forget(configured map[string]time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for class := range c.classes {
		if _, known := configured[class]; !known {
			delete(c.classes, class)
		}
	}
}
