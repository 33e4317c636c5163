package member

import "time"

// recent remembers the newest entries, bounded in number and in time.
type recent[K comparable, V any] struct {
	keep    time.Duration
	limit   int
	entries map[K]V
	order   []timed[K]
}

type timed[K comparable] struct {
	key K
	at  time.Time
}

func newRecent[K comparable, V any](keep time.Duration, limit int) *recent[K, V] {
	return &recent[K, V]{keep: keep, limit: limit, entries: make(map[K]V)}
}

// add stores the entry and reports whether the key is new.
func (r *recent[K, V]) add(now time.Time, key K, value V) bool {
	if _, known := r.entries[key]; known {
		return false
	}
	r.entries[key] = value
	r.order = append(r.order, timed[K]{key: key, at: now})
	r.expire(now)
	return true
}

func (r *recent[K, V]) expire(now time.Time) {
	drop := 0
	for drop < len(r.order) {
		old := now.Sub(r.order[drop].at) > r.keep
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

// each calls f for every entry, oldest first.
func (r *recent[K, V]) each(f func(V)) {
	for _, entry := range r.order {
		f(r.entries[entry.key])
	}
}
