package exchange

import (
	"sync"
	"time"
)

const (
	// replyReserve is how long before its legs are due a home sends what it has: a way
	// between zones, and the turns of two busy hosts.
	replyReserve = 4 * time.Millisecond
	// silentCheck is how often a home that owes replies past that time looks whether
	// the services that they wait for are silent.
	silentCheck = 100 * time.Millisecond
)

// gather holds the replies to one search's legs at this host until all are there, or
// until they are due.
//
// Load: a search over 180 services, twenty of them at each of nine homes. Harm
// prevented: each reply goes alone, the root reads 180 frames of one reply, and a
// third of its processor time goes into system calls, while it can't answer before
// the last of them has come. Limit: from when the legs are due each reply goes at
// once, so that none is missing at the root's cut-off since it was held.
type gather struct {
	send   func([]item)
	silent func(service string) bool
	now    func() time.Time
	due    time.Time // zero: nothing is held

	mu    sync.Mutex
	open  map[uint64]string // services, by the sender's leg number
	held  []item
	timer *time.Timer
	ended bool
}

func newGather(send func([]item), silent func(string) bool, now func() time.Time, due time.Time) *gather {
	g := &gather{send: send, silent: silent, now: now, open: make(map[uint64]string)}
	if due.IsZero() {
		return g
	}
	g.due = due.Add(-replyReserve)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(max(g.due.Sub(now()), 0), g.fall)
	return g
}

// begin notes a leg that a reply will come for.
func (g *gather) begin(id uint64, service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[id] = service
}

// end takes a leg's reply.
func (g *gather) end(id uint64, reply item) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.open[id]; !open {
		return // cancelled
	}
	delete(g.open, id)
	g.held = append(g.held, reply)
	if len(g.open) == 0 || !g.now().Before(g.due) {
		g.flush()
	}
}

// drop forgets a leg whose sender no longer waits.
func (g *gather) drop(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, id)
	if len(g.open) == 0 {
		g.flush()
	}
}

// flush sends what is held; the lock is held.
func (g *gather) flush() {
	if len(g.held) > 0 {
		g.send(g.held)
		g.held = nil
	}
}

// fall is called when the legs are due, and from then on while some are open.
func (g *gather) fall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flush()
	if g.ended {
		return
	}
	told := make(map[string]bool)
	for _, service := range g.open {
		if !told[service] && g.silent(service) {
			told[service] = true
			g.held = append(g.held, item{silent: service})
		}
	}
	g.flush()
	g.timer.Reset(silentCheck)
}

// close ends the timer: the head has been named for the last time.
func (g *gather) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	if g.timer != nil {
		g.timer.Stop()
	}
}
