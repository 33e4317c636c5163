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
	// sameEventFor: an attempt that started sooner after the request's last
	// death belongs to the same event. Two servers that lose power together
	// are noticed within it, also by the retry that went from one to the other.
	sameEventFor = 250 * time.Millisecond
	// massDeathFor: a death beside which another server died without running
	// the request is a rack's or a zone's, and says nothing of the request.
	massDeathFor = time.Second
	// leastEvents is how many separate events a verdict needs: any one event
	// can be a coincidence. provenEvents is the same for a request that was
	// answered lately: it is not one that crashes each server that runs it.
	leastEvents  = 2
	provenEvents = 3
	// extraDeaths more than the wanted number of servers stand for different
	// servers where a service has too few of them.
	extraDeaths = 2
	// clearLead is how many times the blame of any other suspect of the same
	// deaths a verdict needs. While it is a tie, suspects run one at a time;
	// the next success or the next death breaks it.
	clearLead = 1.5
	// evidenceFor is how long a death is remembered: callers that send a
	// lost request again do so within minutes.
	evidenceFor = 10 * time.Minute

	maxDeaths   = 256
	maxVerdicts = 4096
	maxProven   = 16384
	// suspectPause keeps a suspect out of the service after a death, so that a
	// verdict of another host arrives before it runs again; it is also when a
	// suspect that already runs may be sent again.
	suspectPause = time.Second
)

// Registry holds suspicion and verdicts.
type Registry struct {
	mu       sync.Mutex
	cfg      *bundle.Config
	deaths   []*recorded                        // oldest first
	suspects map[Fingerprint]int                // deaths that name the request and don't clear it
	proven   *lru.Cache[Fingerprint, time.Time] // last answer
	lost     []*lostQuery
	verdicts *lru.Cache[Fingerprint, verdict]
	absorbed *lru.Cache[Evidence, struct{}]
}

type recorded struct {
	Crash
	at time.Time
	// cleared are requests that have answered since in the same service, or
	// whose part another request's verdict has explained.
	cleared map[Fingerprint]bool
}

type verdict struct {
	since    time.Time
	until    time.Time
	evidence []Evidence
}

// NewRegistry makes an empty book.
func NewRegistry(cfg *bundle.Config) *Registry {
	return &Registry{
		cfg:      cfg,
		suspects: make(map[Fingerprint]int),
		proven:   newCache[Fingerprint, time.Time](maxProven),
		verdicts: newCache[Fingerprint, verdict](maxVerdicts),
		absorbed: newCache[Evidence, struct{}](maxVerdicts),
	}
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	cache, err := lru.New[K, V](size)
	if err != nil {
		panic(err) // only for a size below one
	}
	return cache
}

// Reconfigure takes over policy and overrides of a bundle.
func (b *Registry) Reconfigure(cfg *bundle.Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg = cfg
}

// Check is asked on every entry host before a request is admitted. An
// operator's override outranks the verdict, in both directions.
func (b *Registry) Check(now time.Time, f Fingerprint) *result.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if override, ok := b.cfg.Override(f.String()); ok {
		if !override.Refuse {
			return nil
		}
		return result.Errorf(result.Quarantined, "request %s is refused by an operator", f)
	}
	v, ok := b.verdicts.Get(f)
	if !ok {
		return nil
	}
	if now.After(v.until) {
		b.verdicts.Remove(f)
		return nil
	}
	return result.Errorf(result.Quarantined, "request %s crashed backend servers; refused until %s", f, v.until.UTC().Format(time.RFC3339))
}

// CheckLeg is asked at the home before a leg is queued. A suspect stays out
// for a second after the death and then runs one at a time in the service, so
// that each end says something about it alone.
//
// Load: a caller sends a poison request many times at once. Harm prevented:
// after the first death its copies run on every other server of the service.
func (b *Registry) CheckLeg(now time.Time, f Fingerprint, service string, runs *Tracker) *result.Error {
	if refusal := b.Check(now, f); refusal != nil {
		return refusal
	}
	since, suspected := b.suspectedSince(now, f, service)
	if !suspected || since >= suspectPause && !runs.InFlight(service, f) {
		return nil
	}
	refusal := result.Errorf(result.Suspected, "request %s is suspected of a crash; it is tried again one at a time", f)
	refusal.RetryAfter = suspectPause
	return refusal
}

