package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// simultaneousWindow is the time within which several connections must
	// break to count as one event. A crashing process closes all its sockets
	// within a millisecond; the rest is for scheduling and the network.
	simultaneousWindow = 50 * time.Millisecond
	// minSimultaneousBreaks is how many connections must break; a single one
	// breaks for many reasons while its server runs.
	minSimultaneousBreaks = 2
	// lingerTime is how long a request that was cancelled or timed out may
	// still run on its server, and so still crash it.
	lingerTime = 2 * time.Second
	// brokenTTL is how long a broken attempt waits for news of its server; a
	// restart takes seconds.
	brokenTTL = 10 * time.Second
	// maxEndedAttempts bounds the ended attempts kept for each server.
	maxEndedAttempts = 256
)

// Server identifies one incarnation of a backend server.
type Server struct {
	Name        string
	Service     string
	Incarnation uint64
}

// Crash is a presumed crash of a server, with the requests that may have
// caused it.
type Crash struct {
	Server
	// Suspects are the requests that ran, or may still have run, on the server.
	Suspects []Suspect
}

// Suspect is one request that may have caused a crash.
type Suspect struct {
	Fingerprint Fingerprint
	Started     time.Time // of the latest attempt on the server
}

// Event is what a Tracker detected; at most one field is set.
type Event struct {
	Crashed *Crash
	// Recovered is a server that was presumed crashed and has answered since.
	Recovered *Server
}

// Tracker knows which attempts run on the backend servers that this host sends to.
type Tracker struct {
	mu       sync.Mutex
	servers  map[string]*trackedServer
	attempts map[ident.AttemptID]*attempt
}

type trackedServer struct {
	server    Server
	running   map[ident.AttemptID]*attempt
	lingering []*attempt // ended with an unknown outcome, may still run
	broken    []*attempt // their connection broke; whether the server crashed is open
	crashed   bool
	crashedAt time.Time // of the last crash
	// portClosed is set if nothing listened at the server's address after the crash.
	portClosed bool
}

type attempt struct {
	fingerprint Fingerprint
	on          *trackedServer
	startedAt   time.Time
	endedAt     time.Time
}

// NewTracker makes a tracker without servers.
func NewTracker() *Tracker {
	return &Tracker{servers: make(map[string]*trackedServer), attempts: make(map[ident.AttemptID]*attempt)}
}

// AttemptStarted records that an attempt was sent to a server.
func (t *Tracker) AttemptStarted(now time.Time, id ident.AttemptID, server Server, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	on := t.servers[server.Name]
	if on == nil {
		on = &trackedServer{server: server, running: make(map[ident.AttemptID]*attempt)}
		t.servers[server.Name] = on
	}
	a := &attempt{fingerprint: f, on: on, startedAt: now}
	on.running[id] = a
	t.attempts[id] = a
}

// AttemptEnded records how an attempt ended, and returns the crash or recovery that
// follows from it. incarnation is the one that a reply named; zero: none. A crash is presumed
// before the new incarnation proves it: until then the request would take the next server.
func (t *Tracker) AttemptEnded(now time.Time, id ident.AttemptID, outcome result.Outcome, fault backend.Fault, incarnation uint64) Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a == nil {
		return Event{}
	}
	delete(t.attempts, id)
	delete(a.on.running, id)
	a.endedAt = now
	on := a.on
	switch {
	case outcome == result.OutcomeRefused && fault == backend.FaultDraining && incarnation == 0:
		// Either the server is leaving, or another process has taken its address.
		return on.handleUnreachable(now)
	case outcome == result.OutcomeRan || outcome == result.OutcomeRefused:
		return on.handleReply(now, a, incarnation)
	case fault == backend.FaultConnectionLost:
		return on.handleBreak(now, a)
	case fault == backend.FaultUnreachable:
		return on.handleUnreachable(now)
	case outcome == result.OutcomeUnknown:
		on.lingering = appendBounded(on.lingering, a)
	}
	return Event{}
}

// ConnectRefused records that a new connection to the server was refused. The
// server should be dialled once right after each break: with a single request
// in flight, only that tells a crash from a broken connection before the
// restart.
func (t *Tracker) ConnectRefused(now time.Time, name string) Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	on := t.servers[name]
	if on == nil {
		return Event{}
	}
	return on.handleUnreachable(now)
}

// ObserveIncarnation records the server's incarnation that the host list, or the
// server itself, reports.
func (t *Tracker) ObserveIncarnation(now time.Time, name string, incarnation uint64) Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	on := t.servers[name]
	if on == nil {
		return Event{}
	}
	return on.handleIncarnation(now, incarnation)
}

