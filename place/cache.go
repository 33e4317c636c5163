package place

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspan/goldcrestspan/member"
)

// Cache keeps the Homes of the latest view. Most new views change only load or
// liveness; the placement is recomputed only if the set of serving hosts or the
// services changed. It is safe for concurrent use.
type Cache struct {
	latest atomic.Pointer[cacheEntry]
}

type cacheEntry struct {
	view     *member.View
	services []Service
	serving  uint64 // servingHash of the view
	homes    *Homes
}

// Homes returns the placement for the view and the services. The slice of services must
// not be modified afterwards.
func (c *Cache) Homes(view *member.View, services []Service) *Homes {
	old := c.latest.Load()
	if old != nil && old.view == view && sameSlice(old.services, services) {
		return old.homes
	}
	next := &cacheEntry{view: view, services: services, serving: servingHash(view)}
	if old != nil && old.serving == next.serving && sameSlice(old.services, services) {
		next.homes = old.homes
	} else {
		next.homes = New(view, services)
	}
	c.latest.Store(next)
	return next.homes
}

func sameSlice(a, b []Service) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// servingHash is a hash of the serving hosts and their zones.
func servingHash(view *member.View) uint64 {
	digest := xxhash.New()
	for i := range view.Hosts {
		host := &view.Hosts[i]
		if !host.Serving() {
			continue
		}
		for _, field := range [...]string{string(host.ID), host.Region, host.Zone} {
			_, _ = digest.WriteString(field)
			_, _ = digest.Write([]byte{0})
		}
	}
	return digest.Sum64()
}
