package quarantine

import (
	"slices"
	"time"
)

// Evidence tells other hosts of a verdict: one death that it rests on. It has the
// fields of the membership's SuspectRequestNews.
type Evidence struct {
	Fingerprint Fingerprint
	Server      string
	Incarnation uint64
	InFlight    uint32 // how many requests shared the blame
}

// ActiveEvidence lists the verdicts in force, for hosts that do not know them yet.
func (b *Registry) ActiveEvidence(now time.Time) []Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	var news []Evidence
	for _, f := range b.verdicts.Keys() {
		if v, ok := b.verdicts.Peek(f); ok && !now.After(v.until) {
			news = append(news, v.evidence...)
		}
	}
	return news
}

// Merge takes another host's verdicts over and returns what was new, to be
// passed on. Each piece of evidence counts once: after the verdict has
// expired, a late or repeated piece does not bring it back.
func (b *Registry) Merge(now time.Time, news []Evidence) []Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	var fresh []Evidence
	for _, n := range news {
		if b.absorbed.Contains(n) {
			continue
		}
		b.absorbed.Add(n, struct{}{})
		fresh = append(fresh, n)
		v, ok := b.verdicts.Peek(n.Fingerprint)
		if !ok {
			v = verdict{since: now, until: now.Add(time.Duration(b.cfg.Policy.QuarantineDuration))}
		}
		v.evidence = append(slices.Clone(v.evidence), n)
		b.verdicts.Add(n.Fingerprint, v)
	}
	return fresh
}

// Entry is one verdict for the operators' view.
type Entry struct {
	Fingerprint Fingerprint `json:"-"`
	Hex         string      `json:"fingerprint"`
	Since       time.Time   `json:"since"`
	Until       time.Time   `json:"until"`
	Servers     []string    `json:"servers"`
}

// Entries lists the verdicts in force, the newest last.
func (b *Registry) Entries(now time.Time) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var entries []Entry
	for _, f := range b.verdicts.Keys() {
		v, ok := b.verdicts.Peek(f)
		if !ok || now.After(v.until) {
			continue
		}
		entry := Entry{Fingerprint: f, Hex: f.String(), Since: v.since, Until: v.until}
		for _, n := range v.evidence {
			entry.Servers = append(entry.Servers, n.Server)
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return a.Since.Compare(b.Since) })
	return entries
}
