package bench

import (
	"fmt"
	"strings"
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

// customers returns the parts of the load of four large customers, of which one floods, and
// twelve others. Smaller ones would send too few requests to count.
func customers() map[string]float64 {
	parts := make(map[string]float64)
	for i := range 16 {
		part := 0.05
		if i < 4 {
			part = 0.1
		}
		parts[fmt.Sprintf("customer-%02d", i)] = part
	}
	return parts
}

// sharesResult holds shares of searches and of all requests answered in time.
type sharesResult struct {
	others, flooding float64 // of the searches
	worst, all       float64 // of all requests: of the worst customer and of all
}

func measureShares(d Disturbance, spec PolicySpec, seeds int) sharesResult {
	searches, requests := map[bool][2]int{}, map[string][2]int{}
	add := func(sum [2]int, g *Group) [2]int { return [2]int{sum[0] + g.InTime, sum[1] + g.Arrived} }
	var all [2]int
	for seed := range seeds {
		r := Run(ArchiveWorkload().Case(d, customers()), spec, uint64(seed)+1)
		for caller, g := range r.Callers {
			name, isLookup := strings.CutSuffix(caller, lookupSuffix)
			requests[name], all = add(requests[name], g), add(all, g)
			if !isLookup {
				searches[name == floodingCustomer] = add(searches[name == floodingCustomer], g)
			}
		}
	}
	of := func(sum [2]int) float64 { return ratio(sum[0], sum[1]) }
	result := sharesResult{others: of(searches[false]), flooding: of(searches[true]), all: of(all), worst: 1}
	for _, sum := range requests {
		result.worst = min(result.worst, of(sum))
	}
	return result
}

const (
	// minKept is the part of their answers in time that the other customers keep.
	minKept = 0.9
	// minServedPart is how often a customer is served at least, relative to all.
	minServedPart = 0.25
)

// Guards against a customer at many times its usual rate that takes the answers in time of the
// others, alone, beside a burst and beside slow servers. Whole searches over all homes count.
func TestHomesKeepTheOthersAnswersBesideAFlood(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	byRank := HomePolicy("by rank", withPriorities)
	byDeadline := withoutCallers(HomePolicy("by deadline", withPriorities))
	for _, d := range []Disturbance{{}, {Burst: 2}, {Slow: 8}} {
		without := measureShares(d, byRank, 3)
		for _, flood := range []float64{5, 20, 60} {
			d.Flood = flood
			r := measureShares(d, byRank, 3)
			old := measureShares(d, byDeadline, 3)
			t.Logf("%+v: others %.3f without the flood, %.3f with it, %.3f by deadline; flooding %.3f, %.3f; worst customer %.3f of all's %.3f",
				d, without.others, r.others, old.others, r.flooding, old.flooding, r.worst, r.all)
			is.True(r.others >= minKept*without.others)
			is.True(r.worst >= minServedPart*r.all)
		}
	}
}

// Guards against a burst of all customers in which one of them is hardly served, and against an
// order by callers that serves fewer requests than that by deadline.
func TestCustomersAreServedAlikeInABurst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, burst := range []float64{2, 4, 6, 8} {
		d := Disturbance{Burst: burst}
		r := measureShares(d, HomePolicy("by rank", withPriorities), 2)
		old := measureShares(d, withoutCallers(HomePolicy("by deadline", withPriorities)), 2)
		t.Logf("burst of %v: in time %.3f, worst customer %.3f; by deadline %.3f, %.3f", burst, r.all, r.worst, old.all, old.worst)
		is.True(r.worst >= minServedPart*r.all)
		is.True(r.all >= minKept*old.all)
	}
}

// Guards against admission that refuses the searches of all customers because one of them fills
// the queues: forecasts must be for the customer that asks.
func TestForecastsAdmitOthersBesideAFlood(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	byRank := WithForecasts(HomePolicy("by rank", withPriorities))
	byClass := WithForecasts(withoutCallers(HomePolicy("by deadline", withPriorities)))
	for _, d := range []Disturbance{{Burst: 2}, {Slow: 8}} {
		without := measureShares(d, byRank, 3)
		for _, flood := range []float64{20, 60} {
			d.Flood = flood
			r, old := measureShares(d, byRank, 3), measureShares(d, byClass, 3)
			t.Logf("%+v: others %.3f without the flood, %.3f with it, %.3f by deadline and class; flooding %.3f, %.3f",
				d, without.others, r.others, old.others, r.flooding, old.flooding)
			is.True(r.others >= minKept*without.others)
		}
	}
}
