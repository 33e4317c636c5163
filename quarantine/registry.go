package quarantine

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// sameEventWindow: an attempt that started sooner after the request's last
	// crash belongs to the same event, such as a power loss of two servers, which the retry
	// that went from one to the other meets as well.
	sameEventWindow = 250 * time.Millisecond
	// massCrashWindow: if another server that did not run the request crashes
	// this close to a crash, the cause is a rack or zone outage.
	massCrashWindow = time.Second
	// minEvents is how many separate events a verdict needs, since one event
	// can be a coincidence; minEventsIfAnswered is the same for a request that
	// was answered lately, which does not crash every server.
	minEvents           = 2
	minEventsIfAnswered = 3
	// extraCrashes above the required number of servers make up for different
	// servers in a service that has too few.
	extraCrashes = 2
	// minBlameLead is the ratio to the blame of any other suspect of the same
	// crashes that a verdict needs. During a tie, suspects run one at a time,
	// and the next success or crash breaks it.
	minBlameLead = 1.5
	// evidenceTTL is how long a crash is remembered: callers resend a lost
	// request within minutes.
	evidenceTTL = 10 * time.Minute

	maxCrashes   = 256
	maxVerdicts  = 4096
	maxSuccesses = 16384
	// suspectBackoff keeps a suspect out of the service after a crash, so that
	// another host's verdict can arrive before it runs again.
	suspectBackoff = time.Second
)

// Registry holds suspicion and verdicts. It is safe for concurrent use.
type Registry struct {
	mu            sync.Mutex
	cfg           *bundle.Config
	crashes       []*recordedCrash                   // oldest first
	suspects      map[Fingerprint]int                // crashes that the request is an uncleared suspect of
	lastSuccess   *lru.Cache[Fingerprint, time.Time] // by request
	lostQueries   []*lostQuery
	verdicts      *lru.Cache[Fingerprint, verdict]
	knownEvidence *lru.Cache[Evidence, struct{}]
}

type recordedCrash struct {
	Crash
	at time.Time
	// cleared are the suspects that have since been answered in the same
	// service; all of them once a verdict explains the crash.
	cleared map[Fingerprint]bool
}

type verdict struct {
	since    time.Time
	until    time.Time
	evidence []Evidence
}

// NewRegistry makes an empty registry.
func NewRegistry(cfg *bundle.Config) *Registry {
	return &Registry{
		cfg:           cfg,
		suspects:      make(map[Fingerprint]int),
		lastSuccess:   newCache[Fingerprint, time.Time](maxSuccesses),
		verdicts:      newCache[Fingerprint, verdict](maxVerdicts),
		knownEvidence: newCache[Evidence, struct{}](maxVerdicts),
	}
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	cache, err := lru.New[K, V](size)
	if err != nil {
		panic(err) // only for a size below one
	}
	return cache
}

// Reconfigure applies the policy and the overrides of a bundle.
func (r *Registry) Reconfigure(cfg *bundle.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg = cfg
}

// Check returns the refusal of a quarantined request, or nil. Every entry host
// calls it before admission. An operator's override takes precedence over the
// verdict, in both directions.
func (r *Registry) Check(now time.Time, f Fingerprint) *result.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.check(now, f)
}

func (r *Registry) check(now time.Time, f Fingerprint) *result.Error {
	if override, ok := r.cfg.Override(f.String()); ok {
		if !override.Refuse {
			return nil
		}
		return result.Errorf(result.Quarantined, "request %s is refused by an operator", f)
	}
	v, ok := r.verdicts.Get(f)
	if !ok {
		return nil
	}
	if now.After(v.until) {
		r.verdicts.Remove(f)
		return nil
	}
	return result.Errorf(result.Quarantined, "request %s crashed backend servers; refused until %s", f, v.until.UTC().Format(time.RFC3339))
}

// CheckLeg is called at the home before a leg is queued. A suspect is kept out
// for suspectBackoff after the crash and then runs one at a time in the
// service. When a caller sends many copies of a request that crashes servers,
// this keeps them from running on every other server after the first crash.
func (r *Registry) CheckLeg(now time.Time, f Fingerprint, service string, tracker *Tracker) *result.Error {
	if refusal := r.Check(now, f); refusal != nil {
		return refusal
	}
	since, suspected := r.sinceLastCrash(now, f, service)
	if !suspected || since >= suspectBackoff && !tracker.InFlight(service, f) {
		return nil
	}
	refusal := result.Errorf(result.Suspected, "request %s is suspected of a crash; it is tried again one at a time", f)
	refusal.RetryAfter = suspectBackoff
	return refusal
}

