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

func newDedupCache[K comparable, V any](ttl time.Duration, limit int) *dedupCache[K, V] {
	return &dedupCache[K, V]{ttl: ttl, limit: limit, entries: make(map[K]V)}
}

// add stores the entry and reports whether the key is new.
func (c *dedupCache[K, V]) add(now time.Time, key K, value V) bool {
	if _, known := c.entries[key]; known {
		return false
	}
	c.entries[key] = value
	c.order = append(c.order, timedKey[K]{key: key, at: now})
	c.expire(now)
	return true
}

func (c *dedupCache[K, V]) expire(now time.Time) {
	drop := 0
	for drop < len(c.order) {
		old := now.Sub(c.order[drop].at) > c.ttl
		if !old && len(c.order)-drop <= c.limit {
			break
		}
		delete(c.entries, c.order[drop].key)
		drop++
	}
	if drop > 0 {
		c.order = append(c.order[:0], c.order[drop:]...)
	}
}

// each calls f for each entry, oldest first.
func (c *dedupCache[K, V]) each(f func(V)) {
	for _, entry := range c.order {
		f(c.entries[entry.key])
	}
}
