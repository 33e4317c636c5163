package quarantine

import (
	"time"
)

// against lists the deaths that speak against the request in the service.
func (b *Registry) against(now time.Time, f Fingerprint, service string) []*recorded {
	var deaths []*recorded
	for _, d := range b.deaths {
		if d.Service == service && now.Sub(d.at) <= evidenceFor && d.share(f) > 0 && !b.massDeath(d, f) {
			deaths = append(deaths, d)
		}
	}
	return deaths
}

// massDeath reports whether another server died at about the same time
// without the request running on it.
func (b *Registry) massDeath(death *recorded, f Fingerprint) bool {
	for _, other := range b.deaths {
		apart := other.at.Sub(death.at).Abs()
		if other.Name != death.Name && apart <= massDeathFor && !other.names(f) {
			return true
		}
	}
	return false
}

// condemn gives the verdict if the evidence suffices.
//
// Load: a request that crashes each server that runs it, sent again and again
// by its caller, among many that do not. Harm prevented: it takes the servers
// of a service one after the other, everything that runs beside it is lost
// too, or an innocent request that ran beside it is refused. Reasons for the
// limits: as many different servers as the policy says, in at least two
// separate events, since one event may be a loss of power, and three for a
// request that was answered lately; no success since;
// most of the service's deaths, since a service that crashes by itself would
// condemn whatever runs long; and one and a half times the blame of any other
// suspect, which a request that ran beside the poison never has.
func (b *Registry) condemn(now time.Time, f Fingerprint, service string) bool {
	if b.verdicts.Contains(f) {
		return false
	}
	deaths := b.against(now, f, service)
	if !b.enough(now, deaths, f) || !b.mostOf(now, deaths, service) || !leads(deaths, f) {
		return false
	}
	b.record(now, f, deaths)
	for _, d := range deaths {
		b.clearAll(d)
	}
	return true
}

// enough counts events and servers.
func (b *Registry) enough(now time.Time, deaths []*recorded, f Fingerprint) bool {
	events := 0
	var last time.Time
	servers := make(map[string]bool)
	for _, d := range deaths {
		servers[d.Name] = true
		if events == 0 || d.startOf(f).Sub(last) >= sameEventFor {
			events++
		}
		last = d.at
	}
	wanted := b.cfg.Policy.QuarantineServers
	return events >= b.wantedEvents(now, f) && (len(servers) >= wanted || len(deaths) >= wanted+extraDeaths)
}

func (b *Registry) wantedEvents(now time.Time, f Fingerprint) int {
	if answered, ok := b.proven.Peek(f); ok && now.Sub(answered) <= evidenceFor {
		return provenEvents
	}
	return leastEvents
}

func (d *recorded) startOf(f Fingerprint) time.Time {
	for _, blame := range d.Suspects {
		if blame.Fingerprint == f {
			return blame.Started
		}
	}
	return time.Time{}
}

// mostOf: at least half of the service's deaths since the first one that
// speaks against the request do so.
func (b *Registry) mostOf(now time.Time, deaths []*recorded, service string) bool {
	all := 0
	for _, d := range b.deaths {
		if d.Service == service && !d.at.Before(deaths[0].at) && now.Sub(d.at) <= evidenceFor {
			all++
		}
	}
	return 2*len(deaths) >= all
}

func leads(deaths []*recorded, f Fingerprint) bool {
	scores := make(map[Fingerprint]float64)
	for _, d := range deaths {
		for _, blame := range d.Suspects {
			scores[blame.Fingerprint] += d.share(blame.Fingerprint)
		}
	}
	for other, score := range scores {
		if other != f && scores[f] < clearLead*score {
			return false
		}
	}
	return true
}

func (b *Registry) record(now time.Time, f Fingerprint, deaths []*recorded) {
	v := verdict{since: now, until: now.Add(time.Duration(b.cfg.Policy.QuarantineDuration))}
	for _, d := range deaths {
		news := Evidence{Fingerprint: f, Server: d.Name, Incarnation: d.Incarnation, InFlight: uint32(len(d.Suspects))}
		v.evidence = append(v.evidence, news)
		b.absorbed.Add(news, struct{}{})
	}
	b.verdicts.Add(f, v)
}
