package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// limited and unlimited admit with and without the latency limit.
func limited(c Case) *Result { return Run(c, WithSearchLimit(HomePolicy("limit", nil), true), 1) }

func unlimited(c Case) *Result {
	return Run(c, WithSearchLimit(HomePolicy("forecasts", nil), false), 1)
}

// onSlowHosts returns the case with hosts whose processors bind before the slots do.
func onSlowHosts(c Case) Case {
	c.Shape.HostTimePerLeg = 300 * time.Microsecond
	return c
}

// Guards against congestion collapse, whatever binds: the work that goes into answers in
// time must stay flat from one to eight times the load, and come back within a second.
func TestAnswersInTimeStayFlatInBurst(t *testing.T) {
	t.Parallel()
	for name, shaped := range map[string]func(Case) Case{"slots": func(c Case) Case { return c }, "processor": onSlowHosts} {
		is := is.New(t)
		goodput, best := make(map[float64]float64), 0.0
		for _, factor := range []float64{1, 2, 4, 8} {
			c := shaped(OverloadCase(factor, 1))
			r := limited(c)
			t.Logf("%s binds, x%v: %s %v", name, factor, r.PrintOverload(c.Shape), r.RefusedFor)
			goodput[factor] = r.GoodputShare(c.Shape, burstStart, burstEnd)
			best = max(best, goodput[factor])
			is.True(r.GoodputShare(c.Shape, burstEnd+time.Second, burstEnd+3*time.Second) >= 0.9*0.3) // the load then
		}
		for factor, reached := range goodput {
			is.True(reached >= 0.9*min(best, factor*goodput[1]))
		}
	}
	c := onSlowHosts(OverloadCase(8, 1))
	r := unlimited(c)
	t.Logf("processor binds, x8, no limit: %s", r.PrintOverload(c.Shape))
	is.New(t).True(r.GoodputShare(c.Shape, burstStart, burstEnd) < 0.1) // the load is high enough to need the limit
}

// Guards against refusals that help nobody: on calm days, and where a few servers are slow,
// lost or pause, everything is decided as without the limit.
func TestNothingIsRefusedWhileCapacityIsIdle(t *testing.T) {
	t.Parallel()
	lost := OverloadCase(1, 1)
	lost.Changes = append(lost.Changes, Change{At: burstStart, Apply: func(s *Sim) {
		for _, service := range s.Services[:4] { // more than a search may lack
			for _, server := range service.Servers {
				server.Down = true
			}
		}
	}})
	for name, c := range map[string]Case{
		"calm": OverloadCase(1, 1), "mild": OverloadCase(1.8, 1), "few slow": OverloadCase(1, 1).Slowed(0.05, 8), "lost": lost,
		"pauses": OverloadCase(1, 1).Pausing(6*time.Second, 250*time.Millisecond), "short pauses": OverloadCase(1, 1).Pausing(3*time.Second, 120*time.Millisecond),
		"busy hosts": onSlowHosts(OverloadCase(1, 1)), "customer at 5 times its rate": OverloadCase(1, 5),
	} {
		is := is.New(t)
		with, without := limited(c), unlimited(c)
		t.Logf("%s: %d in time, %d refused; without the limit %d, %d", name, with.All.InTime, with.All.Refused, without.All.InTime, without.All.Refused)
		is.Equal(len(with.RefusedFor), 0)
		for class, g := range with.Classes {
			is.True(ratio(g.InTime, g.Arrived) >= ratio(without.Classes[class].InTime, without.Classes[class].Arrived)-0.01)
		}
	}
}

// Guards against one customer taking the capacity from the others, whatever binds.
func TestOthersKeepTheirAnswersBesideAFlood(t *testing.T) {
	t.Parallel()
	for name, shaped := range map[string]func(Case) Case{"slots": func(c Case) Case { return c }, "processor": onSlowHosts} {
		base := limited(shaped(OverloadCase(1, 1))).othersInTime()
		for _, flood := range []float64{5, 20, 60} {
			others := limited(shaped(OverloadCase(1, flood))).othersInTime()
			t.Logf("%s, one customer at %v times its rate: others in time %.3f, without it %.3f", name, flood, others, base)
			is.New(t).True(others >= 0.9*base)
		}
	}
}

// Guards against a flood taking more from the others with the limit than without, while half
// of the servers are slow.
func TestFloodBesideSlowServers(t *testing.T) {
	t.Parallel()
	for _, flood := range []float64{5, 20, 60} {
		c := OverloadCase(1, flood).Slowed(0.5, 8)
		with, without := limited(c).othersInTime(), unlimited(c).othersInTime()
		t.Logf("one customer at %v times its rate: others in time %.3f, without the limit %.3f", flood, with, without)
		is.New(t).True(with >= without)
	}
}

// othersInTime is the part of the requests of all but the first customer that were answered
// in time.
func (r *Result) othersInTime() float64 {
	inTime, arrived := 0, 0
	for name, g := range r.Callers {
		if name != callerName(0) {
			inTime, arrived = inTime+g.InTime, arrived+g.Arrived
		}
	}
	return ratio(inTime, arrived)
}

// Guards against collapse in a burst beside servers that are slow, where the urgent lookups
// must not be served worse than the searches.
func TestBurstBesideSlowServers(t *testing.T) {
	t.Parallel()
	for _, factor := range []float64{2, 4, 8} {
		is := is.New(t)
		c := OverloadCase(factor, 1).Slowed(0.5, 8)
		with, without := limited(c), unlimited(c)
		t.Logf("x%v: %s; without the limit %s", factor, with.PrintOverload(c.Shape), without.PrintOverload(c.Shape))
		is.True(with.InTimePerSecond(burstStart, burstEnd) >= 0.9*without.InTimePerSecond(burstStart, burstEnd))
		urgent, full := with.Classes[Interactive], with.Classes[Standard]
		is.True(ratio(urgent.InTime, urgent.Arrived) >= ratio(full.InTime, full.Arrived))
	}
}
