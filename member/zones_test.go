package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// crossing is the share of probing partners, over the fleet, that are in other zones.
func crossing(s *simulation) float64 {
	cross, all := 0, 0
	for _, n := range s.list {
		for _, r := range n.partners {
			all++
			if r.Zone != n.zone {
				cross++
			}
		}
	}
	return float64(cross) / float64(all)
}

// loseZone kills the zone's hosts and returns when all others suspect more than half of
// them: entry.Carriers advises none of them from then on.
func loseZone(s *simulation, zone string, within time.Duration) (time.Duration, bool) {
	for _, n := range s.list {
		if n.zone == zone {
			n.kill()
		}
	}
	return s.runUntil(within, func() bool {
		return s.all(func(n *node) bool {
			alive, all := 0, 0
			for _, h := range n.View().Hosts {
				if h.Zone != zone {
					continue
				}
				all++
				if h.State == StateAlive {
					alive++
				}
			}
			return 2*alive < all
		})
	})
}

// The users pay for bytes between zones, and in a fleet of 75 hosts each probed four
// others across zones: most of what crossed on a calm day. A zone of many hosts needs few
// links of each; one of few hosts needs more. Either way a zone that is lost must be
// known everywhere before callers have been sent there for eight seconds.
func TestLargeZonesProbeLittleAcross(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		hosts int
		most  float64
	}{{75, 0.12}, {300, 0.12}, {30, 0.35}} {
		s := newSimulation(uint64(c.hosts))
		s.fleet(c.hosts, 1, 3)
		s.run(20 * time.Second)
		is.True(crossing(s) <= c.most)
		took, known := loseZone(s, "zone-0a", 8*time.Second)
		is.True(known)
		t.Logf("%d hosts: known after %v", c.hosts, took)
	}
}
