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
