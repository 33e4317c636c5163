package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A whole fleet gets power at once. The hosts that the settings name as seeds
// are up a moment after the others, so each first question is in vain, and the
// first answers know only who has asked before. Hosts that don't know each other
// all watch the store, and each change wakes all of them. All must know all
// within little more than a second of the last start.
func TestFleetThatStartsAtOnceIsSoonAcquainted(t *testing.T) {
	is := is.New(t)
	const hosts, seeds = 83, 3
	s := newSimulation(1)
	var addresses []string
	for i := range seeds {
		addresses = append(addresses, fmt.Sprintf("host-%04d:7700", hosts-1-i))
	}
	start := func(i int) {
		n := s.start(fmt.Sprintf("host-%04d", i), "region-0", fmt.Sprintf("zone-%d", i%3))
		n.config.Seeds = addresses
	}
	for i := range hosts - seeds {
		start(i)
	}
	s.run(300 * time.Millisecond)
	for i := hosts - seeds; i < hosts; i++ {
		start(i)
	}
	took, ok := s.runUntil(5*time.Second, func() bool {
		for _, n := range s.list {
			if len(n.sorted) < hosts || !n.joined {
				return false
			}
		}
		return true
	})
	is.True(ok)
	t.Logf("acquainted after %v", took)
	is.True(took <= 1300*time.Millisecond)
}
