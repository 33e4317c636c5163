package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A user sees searches wait on an entry host that is gone. The host's process
// is killed without a word; the others go on sending it legs until they
// believe it dead, which at 7 hosts must take less than 5 s.
func TestKilledHostIsKnownToAllWithinFiveSeconds(t *testing.T) {
	is := is.New(t)
	var worst time.Duration
	for seed := range uint64(200) {
		s := newSimulation(seed)
		s.fleet(7, 1, 3)
		s.run(5*time.Second + time.Duration(seed)*7*time.Millisecond)
		victim := s.list[3]
		victim.kill()
		took, known := s.runUntil(10*time.Second, func() bool {
			return s.all(func(n *node) bool { return n.stateAt(victim.self.ID) == StateDead })
		})
		is.True(known)
		worst = max(worst, took)
		is.Equal(s.falseDeaths(), uint64(0))
	}
	t.Logf("worst of 200 seeds: %v", worst)
	is.True(worst < 5*time.Second)
}

// Callers of seven hosts see one entry host after the other refuse, because a
// host that was paused for 10 s or 60 s resumes with all its timers run out and
// declares the others dead. It must suspect nobody, learn that it was believed
// dead, refute, and be used again by all.
func TestPausedHostReturnsWithoutHarm(t *testing.T) {
	for _, length := range []time.Duration{10 * time.Second, 60 * time.Second} {
		is := is.New(t)
		s := newSimulation(7)
		s.fleet(7, 1, 3)
		s.run(5 * time.Second)
		paused := s.list[2]
		s.pause(paused, length)
		s.run(length - time.Second)
		is.True(s.all(func(n *node) bool { return n == paused || n.stateAt(paused.self.ID) == StateDead }))
		s.run(1100 * time.Millisecond)
		is.Equal(paused.serving(), 7)
		is.True(CutOff(s.now, Contact{StartedAt: simStart, PeerHeardAt: simStart}, 4*time.Second))
		took, healed := s.runUntil(10*time.Second, func() bool {
			return s.all(func(n *node) bool { return n.serving() == 7 })
		})
		is.True(healed)
		is.True(paused.counters.Pauses > 0)
		is.Equal(paused.counters.Suspicions, uint64(0))
		t.Logf("paused %v: used by all again after %v", length, took)
	}
}
