package quarantine

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// suspectServers is how many servers must crash under a request before it is a
	// suspect. A request on a single crashed server is most likely a bystander.
	suspectServers = 2
	// verdictServers is how many servers must crash under a suspect for a verdict, at least
	// one of them under a canary.
	verdictServers = 3
	// CanaryRetryAfter is when a request may come again that arrived during a canary.
	CanaryRetryAfter = 100 * time.Millisecond
	// answeredGrace is how long after an answer late reports on the request are ignored.
	answeredGrace = 2 * time.Second
	// maxOtherCrashes is how many other servers may crash within massCrashWindow of a canary's
	// server for the canary to count.
	maxOtherCrashes = 4
	// suspicionTTL is how long a report counts: longer than a verdict, so that a request runs
	// as a canary first when its verdict has ended.
	suspicionTTL = 30 * time.Minute
	maxSuspects  = 4096
	// maxReports bounds the reports on one request.
	maxReports = 32
	// maxFoundCrashes and maxCrashAge bound the crashes that a host tells the coordinator.
	maxFoundCrashes = 8
	maxCrashAge     = 5 * time.Second
)

// Report says that a request ran, or may have run, on a server when it crashed. Hosts
// exchange the reports on suspects.
type Report struct {
	Fingerprint Fingerprint
	Server      string
	Incarnation uint64
	// Canary is set if the request was a suspect already when it was sent to the server.
	Canary bool
}

// Suspects finds requests that crash the servers that run them, where each host sees a part
// of their attempts only. A request under which several servers crash and that none answers
// is a suspect: all hosts hold it back for a while, and then let one at a time run, as a
// canary, on one server; see Leases. An answer clears it; if the server crashes, it is
// quarantined.
//
// Suspects is safe for concurrent use.
type Suspects struct {
	registry *Registry

	// all fields below are guarded by registry.mu
	suspects *lru.Cache[Fingerprint, *suspect]
	crashes  []timedCrash // that this host knows the time of
}

// timedCrash is the crash of a server, whatever ran on it.
type timedCrash struct {
	instance
	at time.Time
}

// instance is one incarnation of a server.
type instance struct {
	server      string
	incarnation uint64
}

func (r Report) instance() instance { return instance{r.Server, r.Incarnation} }

// NewSuspects returns an empty list of suspects whose verdicts are added to the registry.
func NewSuspects(registry *Registry) *Suspects {
	return &Suspects{registry: registry, suspects: newCache[Fingerprint, *suspect](maxSuspects)}
}

// Admission is the decision on a request at its entry host.
type Admission struct {
	// Refusal is the reason why the request is not run; nil if it may run.
	Refusal *result.Error
	// Canary is set if the request must run on one server before it is sent to any others,
	// with a lease. EndCanary must be called when it has ended.
	Canary bool
}

// Admit decides on a request that arrives at this host.
func (s *Suspects) Admit(now time.Time, f Fingerprint) Admission {
	r := s.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if refusal := s.check(now, f); refusal != nil {
		return Admission{Refusal: refusal}
	}
	p, ok := s.suspects.Peek(f)
	if !ok || !p.isSuspect(now) || r.isReleased(f) {
		return Admission{}
	}
	if p.canary {
		return Admission{Refusal: Suspected(f, CanaryRetryAfter)}
	}
	p.canary = true
	return Admission{Canary: true}
}

// EndCanary is called when a canary has ended, however it did.
func (s *Suspects) EndCanary(f Fingerprint) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	if p, ok := s.suspects.Peek(f); ok {
		p.canary = false
	}
}

// Check returns the refusal of a request that must not be sent to any server now, or nil. It
// is asked right before each attempt is sent.
func (s *Suspects) Check(now time.Time, f Fingerprint) *result.Error {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	return s.check(now, f)
}

