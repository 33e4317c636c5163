package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// crossZoneShare is the share of neighbors in other zones, over the whole fleet.
func crossZoneShare(s *simulation) float64 {
	crossZone, all := 0, 0
	for _, h := range s.hosts {
		for _, r := range h.neighbors {
			all++
			if r.Zone != h.zone {
				crossZone++
			}
		}
	}
	return float64(crossZone) / float64(all)
}

// loseZone kills the zone's hosts and returns when all other hosts suspect more than
// half of them, from which on entry.AdvisedHosts avoids the zone.
func loseZone(s *simulation, zone string, within time.Duration) (time.Duration, bool) {
	for _, h := range s.hosts {
		if h.zone == zone {
			h.kill()
		}
	}
	return s.runUntil(within, func() bool {
		return s.all(func(h *simHost) bool {
			alive, all := 0, 0
			for _, entry := range h.View().Hosts {
				if entry.Zone != zone {
					continue
				}
				all++
				if entry.State == StateAlive {
					alive++
				}
			}
			return 2*alive < all
		})
	})
}

// Guards against cross-zone probe traffic, which is billed, beyond what detects a lost
// zone within eight seconds.
func TestCrossZoneProbesAreLimited(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		hosts    int
		maxShare float64
	}{{75, 0.12}, {300, 0.12}, {30, 0.35}} {
		s := newSimulation(uint64(c.hosts))
		s.addHosts(c.hosts, 1, 3)
		s.run(20 * time.Second)
		is.True(crossZoneShare(s) <= c.maxShare)
		took, known := loseZone(s, "zone-0a", 8*time.Second)
		is.True(known)
		t.Logf("%d hosts: known after %v", c.hosts, took)
	}
}