// IsSuspected reports whether a death in the service may be the request's
// doing. A leg that was lost with its server should not be retried then: the
// caller may send the whole request again.
//
// Failure: the death that gives the verdict explains the deaths before it, so that
// none is open any more. The leg that was lost with it looks innocent, is retried, and
// takes a third server down after the verdict. The guard holds because a verdict in
// force is asked for as well.
func (b *Registry) IsSuspected(now time.Time, f Fingerprint, service string) bool {
	if b.Check(now, f) != nil {
		return true
	}
	_, suspected := b.suspectedSince(now, f, service)
	return suspected
}

func (b *Registry) suspectedSince(now time.Time, f Fingerprint, service string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if override, ok := b.cfg.Override(f.String()); ok && !override.Refuse {
		return 0, false
	}
	if b.suspects[f] == 0 {
		return 0, false
	}
	deaths := b.against(now, f, service)
	if len(deaths) == 0 {
		return 0, false
	}
	return now.Sub(deaths[len(deaths)-1].at), true
}

// RecordCrash takes a death in. It returns the fingerprint that is condemned by it.
func (b *Registry) RecordCrash(now time.Time, death Crash) (Fingerprint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	b.deaths = append(b.deaths, &recorded{Crash: death, at: now, cleared: make(map[Fingerprint]bool)})
	for _, blame := range death.Suspects {
		b.suspects[blame.Fingerprint]++
	}
	for _, blame := range death.Suspects {
		if b.condemn(now, blame.Fingerprint, death.Service) {
			return blame.Fingerprint, true
		}
	}
	return 0, false
}

// forget drops the deaths that are too old or too many.
func (b *Registry) forget(now time.Time) {
	for len(b.deaths) > 0 && (len(b.deaths) >= maxDeaths || now.Sub(b.deaths[0].at) > evidenceFor) {
		b.clearAll(b.deaths[0])
		b.deaths = slices.Delete(b.deaths, 0, 1)
	}
}

func (b *Registry) clear(d *recorded, f Fingerprint) {
	if d.cleared[f] {
		return
	}
	d.cleared[f] = true
	if b.suspects[f]--; b.suspects[f] <= 0 {
		delete(b.suspects, f)
	}
}

func (b *Registry) clearAll(d *recorded) {
	for _, blame := range d.Suspects {
		b.clear(d, blame.Fingerprint)
	}
}

// RetractCrash takes a death back: the same life of the server has answered since.
// Verdicts that rested on it go with it.
func (b *Registry) RetractCrash(server Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deaths = slices.DeleteFunc(b.deaths, func(d *recorded) bool {
		if d.Server != server {
			return false
		}
		b.clearAll(d)
		return true
	})
	for _, f := range b.verdicts.Keys() {
		v, _ := b.verdicts.Peek(f)
		if slices.ContainsFunc(v.evidence, func(n Evidence) bool { return n.Server == server.Name && n.Incarnation == server.Incarnation }) {
			b.verdicts.Remove(f)
		}
	}
}

// RecordSuccess clears a request in a service: it ran there and the server lived.
// That may break a tie between the other suspects.
func (b *Registry) RecordSuccess(now time.Time, f Fingerprint, service string) (Fingerprint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.proven.Add(f, now)
	if b.suspects[f] == 0 {
		return 0, false
	}
	var rest []Fingerprint
	for _, d := range b.deaths {
		if d.Service != service || !d.names(f) || d.cleared[f] {
			continue
		}
		b.clear(d, f)
		for _, blame := range d.Suspects {
			rest = append(rest, blame.Fingerprint)
		}
	}
	for _, other := range rest {
		if b.condemn(now, other, service) {
			return other, true
		}
	}
	return 0, false
}

func (d *recorded) names(f Fingerprint) bool {
	return slices.ContainsFunc(d.Suspects, func(blame Suspect) bool { return blame.Fingerprint == f })
}

// share is the request's part of the blame for the death.
func (d *recorded) share(f Fingerprint) float64 {
	if !d.names(f) || d.cleared[f] {
		return 0
	}
	return 1 / float64(len(d.Suspects))
}
