package exchange

import (
	"sync"
	"time"
)

const (
	// replyReserve is how long before the soft deadline of its legs a home sends its replies;
	// it covers a network path between zones and two busy hosts.
	replyReserve = 4 * time.Millisecond
	// unresponsiveCheckInterval is how often a home with overdue replies checks for
	// unresponsive services.
	unresponsiveCheckInterval = 100 * time.Millisecond
)

// replyBatcher holds the replies to one search's legs at this host until all are there or their
// soft deadline nears, and then sends them together. Without batches, the coordinating host
// spends much of its CPU on system calls for a search over many services. Replies after the
// due time go at once.
type replyBatcher struct {
	send         func([]item)
	unresponsive func(service string) bool
	now          func() time.Time
	due          time.Time // the legs' soft deadline less replyReserve; zero: replies are not held

	mu     sync.Mutex
	open   map[uint64]string // services, by the sender's leg number
	held   []item
	timer  *time.Timer
	closed bool
}

func newReplyBatcher(send func([]item), unresponsive func(string) bool, now func() time.Time, due time.Time) *replyBatcher {
	b := &replyBatcher{send: send, unresponsive: unresponsive, now: now, open: make(map[uint64]string)}
	if due.IsZero() {
		return b
	}
	b.due = due.Add(-replyReserve)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(max(b.due.Sub(now()), 0), b.onDue)
	return b
}

// begin registers a leg that will get a reply.
func (b *replyBatcher) begin(id uint64, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[id] = service
}

// end adds a leg's reply.
func (b *replyBatcher) end(id uint64, reply item) {
	b.sendAll(b.add(id, reply))
}

// add adds a reply and returns what is to be sent now.
func (b *replyBatcher) add(id uint64, reply item) []item {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.open[id]; !open {
		return nil // cancelled
	}
	delete(b.open, id)
	b.held = append(b.held, reply)
	if len(b.open) > 0 && b.now().Before(b.due) {
		return nil
	}
	return b.takeHeld()
}

// drop removes a leg that its sender has cancelled.
func (b *replyBatcher) drop(id uint64) {
	b.mu.Lock()
	delete(b.open, id)
	var replies []item
	if len(b.open) == 0 {
		replies = b.takeHeld()
	}
	b.mu.Unlock()
	b.sendAll(replies)
}

// takeHeld returns the held replies; mu is held.
func (b *replyBatcher) takeHeld() []item {
	replies := b.held
	b.held = nil
	return replies
}

// sendAll sends messages; mu is not held.
func (b *replyBatcher) sendAll(messages []item) {
	if len(messages) > 0 {
		b.send(messages)
	}
}

// onDue runs when the legs are due, and periodically after that while some are open. It asks
// for unresponsive services without the mutex, since the answer comes from the homes, and these
// end legs.
func (b *replyBatcher) onDue() {
	b.mu.Lock()
	messages, closed := b.takeHeld(), b.closed
	services := make(map[string]bool)
	for _, service := range b.open {
		services[service] = true
	}
	b.mu.Unlock()
	b.sendAll(messages)
	if closed {
		return
	}
	var unresponsive []item
	for service := range services {
		if b.unresponsive(service) {
			unresponsive = append(unresponsive, item{unresponsive: service})
		}
	}
	b.sendAll(unresponsive)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.timer.Reset(unresponsiveCheckInterval)
	}
}

// close stops the timer once the sender has ended the head.
func (b *replyBatcher) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if b.timer != nil {
		b.timer.Stop()
	}
}
