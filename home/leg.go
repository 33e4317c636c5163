package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// maxRunning is how many attempts of one leg may run at once: the first and
// its hedge.
const maxRunning = 2

// queued says in which queue of its class a leg stands.
type queued uint8

const (
	notQueued queued = iota
	inWaiting
	inHedges
)

// leg is a leg that is not done.
type leg struct {
	Leg
	place    queued
	attempts [maxRunning]*attempt
	avoid    *server // failed it last, or lacks its snapshot
	worst    result.Outcome
	started  int // attempts so far
	unknowns int // attempts that ended unknown
	exposed  int // attempts that ended and may have run
	order    time.Time
	hedged   bool // a hedge was sent
	done     bool
	ran      result.Code // why an attempt that ran gave no answer
}

// attempt is one sending of a leg that has not ended.
type attempt struct {
	id         ident.AttemptID
	leg        *leg
	server     *server
	started    time.Time
	charged    float64 // seconds charged to the class
	hedge      bool
	ahead      bool // waits at the server for a slot, as far as is known
	wasAhead   bool
	cancelled  bool
	watched    bool
	prev, next *attempt
}

// ran is the slot time that the attempt used so far.
func (a *attempt) ran(now time.Time) time.Duration {
	if a.ahead {
		return 0
	}
	return now.Sub(a.started)
}

func (l *leg) runningCount() int {
	n := 0
	for _, a := range l.attempts {
		if a != nil {
			n++
		}
	}
	return n
}

// serversLeft is how many more servers may run the leg.
//
// Failure: a request that is slow or fails everywhere is sent to one server
// after the other, and each works on it. Attempts that surely did not run
// count for nothing.
func (l *leg) serversLeft() int {
	if l.MaxServers == 0 {
		return maxAttempts
	}
	return l.MaxServers - l.exposed - l.runningCount()
}

// avoids reports whether the leg must or should not go to the server: one that is
// not for it, one that runs it already, or the one that failed it while there are others.
func (l *leg) avoids(s *server, usable int) bool {
	if l.PinnedServer != "" && l.PinnedServer != s.spec.Name {
		return true
	}
	if !eligible.InRegions(l.Regions, s.spec.Region) {
		return true
	}
	for _, a := range l.attempts {
		if a != nil && a.server == s {
			return true
		}
	}
	return l.avoid == s && usable > 1
}

func (l *leg) addAttempt(a *attempt) {
	for i := range l.attempts {
		if l.attempts[i] == nil {
			l.attempts[i] = a
			return
		}
	}
}

func (l *leg) dropAttempt(a *attempt) {
	for i := range l.attempts {
		if l.attempts[i] == a {
			l.attempts[i] = nil
		}
	}
}

// note keeps the least certain outcome of all attempts.
func (l *leg) note(o result.Outcome) {
	if uncertainty(o) > uncertainty(l.worst) {
		l.worst = o
	}
}

func uncertainty(o result.Outcome) int {
	switch o {
	case result.OutcomeUnsent:
		return 0
	case result.OutcomeRefused:
		return 1
	case result.OutcomeRan:
		return 2
	default:
		return 3
	}
}

// failCode is the code a failed leg gets. A code that claims "not run" is only
// given when every attempt was unsent or refused.
func (l *leg) failCode(whenNotRun result.Code) result.Code {
	switch {
	case l.worst.NotRun():
		return whenNotRun
	case l.worst == result.OutcomeRan:
		return l.ran
	default:
		return result.OutcomeNotKnown
	}
}
