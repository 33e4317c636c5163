package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against slow detection of a killed host, which keeps getting requests: in a
// fleet of 7 all hosts must declare it dead within 5 s.
func TestKilledHostIsDetectedWithinFiveSeconds(t *testing.T) {
	is := is.New(t)
	var worst time.Duration
	for seed := range uint64(2000) {
		s := newSimulation(seed)
		s.addHosts(7, 1, 3)
		s.run(5*time.Second + time.Duration(seed)*7*time.Millisecond)
		victim := s.hosts[3]
		victim.kill()
		took, known := s.runUntil(10*time.Second, func() bool {
			return s.all(func(h *simHost) bool { return h.stateOf(victim.self.ID) == StateDead })
		})
		is.True(known)
		worst = max(worst, took)
		is.Equal(s.falseDeaths(), uint64(0))
	}
	t.Logf("worst of 2,000 seeds: %v", worst)
	is.True(worst < 5*time.Second)
}

// Guards against a host that declares the others dead when it resumes from a pause
// with all timers expired. It must suspect none, refute its own death and serve again.
func TestPausedHostDeclaresNoHostDead(t *testing.T) {
	for _, length := range []time.Duration{10 * time.Second, 60 * time.Second} {
		is := is.New(t)
		s := newSimulation(7)
		s.addHosts(7, 1, 3)
		s.run(5 * time.Second)
		paused := s.hosts[2]
		s.pause(paused, length)
		s.run(length - time.Second)
		is.True(s.all(func(h *simHost) bool { return h == paused || h.stateOf(paused.self.ID) == StateDead }))
		s.run(1100 * time.Millisecond)
		is.Equal(paused.serving(), 7)
		is.True(CutOff(s.now, Contact{StartedAt: simStart, LastPeerContact: simStart}, 4*time.Second))
		took, healed := s.runUntil(10*time.Second, func() bool {
			return s.all(func(h *simHost) bool { return h.serving() == 7 })
		})
		is.True(healed)
		is.True(paused.counters.Pauses > 0)
		is.Equal(paused.counters.Suspicions, uint64(0))
		t.Logf("paused %v: serving in every view after %v", length, took)
	}
}

// Guards against views that keep the hosts of a lost availability zone, drop other
// hosts with them, or don't take the zone back.
func TestZoneLossAndReturn(t *testing.T) {
	is := is.New(t)
	s := newSimulation(11)
	s.addHosts(48, 2, 4)
	s.run(5 * time.Second)
	lost := func(h *simHost) bool { return h.zone == "zone-0a" }
	for _, h := range s.hosts {
		if lost(h) {
			h.kill()
		}
	}
	took, known := s.runUntil(20*time.Second, func() bool {
		return s.all(func(h *simHost) bool { return h.serving() == 42 })
	})
	is.True(known)
	t.Logf("6 of 48 hosts dead in every view after %v", took)
	is.Equal(s.falseDeaths(), uint64(0))
	for _, h := range s.hosts {
		if lost(h) {
			s.start(string(h.self.ID), h.region, h.zone)
		}
	}
	took, back := s.runUntil(20*time.Second, func() bool {
		return s.all(func(h *simHost) bool { return h.serving() == 48 })
	})
	is.True(back)
	t.Logf("48 in every view %v after the restart", took)
}

// Guards against a partition between regions that removes hosts of the same region
// from a view, or that does not heal when the link is back.
func TestRegionPartitionHeals(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3)
	s.addHosts(24, 2, 4)
	s.run(5 * time.Second)
	s.blocked = func(from, to *simHost) bool { return from.region != to.region }
	for range 60 {
		s.run(time.Minute)
		is.True(s.all(func(h *simHost) bool { return h.serving() == 12 && !h.View().Minority }))
	}
	s.blocked = nil
	took, healed := s.runUntil(2*time.Minute, func() bool {
		return s.all(func(h *simHost) bool { return h.serving() == 24 })
	})
	is.True(healed)
	t.Logf("24 hosts in every view %v after the link was back", took)
}

// Guards against a minority partition without the store that keeps serving with an
// old configuration. The majority side must keep serving.
func TestMinorityPartitionWithoutStoreIsCutOff(t *testing.T) {
	is := is.New(t)
	s := newSimulation(5)
	s.addHosts(7, 1, 3)
	s.run(5 * time.Second)
	small := map[*simHost]bool{s.hosts[0]: true, s.hosts[4]: true}
	s.blocked = func(from, to *simHost) bool { return small[from] != small[to] }
	began := s.now
	s.run(10 * time.Second)
	cutOff := func(h *simHost) bool {
		contact := Contact{StartedAt: simStart, LastPeerContact: h.LastPeerContact(), Minority: h.View().Minority}
		contact.LastStoreContact = s.now
		if small[h] {
			contact.LastStoreContact = began
		}
		return CutOff(s.now, contact, 4*time.Second)
	}
	is.True(s.all(func(h *simHost) bool { return cutOff(h) == small[h] }))
	is.True(s.all(func(h *simHost) bool { return small[h] || h.serving() == 5 }))
	is.True(s.all(func(h *simHost) bool { return !small[h] || h.serving() == 7 })) // published as suspects
	s.blocked = nil
	took, healed := s.runUntil(time.Minute, func() bool {
		return s.all(func(h *simHost) bool { return h.serving() == 7 && !cutOff(h) })
	})
	is.True(healed)
	t.Logf("healed after %v", took)
}