// IsSuspected reports whether the request may have caused a crash in the service,
// or is refused by a verdict, which clears the crashes that it explains. A leg
// that was lost with its server must not be retried then: it could crash one more.
func (r *Registry) IsSuspected(now time.Time, f Fingerprint, service string) bool {
	if r.Check(now, f) != nil {
		return true
	}
	_, suspected := r.sinceLastCrash(now, f, service)
	return suspected
}

// sinceLastCrash is the time since the last crash in the service of which the
// request is a suspect; false if there is none.
func (r *Registry) sinceLastCrash(now time.Time, f Fingerprint, service string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReleased(f) {
		return 0, false
	}
	if r.suspects[f] == 0 {
		return 0, false
	}
	crashes := r.crashesAgainst(now, f, service)
	if len(crashes) == 0 {
		return 0, false
	}
	return now.Sub(crashes[len(crashes)-1].at), true
}

// isReleased reports whether an operator has declared the request innocent.
func (r *Registry) isReleased(f Fingerprint) bool {
	override, ok := r.cfg.Override(f.String())
	return ok && !override.Refuse
}

// RecordCrash records a crash. It returns the fingerprint that is quarantined for
// it, if any.
func (r *Registry) RecordCrash(now time.Time, crash Crash) (Fingerprint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	r.crashes = append(r.crashes, &recordedCrash{Crash: crash, at: now, cleared: make(map[Fingerprint]bool)})
	for _, suspect := range crash.Suspects {
		r.suspects[suspect.Fingerprint]++
	}
	for _, suspect := range crash.Suspects {
		if r.quarantineIfProven(now, suspect.Fingerprint, crash.Service) {
			return suspect.Fingerprint, true
		}
	}
	return 0, false
}

// expire drops the crashes that are too old or too many.
func (r *Registry) expire(now time.Time) {
	for len(r.crashes) > 0 && (len(r.crashes) >= maxCrashes || now.Sub(r.crashes[0].at) > evidenceTTL) {
		r.clearAll(r.crashes[0])
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
}

func (r *Registry) clear(c *recordedCrash, f Fingerprint) {
	if c.cleared[f] {
		return
	}
	c.cleared[f] = true
	if r.suspects[f]--; r.suspects[f] <= 0 {
		delete(r.suspects, f)
	}
}

func (r *Registry) clearAll(c *recordedCrash) {
	for _, suspect := range c.Suspects {
		r.clear(c, suspect.Fingerprint)
	}
}

// RetractCrash retracts the crash of a server whose same incarnation has answered
// since, together with the verdicts that rest on it.
func (r *Registry) RetractCrash(server Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = slices.DeleteFunc(r.crashes, func(c *recordedCrash) bool {
		if c.Server != server {
			return false
		}
		r.clearAll(c)
		return true
	})
	for _, f := range r.verdicts.Keys() {
		v, _ := r.verdicts.Peek(f)
		if slices.ContainsFunc(v.evidence, func(e Evidence) bool { return e.Server == server.Name && e.Incarnation == server.Incarnation }) {
			r.verdicts.Remove(f)
		}
	}
}

// RecordSuccess clears a request in a service, since it ran there without a
// crash. That may break a tie between the other suspects: it returns the
// fingerprint that is quarantined now, if any.
func (r *Registry) RecordSuccess(now time.Time, f Fingerprint, service string) (Fingerprint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSuccess.Add(f, now)
	if r.suspects[f] == 0 {
		return 0, false
	}
	var others []Fingerprint
	for _, c := range r.crashes {
		if c.Service != service || !c.hasSuspect(f) || c.cleared[f] {
			continue
		}
		r.clear(c, f)
		for _, suspect := range c.Suspects {
			others = append(others, suspect.Fingerprint)
		}
	}
	for _, other := range others {
		if r.quarantineIfProven(now, other, service) {
			return other, true
		}
	}
	return 0, false
}

func (c *recordedCrash) hasSuspect(f Fingerprint) bool {
	return slices.ContainsFunc(c.Suspects, func(suspect Suspect) bool { return suspect.Fingerprint == f })
}

// blame is the request's part of the blame for the crash.
func (c *recordedCrash) blame(f Fingerprint) float64 {
	if !c.hasSuspect(f) || c.cleared[f] {
		return 0
	}
	return 1 / float64(len(c.Suspects))
}
