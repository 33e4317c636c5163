package member

import "time"

// dedupCache holds recent entries, bounded in number and age.
type dedupCache[K comparable, V any] struct {
	ttl     time.Duration
	limit   int
	entries map[K]V
	order   []timedKey[K]
}

type timedKey[K comparable] struct {
	key K
	at  time.Time
}

func newDedupCache[K comparable, V any](keep time.Duration, limit int) *dedupCache[K, V] {
	return &dedupCache[K, V]{ttl: keep, limit: limit, entries: make(map[K]V)}
}

// add stores the entry and reports whether the key is new.
func (r *dedupCache[K, V]) add(now time.Time, key K, value V) bool {
	if _, known := r.entries[key]; known {
		return false
	}
	r.entries[key] = value
	r.order = append(r.order, timedKey[K]{key: key, at: now})
	r.expire(now)
	return true
}

func (r *dedupCache[K, V]) expire(now time.Time) {
	drop := 0
	for drop < len(r.order) {
		old := now.Sub(r.order[drop].at) > r.ttl
		if !old && len(r.order)-drop <= r.limit {
			break
		}
		delete(r.entries, r.order[drop].key)
		drop++
	}
	if drop > 0 {
		r.order = append(r.order[:0], r.order[drop:]...)
	}
}

// each calls f for each entry, oldest first.
func (r *dedupCache[K, V]) each(f func(V)) {
	for _, entry := range r.order {
		f(r.entries[entry.key])
	}
}
