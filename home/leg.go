package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// maxRunning is the number of attempts of one leg that may run at once: the first one
// and its hedge.
const maxRunning = 2

// queueState is the queue of its class in which a leg waits.
type queueState uint8

const (
	notQueued queueState = iota
	inWaitingQueue
	inHedgeQueue
)

// leg is a leg that isn't done.
type leg struct {
	Leg
	queuedIn     queueState
	attempts     [maxRunning]*attempt
	avoidServer  *server // failed last, or lacks the snapshot
	outcome      result.Outcome
	attemptCount int // attempts sent
	unknownCount int // attempts that ended with an unknown outcome
	possibleRuns int // ended attempts that may have run
	// possibleRunsElsewhere are those of them at other servers than ReservedServer.
	possibleRunsElsewhere int
	orderBy               time.Time
	hedged                bool // a hedge was sent
	done                  bool
	ranCode               result.Code // why an attempt that ran gave no answer
}

// attempt is an attempt that hasn't ended.
type attempt struct {
	id             ident.AttemptID
	leg            *leg
	server         *server
	started        time.Time
	chargedSeconds float64 // seconds of slot time charged to the class
	hedge          bool
	pipelined      bool // presumably still waits for a slot at the server
	wasPipelined   bool
	cancelled      bool
	hedgeCandidate bool
	prev, next     *attempt
}

// elapsed returns the slot time used so far.
func (a *attempt) elapsed(now time.Time) time.Duration {
	if a.pipelined {
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

// serversLeft returns how many more servers may run the leg. Attempts that certainly
// didn't run don't count.
func (l *leg) serversLeft() int {
	if l.MaxServers == 0 {
		return maxAttempts
	}
	return l.MaxServers - l.possibleRuns - l.runningCount()
}

// mayUse reports whether the limits of the leg allow the server.
func (l *leg) mayUse(s *server) bool {
	if l.PinnedServer != "" && l.PinnedServer != s.spec.Name {
		return false
	}
	if !eligible.InRegions(l.Regions, s.spec.Region) {
		return false
	}
	return l.MaxServers == 0 || l.ReservedServer == "" || l.ReservedServer == s.spec.Name || l.usedElsewhere() < l.MaxServers-1
}

// isRestricted reports whether some servers of the service may not run the leg.
func (l *leg) isRestricted() bool {
	return l.PinnedServer != "" || len(l.Regions) > 0 || (l.MaxServers > 0 && l.ReservedServer != "")
}

// usedElsewhere returns how many attempts at other servers than ReservedServer run or may have
// run.
func (l *leg) usedElsewhere() int {
	used := l.possibleRunsElsewhere
	for _, a := range l.attempts {
		if a != nil && a.server.spec.Name != l.ReservedServer {
			used++
		}
	}
	return used
}

// excludes reports whether the leg must not go to the server: it isn't allowed to, has
// an attempt there already, or failed there last while there are other servers.
func (l *leg) excludes(s *server, usable int) bool {
	if !l.mayUse(s) {
		return true
	}
	for _, a := range l.attempts {
		if a != nil && a.server == s {
			return true
		}
	}
	return l.avoidServer == s && usable > 1
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

// recordOutcome keeps the least certain outcome of all attempts.
func (l *leg) recordOutcome(o result.Outcome) {
	if uncertainty(o) > uncertainty(l.outcome) {
		l.outcome = o
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

// failureCode returns the result code of a failed leg. A code that means "not run" is
// given only if every attempt was unsent or refused.
func (l *leg) failureCode(whenNotRun result.Code) result.Code {
	switch {
	case l.outcome.NotRun():
		return whenNotRun
	case l.outcome == result.OutcomeRan:
		return l.ranCode
	default:
		return result.OutcomeNotKnown
	}
}
