package controlloop

import "sync"

// Mailbox holds events for a control loop. Post never waits, so that a loop may post to itself, and
// two loops to each other. Events from outside the host belong in a channel instead, whose
// senders wait while the loop is busy.
type Mailbox[T any] struct {
	limit int
	ready chan struct{}

	mu      sync.Mutex
	waiting []T
}

// NewMailbox returns a mailbox for up to limit events.
func NewMailbox[T any](limit int) *Mailbox[T] {
	return &Mailbox[T]{limit: limit, ready: make(chan struct{}, 1)}
}

// Post adds an event and reports whether there was room for it.
func (m *Mailbox[T]) Post(event T) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiting) >= m.limit {
		return false
	}
	m.waiting = append(m.waiting, event)
	m.Wake()
	return true
}

// Wake makes Ready receive even if no event waits.
func (m *Mailbox[T]) Wake() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Ready receives when Take may return events.
func (m *Mailbox[T]) Ready() <-chan struct{} { return m.ready }

// Take removes and returns all events, in the order in which they were posted.
func (m *Mailbox[T]) Take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.waiting
	m.waiting = nil
	return taken
}

// Len returns how many events wait.
func (m *Mailbox[T]) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiting)
}
