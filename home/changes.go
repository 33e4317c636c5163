package home

import "time"

// ServerState is what a home believes of a backend server.
type ServerState uint8

// The states of a server; every server begins as healthy.
const (
	ServerHealthy ServerState = iota
	// ServerStalled: what runs there is older than requests usually take,
	// and nothing was answered since; other servers are preferred.
	ServerStalled
	// ServerRefuses: it refused several times in a row and is asked ever less.
	ServerRefuses
	// ServerEjected: it failed several times in a row and gets nothing for a while.
	ServerEjected
	// ServerDraining: it has said that it leaves, and gets nothing any more.
	ServerDraining
	// ServerCold: it has just started and gets little, or nothing from this host.
	ServerCold
)

// String names the state as logs do.
func (s ServerState) String() string {
	return [...]string{"healthy", "stalled", "refuses", "ejected", "draining", "cold"}[s]
}

// ServerChange is a change of what the home believes, with what decided it.
type ServerChange struct {
	Server   string
	State    ServerState
	Faults   int // in a row
	Refusals int // in a row
	Running  int // attempts of this home there
	// Until is when it gets work again; zero: at once, or not any more.
	Until time.Time
}

// noteStates gathers what has changed since the last look.
func (h *Home) noteStates(now time.Time) {
	for _, s := range h.servers {
		state := h.stateOf(s, now)
		if state == s.noted {
			continue
		}
		s.noted = state
		h.changes = append(h.changes, ServerChange{
			Server: s.spec.Name, State: state, Faults: s.faults, Refusals: s.refusals,
			Running: len(s.running), Until: s.idleUntil(now),
		})
	}
}

func (h *Home) stateOf(s *server, now time.Time) ServerState {
	switch {
	case s.draining:
		return ServerDraining
	case s.ejections > 0:
		return ServerEjected
	case s.refusals >= refusalsInARow:
		return ServerRefuses
	case h.stalled(s, now):
		return ServerStalled
	case s.cold(now):
		return ServerCold
	default:
		return ServerHealthy
	}
}

// idleUntil is until when the server gets nothing; zero: it may get work now.
func (s *server) idleUntil(now time.Time) time.Time {
	if at := s.availableAt(now); at.After(now) {
		return at
	}
	return time.Time{}
}

// DrainChanges returns what has changed of the servers since the last call.
func (h *Home) DrainChanges() []ServerChange {
	changes := h.changes
	h.changes = nil
	return changes
}
