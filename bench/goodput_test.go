package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against congestion collapse: above capacity, queries that can no longer
// be answered in time must not take slots from those that can.
func TestGoodputStaysFlatAboveCapacity(t *testing.T) {
	is := is.New(t)
	spec := WithForecasts(LocalHomes("forecasted"))
	measure := func(factor float64, spec PolicySpec) (goodput, after float64) {
		c := GoodputCase(factor)
		r := Run(c, spec, 1)
		goodput = r.GoodputShare(c.Shape, burstStart, burstEnd)
		after = r.GoodputShare(c.Shape, burstEnd+time.Second, burstEnd+3*time.Second)
		t.Logf("%s, load x%v: goodput %.3f of the capacity, %.3f after the burst, %d of %d refused", spec.Name, factor, goodput, after, r.All.Refused, r.All.Arrived)
		return goodput, after
	}
	best := 0.0
	goodput := make(map[float64]float64)
	for _, factor := range []float64{1, 2, 3, 4, 8} {
		var after float64
		goodput[factor], after = measure(factor, spec)
		best = max(best, goodput[factor])
		is.True(after > 0.85*goodput[1]) // recovers after the burst
	}
	for factor, reached := range goodput {
		is.True(reached >= 0.9*min(best, factor*goodput[1]))
	}
	unlimited, _ := measure(4, LocalHomes("no admission"))
	is.True(unlimited < 0.6*best) // the load is high enough to need admission
}

// Guards against slow services delaying whole searches: legs that can't be in time
// must yield to those that can, as a search needs only part of its shards.
func TestSearchesInTimeWithImpairedServices(t *testing.T) {
	is := is.New(t)
	for _, services := range []int{2, 4} {
		r := Run(ImpairedCase(services), WithForecasts(LocalHomes("forecasted")), 1)
		credit := r.MeanCredit(burstStart, burstEnd)
		t.Logf("%d impaired services: credit %.3f", services, credit)
		is.True(credit > 0.85)
	}
}