func (s *Suspects) check(now time.Time, f Fingerprint) *result.Error {
	if refusal := s.refusal(now, f); refusal != nil {
		return refusal
	}
	p, ok := s.suspects.Peek(f)
	if !ok || !p.isSuspect(now) || s.registry.isReleased(f) {
		return nil
	}
	if left := p.lastReport().Add(suspectBackoff).Sub(now); left > 0 {
		return Suspected(f, left)
	}
	return nil
}

// refusal returns the refusal of a quarantined request with the time until the verdict ends,
// or nil.
func (s *Suspects) refusal(now time.Time, f Fingerprint) *result.Error {
	refusal := s.registry.check(now, f)
	if refusal == nil {
		return nil
	}
	if v, ok := s.registry.verdicts.Peek(f); ok {
		refusal.RetryAfter = v.until.Sub(now)
	}
	return refusal
}

// Quarantined returns the refusal of a request with a verdict.
func Quarantined(f Fingerprint, retryAfter time.Duration) *result.Error {
	refusal := result.Errorf(result.Quarantined, "request %s crashed backend servers", f)
	refusal.RetryAfter = retryAfter
	return refusal
}

// Suspected returns the refusal of a request that is held back as a suspect.
func Suspected(f Fingerprint, retryAfter time.Duration) *result.Error {
	refusal := result.Errorf(result.Suspected, "servers crashed under request %s; it is tried again one at a time", f)
	refusal.RetryAfter = retryAfter
	return refusal
}

// IsSuspect reports whether the request is a suspect or quarantined. Its legs must not be
// tried on another server.
func (s *Suspects) IsSuspect(now time.Time, f Fingerprint) bool {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	if s.registry.check(now, f) != nil {
		return true
	}
	p, ok := s.suspects.Peek(f)
	return ok && p.isSuspect(now)
}

// Empty reports whether no request has any report against it.
func (s *Suspects) Empty() bool {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	return s.suspects.Len() == 0 && s.registry.verdicts.Len() == 0
}

// RecordCrash records a crash that this host has seen. It returns the reports on suspects
// that the other hosts do not know yet.
func (s *Suspects) RecordCrash(now time.Time, crash Crash) (announce []PastReport) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.addCrash(now, instance{crash.Name, crash.Incarnation})
	for _, c := range crash.Suspects {
		f := c.Fingerprint
		if answered, ok := s.registry.lastSuccess.Peek(f); ok && !answered.Before(c.Started) {
			continue // another server has answered it meanwhile
		}
		report := Report{Fingerprint: f, Server: crash.Name, Incarnation: crash.Incarnation}
		if p, ok := s.suspects.Peek(f); ok {
			report.Canary = p.isSuspect(now) && c.Started.After(p.since)
		}
		if s.add(now, timedReport{Report: report, at: now}) {
			announce = append(announce, s.takeUnannounced(now, f)...)
		}
	}
	return announce
}

func (s *Suspects) addCrash(at time.Time, server instance) {
	for _, c := range s.crashes {
		if c.instance == server {
			return
		}
	}
	if len(s.crashes) >= maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, timedCrash{server, at})
}

// Merge records a report of another host.
func (s *Suspects) Merge(now time.Time, report PastReport) {
	s.mergePast(now, report.Fingerprint, []PastReport{report})
}

// mergePast records the reports of another host on one request. Those from before its last
// answer don't count.
func (s *Suspects) mergePast(now time.Time, f Fingerprint, reports []PastReport) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	answered, ok := s.registry.lastSuccess.Peek(f)
	if ok && now.Sub(answered) <= answeredGrace {
		return
	}
	for _, report := range reports {
		at := now.Add(-report.Age)
		if ok && at.Before(answered) {
			continue
		}
		report.Fingerprint = f
		s.add(now, timedReport{Report: report.Report, at: at, announced: true})
	}
}

