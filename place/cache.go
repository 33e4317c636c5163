package place

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspan/goldcrestspan/member"
)

// Cache keeps the Homes of the latest view. Views are published often, for
// load and liveness; homes change only with the set of serving hosts or with
// the services, so most views cost a pass over the hosts and no placement.
// It is safe for concurrent use.
type Cache struct {
	latest atomic.Pointer[cached]
}

type cached struct {
	view     *member.View
	services []Service
	serving  uint64
	homes    *Homes
}

// Homes returns the placement for the view and the services. The services
// must not be changed afterwards: a new set comes in a new slice.
func (c *Cache) Homes(view *member.View, services []Service) *Homes {
	old := c.latest.Load()
	if old != nil && old.view == view && sameSlice(old.services, services) {
		return old.homes
	}
	next := &cached{view: view, services: services, serving: servingHash(view)}
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

// servingHash changes whenever the set of serving hosts or a host's place does.
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
