package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

const (
	simSeeds         = 12
	maxPoisonCrashes = 3
	simPoisons       = 100
	simPoisonGap     = 300 * time.Millisecond
)

func simCases() map[string]simCase {
	base := simCase{
		servers: 2, slots: 2, innocents: 300, poisons: simPoisons, poisonGap: simPoisonGap,
		crashAfter: 10 * time.Millisecond, restart: 3 * time.Second, retry: true, length: 35 * time.Second,
	}
	large := base
	large.servers, large.slots, large.innocents = 7, 6, 600
	idle := base
	idle.innocents = 5
	breaks := base
	breaks.breakEvery = 500 * time.Millisecond
	slow := base
	slow.crashAfter = 300 * time.Millisecond
	return map[string]simCase{"busy": base, "large": large, "idle": idle, "breaks": breaks, "slow to crash": slow}
}

// Guards against a request that is sent over and over and crashes more than
// three servers, and against refusing any other request for it.
func TestPoisonCrashesAtMostThreeServers(t *testing.T) {
	for name, c := range simCases() {
		crashes := make(map[int]int)
		for seed := uint64(1); seed <= simSeeds; seed++ {
			c.seed = seed
			s := runSim(c)
			crashes[s.crashes]++
			if s.crashes > maxPoisonCrashes || !s.quarantined[poison] || len(s.quarantined) != 1 {
				t.Errorf("%s, seed %d: %d crashes, quarantined %v", name, seed, s.crashes, s.quarantined)
			}
		}
		t.Log(name, "seeds by crashes:", fmt.Sprint(crashes))
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	is := is.New(t)
	c := simCases()["breaks"]
	c.seed = 5
	a, b := runSim(c), runSim(c)
	is.Equal(a.now, b.now)
	is.Equal(a.refused, b.refused)
	is.Equal(a.next, b.next)
}

// Guards against quarantining requests for crashes, broken connections and power
// losses that no request caused.
func TestInnocentRequestsAreNotQuarantined(t *testing.T) {
	for seed := uint64(1); seed <= simSeeds; seed++ {
		is := is.New(t)
		s := runSim(simCase{
			seed: seed, servers: 2, slots: 2, innocents: 200, restart: 3 * time.Second, retry: true,
			breakEvery: time.Second, crashEvery: 20 * time.Second, outageEvery: 40 * time.Second, length: 100 * time.Second,
		})
		is.Equal(len(s.quarantined), 0) // of this seed
	}
}
