package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against slow joins when a whole fleet starts at once and its seeds last:
// all hosts must have complete views within 1.3 s.
func TestFleetStartCompletesViews(t *testing.T) {
	is := is.New(t)
	const hosts, seeds = 83, 3
	s := newSimulation(1)
	var addresses []string
	for i := range seeds {
		addresses = append(addresses, fmt.Sprintf("host-%04d:7700", hosts-1-i))
	}
	start := func(i int) {
		h := s.start(fmt.Sprintf("host-%04d", i), "region-0", fmt.Sprintf("zone-%d", i%3))
		h.config.Seeds = addresses
	}
	for i := range hosts - seeds {
		start(i)
	}
	s.run(300 * time.Millisecond)
	for i := hosts - seeds; i < hosts; i++ {
		start(i)
	}
	took, ok := s.runUntil(5*time.Second, func() bool {
		for _, h := range s.hosts {
			if len(h.sorted) < hosts || !h.joined {
				return false
			}
		}
		return true
	})
	is.True(ok)
	t.Logf("all views complete after %v", took)
	is.True(took <= 1300*time.Millisecond)
}

// Guards against a host that never hears of requests that crash servers, because it joins through
// hosts that have just started too: it would send such a request to all shards.
func TestHostThatJoinsThroughNewHostsLearnsOfSuspects(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		s := newSimulation(seed)
		s.addHosts(8, 1, 3)
		s.hosts[3].AnnounceSuspectRequest(s.now, SuspectRequestUpdate{Fingerprint: 7, Server: "a"})
		s.run(time.Minute)
		is.True(s.all(func(h *simHost) bool { return len(h.seenRequests.entries) == 1 }))
		for _, i := range []int{0, 4, 7} { // the seeds, and one host more
			old := s.hosts[i]
			s.start(string(old.self.ID), old.region, old.zone)
		}
		_, ok := s.runUntil(10*time.Second, func() bool {
			return s.all(func(h *simHost) bool { return len(h.seenRequests.entries) == 1 })
		})
		is.True(ok)
	}
}