// Guards against a host with a one-way link that gets other hosts declared dead.
func TestOneWayLinkAffectsOnlyItsHost(t *testing.T) {
	for name, blocked := range map[string]func(affected *simHost, from, to *simHost) bool{
		"nothing comes in": func(affected, _, to *simHost) bool { return to == affected },
		"nothing goes out": func(affected, from, _ *simHost) bool { return from == affected },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(9)
			s.addHosts(7, 1, 3)
			s.run(5 * time.Second)
			affected := s.hosts[1]
			s.blocked = func(from, to *simHost) bool { return blocked(affected, from, to) }
			for range 60 {
				s.run(time.Second)
				is.True(s.all(func(h *simHost) bool { return h.serving() >= 6 }))
			}
			is.True(s.all(func(h *simHost) bool { return h == affected || h.stateOf(affected.self.ID) == StateDead }))
			is.Equal(affected.serving(), 7)
			contact := Contact{StartedAt: simStart, LastPeerContact: affected.LastPeerContact()}
			is.True(CutOff(s.now, contact, 4*time.Second))
			s.blocked = nil
			_, healed := s.runUntil(time.Minute, func() bool {
				return s.all(func(h *simHost) bool { return h.serving() == 7 })
			})
			is.True(healed)
		})
	}
}

// Guards against a broken link between two hosts that gets either declared dead.
func TestBrokenLinkBetweenTwoHostsIsNoDeath(t *testing.T) {
	is := is.New(t)
	s := newSimulation(4)
	s.addHosts(7, 1, 3)
	a, b := s.hosts[0], s.hosts[6]
	s.blocked = func(from, to *simHost) bool { return (from == a && to == b) || (from == b && to == a) }
	s.run(5 * time.Minute)
	is.True(s.all(func(h *simHost) bool { return h.serving() == 7 }))
	var deaths uint64
	for _, h := range s.hosts {
		deaths += h.counters.Deaths
	}
	is.Equal(deaths, uint64(0))
}

// Guards against late messages of a killed process that affect the new process at the
// same address.
func TestRestartAtTheSameAddress(t *testing.T) {
	is := is.New(t)
	s := newSimulation(21)
	s.duplicate = 0.5 // each delayed by up to 10 s
	s.addHosts(7, 1, 3)
	s.run(10 * time.Second)
	old := s.hosts[3]
	old.kill()
	s.run(300 * time.Millisecond)
	renewed := s.start(string(old.self.ID), old.region, old.zone)
	is.True(renewed.self.Incarnation != old.self.Incarnation)
	current := func() bool {
		return s.all(func(h *simHost) bool {
			entry, found := h.View().Find(renewed.self.ID)
			return found && entry.Serving() && entry.Incarnation == renewed.self.Incarnation
		})
	}
	took, known := s.runUntil(5*time.Second, current)
	is.True(known)
	t.Logf("the new incarnation is in every view after %v", took)
	for range 30 {
		s.run(time.Second)
		is.True(current())
	}
}

// Guards against a restarted host that is ignored because its clock is an hour behind
// that of its predecessor.
func TestRestartWithAnEarlierClockJoins(t *testing.T) {
	is := is.New(t)
	s := newSimulation(22)
	s.addHosts(7, 1, 3)
	s.run(5 * time.Second)
	old := s.hosts[3]
	old.kill()
	s.run(20 * time.Second)
	renewed := s.start(string(old.self.ID), old.region, old.zone)
	renewed.self.Incarnation = old.self.Incarnation - 3600_000<<22 // the upper bits are milliseconds
	_, known := s.runUntil(10*time.Second, func() bool {
		return s.all(func(h *simHost) bool {
			entry, found := h.View().Find(renewed.self.ID)
			return found && entry.Serving() && entry.Incarnation == renewed.Incarnation()
		})
	})
	is.True(known)
	is.True(renewed.Incarnation() > old.Incarnation())
}

// Guards against a paused process that resumes after it was replaced and displaces
// the new process with its ID.
func TestResumedProcessStaysReplaced(t *testing.T) {
	is := is.New(t)
	s := newSimulation(23)
	s.addHosts(7, 1, 3)
	s.run(5 * time.Second)
	old := s.hosts[3]
	s.pause(old, 10*time.Second)
	s.run(6 * time.Second)
	renewed := s.start(string(old.self.ID), old.region, old.zone)
	old.down = false // both processes run
	s.run(20 * time.Second)
	is.True(old.Replaced())
	is.True(!old.View().Hosts[3].Serving())
	is.True(!renewed.Replaced())
	is.True(s.all(func(h *simHost) bool {
		entry, _ := h.View().Find(renewed.self.ID)
		return entry.Serving() && entry.Incarnation == renewed.self.Incarnation
	}))
}

// Guards against duplicates, up to 10 s late, that undo a death or a planned stop.
func TestLateDuplicatesChangeNothing(t *testing.T) {
	is := is.New(t)
	s := newSimulation(31)
	s.duplicate = 1
	s.addHosts(7, 1, 3)
	s.run(10 * time.Second)
	dead, leaving := s.hosts[1], s.hosts[2]
	dead.kill()
	leaving.Leave(s.now)
	s.run(10 * time.Second)
	for range 120 {
		s.run(time.Second)
		is.True(s.all(func(h *simHost) bool {
			return h.serving() == 5 && h.stateOf(dead.self.ID) == StateDead && h.stateOf(leaving.self.ID) == StateLeaving
		}))
	}
	is.Equal(s.falseDeaths(), uint64(0))
}
