package quarantine

import (
	"slices"
	"time"
)

// Evidence is one crash that a verdict rests on, as hosts exchange it. It has the
// fields of the membership's SuspectRequestNews.
type Evidence struct {
	Fingerprint Fingerprint
	Server      string
	Incarnation uint64
	InFlight    uint32 // number of suspects of the crash
}

// ActiveEvidence lists the evidence of the verdicts in force, to be sent to other hosts.
func (r *Registry) ActiveEvidence(now time.Time) []Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Evidence
	for _, f := range r.verdicts.Keys() {
		if v, ok := r.verdicts.Peek(f); ok && !now.After(v.until) {
			all = append(all, v.evidence...)
		}
	}
	return all
}

// Merge adds the verdicts of another host and returns the evidence that was
// new. Each piece of evidence counts once: a late or repeated one does not
// revive an expired verdict.
func (r *Registry) Merge(now time.Time, received []Evidence) []Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fresh []Evidence
	for _, e := range received {
		if r.knownEvidence.Contains(e) {
			continue
		}
		r.knownEvidence.Add(e, struct{}{})
		fresh = append(fresh, e)
		v, ok := r.verdicts.Peek(e.Fingerprint)
		if !ok {
			v = verdict{since: now, until: now.Add(time.Duration(r.cfg.Policy.QuarantineDuration))}
		}
		v.evidence = append(slices.Clone(v.evidence), e)
		r.verdicts.Add(e.Fingerprint, v)
	}
	return fresh
}

// Entry is one verdict as operators see it.
type Entry struct {
	Fingerprint Fingerprint `json:"-"`
	Hex         string      `json:"fingerprint"`
	Since       time.Time   `json:"since"`
	Until       time.Time   `json:"until"`
	Servers     []string    `json:"servers"`
}

// Entries lists the verdicts in force, oldest first.
func (r *Registry) Entries(now time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []Entry
	for _, f := range r.verdicts.Keys() {
		v, ok := r.verdicts.Peek(f)
		if !ok || now.After(v.until) {
			continue
		}
		entry := Entry{Fingerprint: f, Hex: f.String(), Since: v.since, Until: v.until}
		for _, e := range v.evidence {
			entry.Servers = append(entry.Servers, e.Server)
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return a.Since.Compare(b.Since) })
	return entries
}
