package member

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against live hosts declared dead under 2% message loss with 5% of the hosts
// paused for 2 s at any time.
func TestNoFalseDeathUnderLossAndPauses(t *testing.T) {
	lengths := map[int]time.Duration{7: time.Hour, 200: 2 * time.Minute}
	if os.Getenv(longEnv) != "" {
		lengths = map[int]time.Duration{7: time.Hour, 50: time.Hour, 200: time.Hour}
	}
	for hosts, length := range lengths {
		t.Run(strconv.Itoa(hosts), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(2)
			s.loss = 0.02
			s.addHosts(hosts, regionCount(hosts), 4)
			const pause = 2 * time.Second
			for range int(length / pause) {
				for _, h := range s.hosts {
					resumed := h.pausedUntil.Equal(s.now) // two pauses in a row would be one of 4 s
					if !resumed && s.rng.Float64() < 0.05 {
						s.pause(h, pause)
					}
				}
				s.run(pause)
			}
			var suspicions, deaths uint64
			for _, h := range s.hosts {
				suspicions += h.counters.Suspicions
				deaths += h.counters.Deaths
			}
			t.Logf("%d hosts, %v: %d suspicions, %d deaths", hosts, length, suspicions, deaths)
			is.True(hosts > smallFleetSize || suspicions > 0)
			is.Equal(deaths, uint64(0))
		})
	}
}

// Guards against hosts that keep an old configuration: under 2% message loss a new
// one must be in force on all hosts within 4 s, its pull included.
func TestConfigurationReachesAllHostsInTime(t *testing.T) {
	is := is.New(t)
	for _, hosts := range fleetSizes() {
		s := newSimulation(6)
		s.loss = 0.02
		s.onConfig = pullFrom(s)
		s.addHosts(hosts, regionCount(hosts), 4)
		s.run(10 * time.Second)
		var worst time.Duration
		for generation := range uint64(5) {
			s.hosts[0].AnnounceConfig(s.now, generation+1, make([]byte, 32))
			took, everywhere := s.runUntil(10*time.Second, func() bool {
				return s.all(func(h *simHost) bool { return h.announced.GetGeneration() == generation+1 })
			})
			is.True(everywhere)
			worst = max(worst, took)
			s.run(time.Second)
		}
		t.Logf("%4d hosts: worst of 5 changes %v", hosts, worst)
		is.True(worst < 4*time.Second)
	}
}

// Guards against hosts that send work to a leaving backend server because its update
// reached them later than 3 s.
func TestLeavingBackendReachesAllHostsInTime(t *testing.T) {
	is := is.New(t)
	for _, hosts := range fleetSizes() {
		s := newSimulation(8)
		s.loss = 0.02
		s.addHosts(hosts, regionCount(hosts), 4)
		s.run(10 * time.Second)
		s.hosts[0].AnnounceBackend(s.now, BackendUpdate{Server: "s", Incarnation: 1})
		took, heard := s.runUntil(10*time.Second, func() bool {
			return s.all(func(h *simHost) bool { return len(h.seenBackends.entries) == 1 })
		})
		is.True(heard)
		t.Logf("%4d hosts: %v", hosts, took)
		is.True(took < 3*time.Second)
	}
}

// Guards against a gossip budget too small for the loss of an availability zone or
// the healing of a region partition, and against hosts lost within their own region.
func TestZoneLossAndRegionSplitAtEverySize(t *testing.T) {
	is := is.New(t)
	for _, hosts := range fleetSizes()[1:] {
		s := newSimulation(51)
		s.addHosts(hosts, 2, 4)
		s.run(10 * time.Second)
		lost := 0
		for _, h := range s.hosts {
			if h.zone == "zone-0a" {
				h.kill()
				lost++
			}
		}
		s.bytes = 0
		detected := s.secondsUntil(120, func(h *simHost) bool { return len(h.dead) == lost })
		detectedBytes := 2 * s.bytes / uint64(hosts-lost)

		s.blocked = func(from, to *simHost) bool { return from.region != to.region }
		onlyZoneLost := func(h *simHost) bool {
			for _, r := range h.dead {
				if r.Region == h.region && r.Zone != "zone-0a" {
					return false
				}
			}
			return true
		}
		s.run(time.Minute)
		is.True(s.all(onlyZoneLost))
		s.blocked = nil
		s.bytes = 0
		healed := s.secondsUntil(600, func(h *simHost) bool { return len(h.dead) == lost })
		healedBytes := 2 * s.bytes / uint64(hosts-lost)
		t.Logf("%4d hosts: %d lost, known to all after %d s, %d KB a host; partition healed after %d s, %d KB a host",
			hosts, lost, detected, detectedBytes>>10, healed, healedBytes>>10)
		is.True(detected < 120)
		is.True(healed < 600)
	}
}

// secondsUntil runs whole seconds until the condition holds on every host.
func (s *simulation) secondsUntil(limit int, condition func(*simHost) bool) int {
	for second := range limit {
		if s.all(condition) {
			return second
		}
		s.run(time.Second)
	}
	return limit
}
