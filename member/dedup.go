package member

import (
	"slices"
	"time"
)

// dedupCache holds recent entries, bounded in number and age. The age counts from the
// first announcement in the fleet, so that all hosts drop an entry at about the same
// time and none takes it from another as new.
type dedupCache[K comparable, V any] struct {
	ttl     time.Duration
	limit   int
	entries map[K]V
	order   []timedKey[K] // oldest first
}

type timedKey[K comparable] struct {
	key K
	at  time.Time // of the first announcement
}

func newDedupCache[K comparable, V any](ttl time.Duration, limit int) *dedupCache[K, V] {
	return &dedupCache[K, V]{ttl: ttl, limit: limit, entries: make(map[K]V)}
}

// add stores an entry that was first announced at that time, and reports whether the
// key is new. An entry that would be the first to be dropped is not stored.
func (c *dedupCache[K, V]) add(now, announcedAt time.Time, key K, value V) bool {
	if _, known := c.entries[key]; known {
		return false
	}
	c.expire(now)
	at, _ := slices.BinarySearchFunc(c.order, announcedAt, func(entry timedKey[K], t time.Time) int {
		if entry.at.After(t) {
			return 1
		}
		return -1 // behind entries of the same time
	})
	if now.Sub(announcedAt) > c.ttl || (at == 0 && len(c.order) >= c.limit) {
		return false
	}
	c.entries[key] = value
	c.order = slices.Insert(c.order, at, timedKey[K]{key: key, at: announcedAt})
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

// each calls f for each entry that was announced within the age, oldest first.
func (c *dedupCache[K, V]) each(now time.Time, age time.Duration, f func(key K, announcedAt time.Time, value V)) {
	for _, entry := range c.order {
		if now.Sub(entry.at) <= age {
			f(entry.key, entry.at, c.entries[entry.key])
		}
	}
}
