package quarantine

import "time"

// suspect holds the reports on one request. It is a suspect once it has reports on
// suspectServers servers.
type suspect struct {
	reports []timedReport // one for each incarnation of a server
	canary  bool          // a canary runs on this host, or waits for its lease
	// since is when this host took it for a suspect; attempts sent later are canaries.
	since time.Time
}

type timedReport struct {
	Report
	at time.Time // of the crash, as far as this host knows
	// announced is set if other hosts know of it.
	announced bool
}

// isSuspect reports whether enough servers have crashed under the request lately.
func (p *suspect) isSuspect(now time.Time) bool { return p.servers(now) >= suspectServers }

// servers is the number of incarnations of servers with a report that still counts.
func (p *suspect) servers(now time.Time) int {
	n := 0
	for _, t := range p.reports {
		if now.Sub(t.at) <= suspicionTTL {
			n++
		}
	}
	return n
}

func (p *suspect) evidence() (all []Evidence) {
	for _, t := range p.reports {
		all = append(all, Evidence{Fingerprint: t.Fingerprint, Server: t.Server, Incarnation: t.Incarnation, InFlight: 1})
	}
	return all
}

func (p *suspect) lastReport() (last time.Time) {
	for _, t := range p.reports {
		if t.at.After(last) {
			last = t.at
		}
	}
	return last
}

func (p *suspect) has(server string, incarnation uint64) bool {
	for _, t := range p.reports {
		if t.Server == server && t.Incarnation == incarnation {
			return true
		}
	}
	return false
}

func (p *suspect) drop(server Server) {
	kept := p.reports[:0]
	for _, t := range p.reports {
		if t.Server != server.Name || t.Incarnation != server.Incarnation {
			kept = append(kept, t)
		}
	}
	p.reports = kept
}

func (p *suspect) expire(now time.Time) {
	kept := p.reports[:0]
	for _, t := range p.reports {
		if now.Sub(t.at) <= suspicionTTL {
			kept = append(kept, t)
		}
	}
	p.reports = kept
}
