package bench

import (
	"testing"

	"github.com/matryer/is"
)

// maxUrgentLag is how much lower the urgent lookups' share of answers in time may be than that
// of the searches.
const maxUrgentLag = 0.15

// inTime returns the share of a group's queries that were answered in time.
func (g *Group) inTime() float64 { return ratio(g.InTime, g.Arrived) }

// Guards against urgent lookups that are served worse than less urgent searches in a burst,
// also while half of the servers are slow.
func TestUrgentLookupsAreNotServedWorse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, w := range []Workload{ArchiveWorkload(), DonationsWorkload()} {
		for _, d := range []Disturbance{{Burst: 2}, {Burst: 4}, {Burst: 8}, {Burst: 4, Slow: 8}, {Burst: 3, Slow: 12}} {
			for _, spec := range []PolicySpec{HomePolicy("equal slot time", withoutShares), HomePolicy("priority", withPriorities)} {
				r := Run(w.Case(d, nil), spec, 1)
				lookups, searches := r.Classes[Interactive], r.Classes[Standard]
				t.Logf("%s, %+v, %s: in time %.3f of the lookups, %.3f of the searches", w.Name, d, spec.Name, lookups.inTime(), searches.inTime())
				is.True(lookups.inTime() >= searches.inTime()-maxUrgentLag)
			}
		}
	}
}
