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
	// togetherFor is the time in which several connections must break to be
	// one event. A dying process closes all its sockets within a millisecond;
	// the rest is the way of the news.
	togetherFor = 50 * time.Millisecond
	// severalBreaks is how many connections make "several": one alone breaks
	// for many reasons on a living server.
	severalBreaks = 2
	// lingerFor is how long a request that was cancelled or timed out may
	// still run on its server, and so still crash it.
	lingerFor = 2 * time.Second
	// breakMemory is how long a broken attempt waits for the word on its
	// server: a restart takes seconds.
	breakMemory = 10 * time.Second
	// maxLingering bounds what is kept for each server.
	maxLingering = 256
)

// Server names one life of a backend server.
type Server struct {
	Name        string
	Service     string
	Incarnation uint64
}

// Crash is a server taken for dead, with the requests that may have done it.
type Crash struct {
	Server
	// Suspects are the requests that ran, or may still have run, on the server.
	Suspects []Suspect
}

// Suspect is one request's part in a death.
type Suspect struct {
	Fingerprint Fingerprint
	Started     time.Time // of the latest attempt on the server
}

// Event is what a Tracker found out; at most one of its parts is set.
type Event struct {
	Crashed *Crash
	// Recovered is a server that was taken for dead and has answered since.
	Recovered *Server
}

// Tracker knows what runs on the backend servers that this host sends to.
type Tracker struct {
	mu       sync.Mutex
	servers  map[string]*tracked
	attempts map[ident.AttemptID]*run
}

type tracked struct {
	server  Server
	running map[ident.AttemptID]*run
	past    []*run // ended with an unknown outcome, may still run
	broken  []*run // their connection broke; the server's fate is open
	dead    bool
	diedAt  time.Time // of the last death
}

type run struct {
	fingerprint Fingerprint
	on          *tracked
	started     time.Time
	ended       time.Time
}

// NewTracker makes a tracker that knows no server.
func NewTracker() *Tracker {
	return &Tracker{servers: make(map[string]*tracked), attempts: make(map[ident.AttemptID]*run)}
}

// AttemptStarted notes that an attempt was sent to a server.
func (t *Tracker) AttemptStarted(now time.Time, attempt ident.AttemptID, server Server, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	on := t.servers[server.Name]
	if on == nil {
		on = &tracked{server: server, running: make(map[ident.AttemptID]*run)}
		t.servers[server.Name] = on
	}
	r := &run{fingerprint: f, on: on, started: now}
	on.running[attempt] = r
	t.attempts[attempt] = r
}

// AttemptEnded notes how an attempt ended, and reports a server's death or life that
// follows from it. incarnation is the one that a reply named; zero: none.
//
// What counts as a death. Load: one connection of a living server breaks, or a
// device between the ends resets several. Harm prevented: innocents are blamed
// for deaths that did not happen; or a crash is recognised only after the
// restart, and the request meanwhile takes the next server. A new incarnation
// is proof. Two connections broken within 50 ms, or a broken one and then no
// new one, is taken for a death at once, and taken back by the answer of the same
// incarnation to an attempt that was sent after it: the answers to earlier ones may
// have been sent before the crash. One break alone counts for nothing.
func (t *Tracker) AttemptEnded(now time.Time, attempt ident.AttemptID, outcome result.Outcome, fault backend.Fault, incarnation uint64) Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.attempts[attempt]
	if r == nil {
		return Event{}
	}
	delete(t.attempts, attempt)
	delete(r.on.running, attempt)
	r.ended = now
	on := r.on
	switch {
	case outcome == result.OutcomeRan || outcome == result.OutcomeRefused:
		return on.answered(now, r, incarnation)
	case fault == backend.FaultConnectionLost:
		return on.broke(now, r)
	case fault == backend.FaultUnreachable:
		return on.unreachable(now)
	case outcome == result.OutcomeUnknown:
		on.past = appendBounded(on.past, r)
	}
	return Event{}
}

// ConnectRefused notes that a new connection to the server was refused. After
// each break the shell should dial the server once, at once: with a single
// request in flight nothing else tells a death from a break before the restart.
func (t *Tracker) ConnectRefused(now time.Time, name string) Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	on := t.servers[name]
	if on == nil {
		return Event{}
	}
	return on.unreachable(now)
}

// ObserveIncarnation notes what the host list, or a server's own word, says of the
// server's life.
func (t *Tracker) ObserveIncarnation(now time.Time, name string, incarnation uint64) Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	on := t.servers[name]
	if on == nil {
		return Event{}
	}
	return on.renewed(now, incarnation)
}

// InFlight reports whether a request with the fingerprint runs on any server
// of the service.
func (t *Tracker) InFlight(service string, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.attempts {
		if r.fingerprint == f && r.on.server.Service == service {
			return true
		}
	}
	return false
}

func (s *tracked) answered(now time.Time, r *run, incarnation uint64) Event {
	if incarnation != 0 && incarnation != s.server.Incarnation {
		return s.renewed(now, incarnation)
	}
	// The same life answers, so the breaks before the attempt were of connections only.
	s.broken = slices.DeleteFunc(s.broken, func(b *run) bool { return !b.ended.After(r.started) })
	if !s.dead || s.diedAt.After(r.started) {
		return Event{}
	}
	s.dead = false
	server := s.server
	return Event{Recovered: &server}
}

func (s *tracked) broke(now time.Time, r *run) Event {
	s.broken = appendBounded(s.broken, r)
	together := 0
	for _, b := range s.broken {
		if now.Sub(b.ended) <= togetherFor {
			together++
		}
	}
	if together < severalBreaks {
		return Event{}
	}
	return s.die(now)
}

func (s *tracked) unreachable(now time.Time) Event {
	s.forget(now)
	if len(s.broken) == 0 {
		return Event{}
	}
	return s.die(now)
}

func (s *tracked) renewed(now time.Time, incarnation uint64) Event {
	if incarnation == s.server.Incarnation {
		return Event{}
	}
	event := s.die(now)
	s.server.Incarnation = incarnation
	s.dead = false
	s.past = nil
	s.broken = nil
	return event
}

// die reports the death of this life, once. Attempts that still run here are
// blamed too: their ends have not arrived yet.
func (s *tracked) die(now time.Time) Event {
	s.forget(now)
	if s.dead {
		return Event{}
	}
	s.dead, s.diedAt = true, now
	death := &Crash{Server: s.server}
	for _, r := range s.running {
		death.blame(r)
	}
	for _, r := range slices.Concat(s.broken, s.past) {
		death.blame(r)
	}
	slices.SortFunc(death.Suspects, func(a, b Suspect) int {
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return Event{Crashed: death}
}

// blame counts a request once, however many of its attempts ran here.
func (d *Crash) blame(r *run) {
	for i := range d.Suspects {
		if d.Suspects[i].Fingerprint == r.fingerprint {
			if r.started.After(d.Suspects[i].Started) {
				d.Suspects[i].Started = r.started
			}
			return
		}
	}
	d.Suspects = append(d.Suspects, Suspect{r.fingerprint, r.started})
}

func (s *tracked) forget(now time.Time) {
	s.past = slices.DeleteFunc(s.past, func(r *run) bool { return now.Sub(r.ended) > lingerFor })
	s.broken = slices.DeleteFunc(s.broken, func(r *run) bool { return now.Sub(r.ended) > breakMemory })
}

func appendBounded(runs []*run, r *run) []*run {
	if len(runs) >= maxLingering {
		runs = slices.Delete(runs, 0, 1)
	}
	return append(runs, r)
}
