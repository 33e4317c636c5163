// Package controlloop holds what the goroutines that own a part of a host's control state have in
// common.
package controlloop

import (
	"sync/atomic"
	"time"
)

// State is what others see of a control loop.
type State struct {
	Queued int           // events that wait for it
	Busy   time.Duration // for how long it has been handling its present event; 0: it waits for one
}

// Meter measures for how long a control loop handles an event. Its methods never wait, so that
// a loop that hangs is seen.
type Meter struct {
	busySince atomic.Int64 // Unix nanoseconds; 0: no event is being handled
}

// Begin is called by the loop before it handles an event.
func (m *Meter) Begin(now time.Time) { m.busySince.Store(now.UnixNano()) }

// End is called by the loop after it has handled an event.
func (m *Meter) End() { m.busySince.Store(0) }

// State returns the state of a loop with that many queued events.
func (m *Meter) State(now time.Time, queued int) State {
	since := m.busySince.Load()
	if since == 0 {
		return State{Queued: queued}
	}
	return State{Queued: queued, Busy: max(now.Sub(time.Unix(0, since)), 0)}
}
