package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

const adviceTTL = 10 * time.Second

// fleet simulates callers that follow the advice, second by second. Each caller uses
// only the first host of its advice, the hardest case for balancing.
type fleet struct {
	rnd           *rand.Rand
	now           time.Time
	view          *member.View // as reported by the hosts, one second late
	advisors      []*Advisor
	callers       []*simCaller
	capacity      float64 // of each host, in units of demand
	smoothedLoads map[ident.HostID]float64
}

type simCaller struct {
	request    AdviceRequest
	demand     float64
	advice     Advice
	validUntil time.Time
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:8443", i+1) }

// newFleet returns hosts over three zones and callers, a fraction inFirst of them in
// the first zone.
func newFleet(seed uint64, hosts, callers int, inFirst, load float64) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 5)), now: start, view: &member.View{}, smoothedLoads: map[ident.HostID]float64{}}
	for i := range hosts {
		f.view.Hosts = append(f.view.Hosts, member.Host{
			ID: ident.HostID(fmt.Sprintf("entry-%02d", i)), Incarnation: 1, CallerAddress: address(i),
			Region: "jadran", Zone: zone(i % 3),
		})
		f.advisors = append(f.advisors, NewAdvisor())
	}
	total := 0.0
	for i := range callers {
		c := &simCaller{demand: 0.5 + f.rnd.Float64(), request: AdviceRequest{Key: fmt.Sprint("screen-", i), Region: "jadran", Zone: zone(1 + f.rnd.IntN(2))}}
		if f.rnd.Float64() < inFirst {
			c.request.Zone = zone(0)
		}
		total += c.demand
		f.callers = append(f.callers, c)
	}
	f.capacity = total / load / float64(hosts)
	return f
}

func zone(i int) string { return []string{"split-a", "split-b", "rijeka-c"}[i] }

// step advances the simulation by one second: callers whose advice has expired ask a
// random host again.
func (f *fleet) step() {
	f.now = f.now.Add(time.Second)
	for _, c := range f.callers {
		if f.now.Before(c.validUntil) {
			continue
		}
		advisor := f.advisors[f.rnd.IntN(len(f.advisors))]
		c.advice = advisor.Advise(f.view, c.request, adviceTTL, f.rnd)
		c.validUntil = f.now.Add(time.Duration(c.advice.TTLMillis) * time.Millisecond)
	}
	loads := f.loads()
	hosts := append([]member.Host(nil), f.view.Hosts...)
	for i := range hosts {
		h := &hosts[i]
		f.smoothedLoads[h.ID] += 0.5 * (loads[h.CallerAddress] - f.smoothedLoads[h.ID])
		h.LoadPermille = uint32(1000 * f.smoothedLoads[h.ID])
	}
	f.view = &member.View{Hosts: hosts}
	for _, a := range f.advisors {
		a.UpdateLoads(f.now, f.view)
	}
}

func (f *fleet) loads() map[string]float64 {
	loads := make(map[string]float64)
	for _, c := range f.callers {
		loads[c.advice.Hosts[0].Address] += c.demand / f.capacity
	}
	return loads
}

func (f *fleet) run(seconds int) {
	for range seconds {
		f.step()
	}
}

// imbalance returns the largest relative difference of a serving host's load from the
// mean.
func (f *fleet) imbalance() float64 {
	loads := f.loads()
	sum, n, worst := 0.0, 0, 0.0
	for _, h := range f.view.Hosts {
		if h.Serving() {
			sum += loads[h.CallerAddress]
			n++
		}
	}
	mean := sum / float64(n)
	for _, h := range f.view.Hosts {
		if h.Serving() {
			worst = max(worst, max(loads[h.CallerAddress]/mean-1, 1-loads[h.CallerAddress]/mean))
		}
	}
	return worst
}

const (
	settleSeconds = 150
	maxImbalance  = 0.15
	// maxMoved is one host's share of the callers plus 5% of all.
	maxMoved = 1.0/7 + 0.05
)

func (f *fleet) firstHosts() map[*simCaller]string {
	firsts := make(map[*simCaller]string, len(f.callers))
	for _, c := range f.callers {
		firsts[c] = c.advice.Hosts[0].Address
	}
	return firsts
}

func (f *fleet) moved(before map[*simCaller]string) float64 {
	n := 0
	for c, address := range before {
		if c.advice.Hosts[0].Address != address {
			n++
		}
	}
	return float64(n) / float64(len(f.callers))
}

func (f *fleet) setState(i int, state member.State, incarnation ident.Incarnation) {
	hosts := append([]member.Host(nil), f.view.Hosts...)
	hosts[i].State = state
	hosts[i].Incarnation = incarnation
	f.view = &member.View{Hosts: hosts}
}

// Guards against an imbalance, or oscillation, when most callers are in one zone.
func TestLoadConverges(t *testing.T) {
	for _, inFirst := range []float64{0.33, 0.7, 1} {
		for seed := uint64(1); seed <= 4; seed++ {
			is := is.New(t)
			f := newFleet(seed, 7, 700, inFirst, 0.6)
			f.run(settleSeconds)
			for range 100 {
				f.run(1)
				is.True(f.imbalance() <= maxImbalance)
			}
		}
	}
}

func TestIdleHostsServeOwnZone(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 7, 700, 0.33, 0.2)
	f.run(settleSeconds)
	near := 0
	for _, c := range f.callers {
		if c.advice.Hosts[0].Zone == c.request.Zone {
			near++
		}
	}
	is.True(float64(near)/float64(len(f.callers)) > 0.85)
}

// Guards against moving callers of other hosts when one host leaves.
func TestLeavingHostMovesOnlyItsCallers(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		is := is.New(t)
		f := newFleet(seed, 7, 700, 0.5, 0.6)
		f.run(settleSeconds)
		before := f.firstHosts()
		f.setState(3, member.StateLeaving, 1)
		f.run(int(adviceTTL.Seconds()) + 1)
		moved := f.moved(before)
		t.Logf("seed %d: moved %.3f", seed, moved)
		is.True(moved <= maxMoved)
		is.Equal(f.loads()[address(3)], 0.0) // no caller still uses it
		f.run(settleSeconds)
		is.True(f.imbalance() <= maxImbalance)
	}
}

// Guards against overloading a restarted host because it is the least loaded one.
func TestRestartedHostIsNotOverloaded(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 7, 700, 0.5, 0.6)
	f.setState(3, member.StateDead, 1)
	f.run(settleSeconds)
	f.setState(3, member.StateAlive, 2)
	for range settleSeconds {
		f.run(1)
		is.True(f.loads()[address(3)] < 0.9) // 1 is its capacity
	}
	is.True(f.imbalance() <= maxImbalance)
}
