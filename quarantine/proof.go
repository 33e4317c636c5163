package quarantine

import "time"

// isProven reports whether enough servers have crashed under the request, at least one of
// them under a canary that can't be explained otherwise.
func (s *Suspects) isProven(now time.Time, f Fingerprint, p *suspect) bool {
	if p.servers(now) < verdictServers {
		return false
	}
	for _, t := range p.reports {
		if t.Canary && now.Sub(t.at) <= evidenceTTL && !s.isExplained(now, f, p, t) {
			return true
		}
	}
	return false
}

// isExplained reports whether the crash of a canary's server has another likely cause than the
// request: another request ran there too that was a canary or crashed servers of its own at the
// time, or many servers crashed at the time that ran no canary. The crash of a canary's server
// is that canary's, so a request that merely ran beside canaries has no crash of its own.
func (s *Suspects) isExplained(now time.Time, f Fingerprint, p *suspect, crash timedReport) bool {
	byCanary := s.canaryCrashes()
	atTheTime := func(at time.Time) bool { return at.Sub(crash.at).Abs() <= massCrashWindow }
	others := 0
	for _, c := range s.crashes {
		if c.instance != crash.instance() && !byCanary[c.instance] && atTheTime(c.at) {
			others++
		}
	}
	if others > maxOtherCrashes {
		return true
	}
	for _, fingerprint := range s.suspects.Keys() {
		q, _ := s.suspects.Peek(fingerprint)
		beside, canary, own := false, false, false
		for _, t := range q.reports {
			switch {
			case t.instance() == crash.instance():
				beside, canary = true, t.Canary
			case !byCanary[t.instance()] && !p.has(t.Server, t.Incarnation) && atTheTime(t.at):
				own = true
			}
		}
		if fingerprint != f && beside && (canary || own && q.isSuspect(now)) {
			return true
		}
	}
	return false
}

// canaryCrashes returns the servers that crashed under the canary of any request.
func (s *Suspects) canaryCrashes() map[instance]bool {
	servers := make(map[instance]bool)
	for _, q := range s.suspects.Values() {
		for _, t := range q.reports {
			if t.Canary {
				servers[t.instance()] = true
			}
		}
	}
	return servers
}