// Retain forgets the servers that are not listed any more and have no attempt whose end or
// whose effect is open.
func (t *Tracker) Retain(now time.Time, listed func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.servers {
		s.expire(now)
		if !listed(name) && len(s.running)+len(s.lingering)+len(s.broken) == 0 {
			delete(t.servers, name)
		}
	}
}

// InFlight reports whether a request with the fingerprint runs on any server
// of the service.
func (t *Tracker) InFlight(service string, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.attempts {
		if a.fingerprint == f && a.on.server.Service == service {
			return true
		}
	}
	return false
}

// handleReply retracts a presumed crash if the attempt was sent after it. Answers to
// earlier attempts may have been sent before the crash. After the port was closed, a server that
// keeps its name when it starts again may have been restarted, unless the reply names its
// incarnation.
func (s *trackedServer) handleReply(now time.Time, a *attempt, incarnation uint64) Event {
	switch {
	case incarnation == 0 && s.server.Incarnation != 0 && s.portClosed:
		return Event{}
	case incarnation != 0 && incarnation != s.server.Incarnation:
		return s.handleIncarnation(now, incarnation)
	}
	// The same incarnation answers, so the breaks before the attempt were no crash.
	s.broken = slices.DeleteFunc(s.broken, func(b *attempt) bool { return !b.endedAt.After(a.startedAt) })
	if !s.crashed || s.crashedAt.After(a.startedAt) {
		return Event{}
	}
	s.crashed, s.portClosed = false, false
	server := s.server
	return Event{Recovered: &server}
}

// handleBreak presumes a crash when several connections break at once, so that
// the request is not sent to the next server before the restart proves it.
func (s *trackedServer) handleBreak(now time.Time, a *attempt) Event {
	s.broken = appendBounded(s.broken, a)
	simultaneous := 0
	for _, b := range s.broken {
		if now.Sub(b.endedAt) <= simultaneousWindow {
			simultaneous++
		}
	}
	if simultaneous < minSimultaneousBreaks {
		return Event{}
	}
	return s.markCrashed(now)
}

// handleUnreachable presumes a crash if a connection has broken before.
func (s *trackedServer) handleUnreachable(now time.Time) Event {
	s.expire(now)
	if len(s.broken) == 0 {
		return Event{}
	}
	event := s.markCrashed(now)
	s.portClosed = true
	return event
}

// handleIncarnation reports a crash if the server has been restarted.
func (s *trackedServer) handleIncarnation(now time.Time, incarnation uint64) Event {
	if incarnation == s.server.Incarnation {
		return Event{}
	}
	event := s.markCrashed(now)
	s.server.Incarnation = incarnation
	s.crashed, s.portClosed = false, false
	s.lingering = nil
	s.broken = nil
	return event
}

// markCrashed reports the crash of this incarnation, once. Attempts that still
// run are suspects too: their ends have not arrived yet.
func (s *trackedServer) markCrashed(now time.Time) Event {
	s.expire(now)
	if s.crashed {
		return Event{}
	}
	s.crashed, s.crashedAt = true, now
	crash := &Crash{Server: s.server}
	for _, a := range s.running {
		crash.addSuspect(a)
	}
	for _, a := range slices.Concat(s.broken, s.lingering) {
		crash.addSuspect(a)
	}
	slices.SortFunc(crash.Suspects, func(x, y Suspect) int {
		return cmp.Or(x.Started.Compare(y.Started), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	return Event{Crashed: crash}
}

// addSuspect adds a request once, however many of its attempts ran here.
func (c *Crash) addSuspect(a *attempt) {
	for i := range c.Suspects {
		if c.Suspects[i].Fingerprint == a.fingerprint {
			if a.startedAt.After(c.Suspects[i].Started) {
				c.Suspects[i].Started = a.startedAt
			}
			return
		}
	}
	c.Suspects = append(c.Suspects, Suspect{a.fingerprint, a.startedAt})
}

func (s *trackedServer) expire(now time.Time) {
	s.lingering = slices.DeleteFunc(s.lingering, func(a *attempt) bool { return now.Sub(a.endedAt) > lingerTime })
	s.broken = slices.DeleteFunc(s.broken, func(a *attempt) bool { return now.Sub(a.endedAt) > brokenTTL })
}

func appendBounded(attempts []*attempt, a *attempt) []*attempt {
	if len(attempts) >= maxEndedAttempts {
		attempts = slices.Delete(attempts, 0, 1)
	}
	return append(attempts, a)
}
