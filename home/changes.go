package home

import "time"

// ServerState is a home's assessment of a backend server.
type ServerState uint8

// The states of a server; the initial state is healthy.
const (
	ServerHealthy ServerState = iota
	// ServerStalled means that the running requests are older than usual and nothing
	// has been answered since; other servers are preferred.
	ServerStalled
	// ServerRefusing means several consecutive refusals.
	ServerRefusing
	// ServerEjected means several consecutive faults; the server gets no requests for a
	// time.
	ServerEjected
	// ServerDraining means that the server announced its stop; it gets no more
	// requests.
	ServerDraining
	// ServerCold means that the server has just started and gets few requests, or none
	// from this host.
	ServerCold
)

// String returns the name used in logs.
func (s ServerState) String() string {
	return [...]string{"healthy", "stalled", "refuses", "ejected", "draining", "cold"}[s]
}

// ServerChange is a state change of a server, with the values that caused it.
type ServerChange struct {
	Server   string
	State    ServerState
	Faults   int // consecutive
	Refusals int // consecutive
	Running  int // attempts of this home on the server
	// Until is when the server gets requests again; zero means at once, or not any
	// more.
	Until time.Time
}

// recordChanges records the state changes since the last dispatch.
func (h *Home) recordChanges(now time.Time) {
	for _, s := range h.servers {
		state := h.serverState(s, now)
		if state == s.recordedState {
			continue
		}
		s.recordedState = state
		h.pendingChanges = append(h.pendingChanges, ServerChange{
			Server: s.spec.Name, State: state, Faults: s.faults, Refusals: s.refusals,
			Running: len(s.running), Until: s.unavailableUntil(now),
		})
	}
}

func (h *Home) serverState(s *server, now time.Time) ServerState {
	switch {
	case s.draining:
		return ServerDraining
	case s.ejections > 0:
		return ServerEjected
	case s.refusals >= minConsecutiveFailures:
		return ServerRefusing
	case h.stalled(s, now):
		return ServerStalled
	case s.cold(now):
		return ServerCold
	default:
		return ServerHealthy
	}
}

// unavailableUntil returns when the server gets requests again; zero means that it may
// get requests now.
func (s *server) unavailableUntil(now time.Time) time.Time {
	if at := s.availableAt(now); at.After(now) {
		return at
	}
	return time.Time{}
}

// DrainChanges returns the state changes of servers since the last call.
func (h *Home) DrainChanges() []ServerChange {
	changes := h.pendingChanges
	h.pendingChanges = nil
	return changes
}