// Findings returns what this host knows of a request.
func (s *Suspects) Findings(now time.Time, f Fingerprint) (findings Findings) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	if p, ok := s.suspects.Peek(f); ok {
		for _, t := range p.reports {
			findings.Reports = append(findings.Reports, PastReport{Report: t.Report, Age: now.Sub(t.at)})
		}
	}
	for _, c := range slices.Backward(s.crashes) {
		if age := now.Sub(c.at); age <= maxCrashAge && len(findings.Crashes) < maxFoundCrashes {
			findings.Crashes = append(findings.Crashes, PastCrash{Server: c.server, Incarnation: c.incarnation, Age: age})
		}
	}
	return findings
}

// merge records what another host knows of a request.
func (s *Suspects) merge(now time.Time, f Fingerprint, findings Findings) {
	s.mergePast(now, f, findings.Reports)
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	for _, c := range findings.Crashes {
		s.addCrash(now.Add(-c.Age), instance{c.Server, c.Incarnation})
	}
}

// decide adds a verdict if the request is proven to crash servers. Only the coordinator
// decides, since it hears of all canaries.
func (s *Suspects) decide(now time.Time, f Fingerprint) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	p, ok := s.suspects.Peek(f)
	if ok && s.registry.check(now, f) == nil && !s.registry.isReleased(f) && s.isProven(now, f, p) {
		s.registry.addVerdict(now, f, p.evidence())
	}
}

// Quarantine adopts the verdict of the coordinator.
func (s *Suspects) Quarantine(now time.Time, f Fingerprint, evidence []PastReport) {
	s.mergePast(now, f, evidence)
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	if p, ok := s.suspects.Peek(f); ok && s.registry.check(now, f) == nil {
		s.registry.addVerdict(now, f, p.evidence())
	}
}

// RetractCrash drops the reports on a server that has not crashed after all.
func (s *Suspects) RetractCrash(server Server) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	for _, f := range s.suspects.Keys() {
		p, _ := s.suspects.Peek(f)
		p.drop(server)
		if len(p.reports) == 0 {
			s.suspects.Remove(f)
		}
	}
}

// RecordAnswer clears a request that a server has run without crashing, at this host or at
// another one.
func (s *Suspects) RecordAnswer(now time.Time, f Fingerprint) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.registry.lastSuccess.Add(f, now)
	if s.suspects.Len() > 0 {
		s.suspects.Remove(f)
	}
	if s.registry.verdicts.Len() > 0 {
		s.registry.verdicts.Remove(f)
	}
}

// add adds a report unless it is known already.
func (s *Suspects) add(now time.Time, report timedReport) bool {
	p, ok := s.suspects.Get(report.Fingerprint)
	if !ok {
		p = &suspect{}
		s.suspects.Add(report.Fingerprint, p)
	}
	p.expire(now)
	if i := slices.IndexFunc(p.reports, func(t timedReport) bool { return t.instance() == report.instance() }); i >= 0 {
		if report.at.Before(p.reports[i].at) { // gossip takes a while
			p.reports[i].at = report.at
		}
		return false
	}
	if len(p.reports) >= maxReports { // the newest may be a canary's; the first are announced
		p.reports = slices.Delete(p.reports, verdictServers, verdictServers+1)
	}
	wasSuspect := p.isSuspect(now)
	p.reports = append(p.reports, report)
	if !wasSuspect && p.isSuspect(now) {
		p.since = now
	}
	return true
}

// takeUnannounced returns the reports that the other hosts need in order to treat the
// request as a suspect: enough servers, and each canary.
func (s *Suspects) takeUnannounced(now time.Time, f Fingerprint) (reports []PastReport) {
	p, ok := s.suspects.Peek(f)
	if !ok || !p.isSuspect(now) {
		return nil
	}
	known := 0
	for i := range p.reports {
		t := &p.reports[i]
		if !t.announced && (t.Canary || known < verdictServers) {
			t.announced = true
			reports = append(reports, PastReport{Report: t.Report, Age: now.Sub(t.at)})
		}
		if t.announced {
			known++
		}
	}
	return reports
}
