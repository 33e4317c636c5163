package quarantine

import (
	"time"
)

// crashesAgainst lists the crashes that count as evidence against the request
// in the service.
func (r *Registry) crashesAgainst(now time.Time, f Fingerprint, service string) []*recordedCrash {
	var crashes []*recordedCrash
	for _, c := range r.crashes {
		if c.Service == service && now.Sub(c.at) <= evidenceTTL && c.blame(f) > 0 && !r.isMassCrash(c, f) {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// isMassCrash reports whether another server crashed at about the same time
// without the request running on it.
func (r *Registry) isMassCrash(crash *recordedCrash, f Fingerprint) bool {
	for _, other := range r.crashes {
		apart := other.at.Sub(crash.at).Abs()
		if other.Name != crash.Name && apart <= massCrashWindow && !other.hasSuspect(f) {
			return true
		}
	}
	return false
}

// quarantineIfProven adds a verdict if the evidence suffices, and reports whether
// it did. It must stop a request that crashes each server that runs it, but not
// the requests that only ran beside it.
func (r *Registry) quarantineIfProven(now time.Time, f Fingerprint, service string) bool {
	if r.verdicts.Contains(f) {
		return false
	}
	crashes := r.crashesAgainst(now, f, service)
	if !r.enoughEvents(now, crashes, f) || !r.mostCrashes(now, crashes, service) || !hasBlameLead(crashes, f) {
		return false
	}
	r.addVerdict(now, f, evidenceOf(f, crashes))
	for _, c := range crashes {
		r.clearAll(c)
	}
	return true
}

// enoughEvents reports whether there are enough separate events and servers: the
// crashes of a power loss are one event.
func (r *Registry) enoughEvents(now time.Time, crashes []*recordedCrash, f Fingerprint) bool {
	events := 0
	var last time.Time
	servers := make(map[string]bool)
	for _, c := range crashes {
		servers[c.Name] = true
		if events == 0 || c.startOf(f).Sub(last) >= sameEventWindow {
			events++
		}
		last = c.at
	}
	required := r.cfg.Policy.QuarantineServers
	return events >= r.requiredEvents(now, f) && (len(servers) >= required || len(crashes) >= required+extraCrashes)
}

func (r *Registry) requiredEvents(now time.Time, f Fingerprint) int {
	if answered, ok := r.lastSuccess.Peek(f); ok && now.Sub(answered) <= evidenceTTL {
		return minEventsIfAnswered
	}
	return minEvents
}

// startOf is when the request's latest attempt on the crashed server started.
func (c *recordedCrash) startOf(f Fingerprint) time.Time {
	for _, suspect := range c.Suspects {
		if suspect.Fingerprint == f {
			return suspect.Started
		}
	}
	return time.Time{}
}

// mostCrashes reports whether the crashes are at least half of the service's since
// the first of them. Otherwise, any long-running request would be a suspect in a
// service that crashes by itself.
func (r *Registry) mostCrashes(now time.Time, crashes []*recordedCrash, service string) bool {
	all := 0
	for _, c := range r.crashes {
		if c.Service == service && !c.at.Before(crashes[0].at) && now.Sub(c.at) <= evidenceTTL {
			all++
		}
	}
	return 2*len(crashes) >= all
}

// hasBlameLead reports whether the request has clearly more blame than any other
// suspect.
func hasBlameLead(crashes []*recordedCrash, f Fingerprint) bool {
	scores := make(map[Fingerprint]float64)
	for _, c := range crashes {
		for _, suspect := range c.Suspects {
			scores[suspect.Fingerprint] += c.blame(suspect.Fingerprint)
		}
	}
	for other, score := range scores {
		if other != f && scores[f] < minBlameLead*score {
			return false
		}
	}
	return true
}

// evidenceOf returns the crashes as evidence against the request.
func evidenceOf(f Fingerprint, crashes []*recordedCrash) (evidence []Evidence) {
	for _, c := range crashes {
		evidence = append(evidence, Evidence{Fingerprint: f, Server: c.Name, Incarnation: c.Incarnation, InFlight: uint32(len(c.Suspects))})
	}
	return evidence
}

func (r *Registry) addVerdict(now time.Time, f Fingerprint, evidence []Evidence) {
	until := now.Add(time.Duration(r.cfg.Policy.QuarantineDuration))
	r.verdicts.Add(f, verdict{since: now, until: until, evidence: evidence})
	for _, e := range evidence {
		r.knownEvidence.Add(e, struct{}{})
	}
}
