package quarantine

import (
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// MaxCanaryDuration bounds a canary, and so its lease.
	MaxCanaryDuration = 5 * time.Second
	// takeoverDelay is how long a new coordinator grants no lease: a canary that the one before
	// has allowed ends meanwhile, and the report on it arrives.
	takeoverDelay = 2 * time.Second
	// maxLeases bounds the leases; suspects beyond them wait.
	maxLeases = 1024
)

// CanaryRequest asks for the lease of a canary.
type CanaryRequest struct {
	Fingerprint Fingerprint
	Host        string // that runs the canary
	Service     string // that runs it first
	// Duration is how long until the canary has ended in any case.
	Duration time.Duration
	Findings
}

// Findings are what a host tells the coordinator of a request.
type Findings struct {
	Reports []PastReport // on the request
	Crashes []PastCrash  // the latest of all servers
}

// PastReport is a report that a host has had for a while.
type PastReport struct {
	Report
	Age time.Duration
}

// PastCrash is the crash of a server, whatever ran on it.
type PastCrash struct {
	Server      string
	Incarnation uint64
	Age         time.Duration
}

// CanaryDecision answers a CanaryRequest.
type CanaryDecision struct {
	// Refusal says why the request must not run now; nil if it may.
	Refusal *result.Error
	// Cleared is set if the request has been answered since it was reported: it may run without
	// a lease, like any other.
	Cleared bool
	// Evidence are the reports on a request that is quarantined.
	Evidence []PastReport
}

// CanaryEnd tells how a canary has ended.
type CanaryEnd uint8

const (
	// CanaryUnsent: the request ran nowhere.
	CanaryUnsent CanaryEnd = iota
	// CanaryAnswered: a server has answered it.
	CanaryAnswered
	// CanaryLost: it may have run, and has no answer.
	CanaryLost
)

// Leases grants the canaries of the fleet. One host, the coordinator, has them; all hosts ask
// it before they run a canary. So one canary of a request runs at a time, however many hosts
// have a copy of it, and a server that crashes under a canary ran no other one.
//
// If hosts see different coordinators, each of these may grant one canary of a request.
//
// Leases is safe for concurrent use.
type Leases struct {
	suspects *Suspects

	mu          sync.Mutex
	coordinates bool
	since       time.Time // when this host became the coordinator
	leases      map[Fingerprint]canaryLease
}

type canaryLease struct {
	host, service string
	until         time.Time
}

// NewLeases returns leases without any; this host is not the coordinator yet.
func NewLeases(suspects *Suspects) *Leases {
	return &Leases{suspects: suspects, leases: make(map[Fingerprint]canaryLease)}
}

// SetCoordinator tells whether this host is the coordinator now.
func (l *Leases) SetCoordinator(now time.Time, coordinates bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if coordinates && !l.coordinates {
		l.since = now
	}
	if !coordinates {
		clear(l.leases)
	}
	l.coordinates = coordinates
}

// Acquire decides on a canary.
func (l *Leases) Acquire(now time.Time, request CanaryRequest) CanaryDecision {
	f := request.Fingerprint
	l.suspects.merge(now, f, request.Findings)
	if !l.suspects.IsSuspect(now, f) {
		return CanaryDecision{Cleared: true}
	}
	if wait := l.untilInCharge(now); wait > 0 {
		return CanaryDecision{Refusal: Suspected(f, wait)}
	}
	if refusal := l.suspects.Check(now, f); refusal != nil {
		return l.refuse(now, f, refusal)
	}
	l.suspects.decide(now, f)
	if refusal := l.suspects.Check(now, f); refusal != nil {
		return l.refuse(now, f, refusal)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if len(l.leases) >= maxLeases || l.isTaken(f, request.Service) {
		return CanaryDecision{Refusal: Suspected(f, CanaryRetryAfter)}
	}
	l.leases[f] = canaryLease{request.Host, request.Service, now.Add(min(request.Duration, MaxCanaryDuration))}
	return CanaryDecision{}
}

// untilInCharge is how long this host grants nothing yet.
func (l *Leases) untilInCharge(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.coordinates {
		return CanaryRetryAfter
	}
	return l.since.Add(takeoverDelay).Sub(now)
}

// refuse returns the refusal, with the evidence of a verdict.
func (l *Leases) refuse(now time.Time, f Fingerprint, refusal *result.Error) CanaryDecision {
	decision := CanaryDecision{Refusal: refusal}
	if refusal.Code == result.Quarantined {
		decision.Evidence = l.suspects.Findings(now, f).Reports
	}
	return decision
}

// isTaken reports whether the request has a canary, or the service runs that of another one.
func (l *Leases) isTaken(f Fingerprint, service string) bool {
	for other, lease := range l.leases {
		if other == f || lease.service == service {
			return true
		}
	}
	return false
}

// Release ends a host's lease. An answer clears the request. After a lost canary the next one
// waits until other hosts can have reported a crash under it.
func (l *Leases) Release(now time.Time, f Fingerprint, host string, end CanaryEnd, findings Findings) {
	l.suspects.merge(now, f, findings)
	if end == CanaryAnswered {
		l.suspects.RecordAnswer(now, f)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lease, ok := l.leases[f]
	if !ok || lease.host != host {
		return
	}
	if end != CanaryLost {
		delete(l.leases, f)
		return
	}
	lease.service = "" // other requests may use it
	lease.until = now.Add(suspectBackoff)
	l.leases[f] = lease
}

func (l *Leases) expire(now time.Time) {
	for f, lease := range l.leases {
		if !now.Before(lease.until) {
			delete(l.leases, f)
		}
	}
}
