package home

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longEnv, set to any value, plays the loads that take minutes.
const longEnv = "GOLDCRESTSPAN_LONG"

// minGoodput is the least share of searches in time that requirement 22 of
// docs/customers-and-overload.md demands, of the maximum.
const minGoodput = 0.9

// Guards against searches that are late because of one slow, pausing or failing server in
// three: legs must go to the other servers, or be hedged.
func TestUnevenServersLeaveSearchesInTime(t *testing.T) {
	for _, name := range []string{
		"equal servers, no faults", "one in three slow at 15% of services", "a third of the servers slow, pauses",
		"a third fail 30%: silence",
	} {
		for _, p := range unevenProfiles {
			t.Run(p.name+": "+name, func(t *testing.T) {
				is := is.New(t)
				counts := runUneven(p, unevenLoadNamed(name), 1, 8*time.Second)
				t.Logf("%v", &counts)
				is.True(counts.share() >= minGoodput)
				is.True(counts.searches[0] > 50)
				// Hedges and retries are within the budget: a ratio of legs, and the bursts with
				// their refill.
				budget := unevenConfig(p, nil)
				refill := budget.HedgeBurst + budget.RetryBurst + 8*(budget.HedgesPerSecond+budget.RetriesPerSecond)
				extra := float64(counts.hedges + counts.retries)
				is.True(extra <= (budget.HedgeBudget+budget.RetryBudget)*float64(counts.legs)+unevenServices*refill)
			})
		}
	}
}

func unevenLoadNamed(name string) unevenLoad {
	for _, load := range unevenLoads {
		if load.name == name {
			return load
		}
	}
	panic("no load " + name)
}

// TestUnevenTable prints the table of docs/design/overload.md.
func TestUnevenTable(t *testing.T) {
	if os.Getenv(longEnv) == "" {
		t.Skip("prints a table; takes minutes")
	}
	for _, p := range unevenProfiles {
		for _, load := range unevenLoads {
			t.Run(p.name+": "+load.name, func(t *testing.T) {
				t.Parallel()
				var counts unevenCounts
				for seed := uint64(1); seed <= 3; seed++ {
					counts.add(runUneven(p, load, seed, 15*time.Second))
				}
				t.Logf("| %-10s %-42s %v", p.name, load.name, &counts)
			})
		}
	}
}

// TestUnevenReactions prints how many legs a server gets after it has turned slow, and how
// long a recovered one is left unused.
func TestUnevenReactions(t *testing.T) {
	if os.Getenv(longEnv) == "" {
		t.Skip("prints figures")
	}
	for _, p := range unevenProfiles {
		for _, factor := range []float64{2.5, 5, 12} {
			for _, traffic := range []float64{0.2, 1, 4} {
				r := measureReaction(p, factor, traffic)
				t.Logf("| %-10s factor %4.1f traffic %v: legs sent in the first 1 s: %.2f, 2nd to 8th s: %.2f/s; used again after %v; hedges in the first 1 s after: %.2f",
					p.name, factor, traffic, r.early, r.late, r.again, r.hedges)
			}
		}
	}
}

type reaction struct {
	early, late float64 // first attempts sent to the slow server: in its first second, and a second after that
	again       time.Duration
	hedges      float64
}

// measureReaction makes the near server of one service slow from 5 s to 13 s and averages
// over 40 seeds.
func measureReaction(p unevenProfile, factor, traffic float64) reaction {
	const seeds, slowFrom, slowTo = 40, 5 * time.Second, 13 * time.Second
	var r reaction
	load := unevenLoad{traffic: traffic, apply: func(_ int, servers []*unevenServer, _ *rand.Rand, _ time.Duration) {
		servers[0].spans = append(servers[0].spans, slowSpan{slowFrom, slowTo, factor})
	}}
	for seed := uint64(1); seed <= seeds; seed++ {
		searches := unevenSearches(p, load, seed, 25*time.Second)
		s := newUnevenService(p, load, 0, seed, 25*time.Second, NewLatencyStats())
		var after []time.Duration
		s.onStart = func(at time.Duration, server int, hedge bool) {
			switch {
			case hedge && at >= slowFrom && at < slowFrom+time.Second:
				r.hedges++
			case server != 0 || hedge:
			case at >= slowFrom && at < slowFrom+time.Second:
				r.early++
			case at >= slowFrom+time.Second && at < slowTo:
				r.late++
			case at >= slowTo:
				after = append(after, at-slowTo)
			}
		}
		s.run(searches, make([][]time.Duration, len(searches)))
		again := 12 * time.Second
		if len(after) >= 5 {
			again = after[4]
		}
		r.again += again
	}
	r.early /= seeds
	r.late /= seeds * 7
	r.hedges /= seeds
	r.again = (r.again / seeds).Round(10 * time.Millisecond)
	return r
}
