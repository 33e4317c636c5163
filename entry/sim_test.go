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

const keepAdvice = 10 * time.Second

// fleet simulates callers that follow the advice, second by second. Each
// caller keeps to the first host of its advice, the hardest case for balance.
type fleet struct {
	rnd      *rand.Rand
	now      time.Time
	view     *member.View // what the hosts report, a second late
	advisors []*Advisor
	callers  []*simCaller
	capacity float64 // of each host, in callers' units of demand
	smooth   map[ident.HostID]float64
}

type simCaller struct {
	asker  AdviceRequest
	demand float64
	advice Advice
	until  time.Time
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:8443", i+1) }

// newFleet makes hosts over three zones and callers of which a share of
// inFirst sits in the first one.
func newFleet(seed uint64, hosts, callers int, inFirst, load float64) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 5)), now: start, view: &member.View{}, smooth: map[ident.HostID]float64{}}
	for i := range hosts {
		f.view.Hosts = append(f.view.Hosts, member.Host{
			ID: ident.HostID(fmt.Sprintf("entry-%02d", i)), Incarnation: 1, CallerAddress: address(i),
			Region: "jadran", Zone: zone(i % 3),
		})
		f.advisors = append(f.advisors, NewAdvisor())
	}
	total := 0.0
	for i := range callers {
		c := &simCaller{demand: 0.5 + f.rnd.Float64(), asker: AdviceRequest{Key: fmt.Sprint("screen-", i), Region: "jadran", Zone: zone(1 + f.rnd.IntN(2))}}
		if f.rnd.Float64() < inFirst {
			c.asker.Zone = zone(0)
		}
		total += c.demand
		f.callers = append(f.callers, c)
	}
	f.capacity = total / load / float64(hosts)
	return f
}

func zone(i int) string { return []string{"split-a", "split-b", "rijeka-c"}[i] }

// second lets callers whose advice has run out ask any serving host anew.
func (f *fleet) second() {
	f.now = f.now.Add(time.Second)
	for _, c := range f.callers {
		if f.now.Before(c.until) {
			continue
		}
		advisor := f.advisors[f.rnd.IntN(len(f.advisors))]
		c.advice = advisor.Advise(f.view, c.asker, keepAdvice, f.rnd)
		c.until = f.now.Add(time.Duration(c.advice.TTLMillis) * time.Millisecond)
	}
	loads := f.loads()
	hosts := append([]member.Host(nil), f.view.Hosts...)
	for i := range hosts {
		h := &hosts[i]
		f.smooth[h.ID] += 0.5 * (loads[h.CallerAddress] - f.smooth[h.ID])
		h.LoadPermille = uint32(1000 * f.smooth[h.ID])
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
		f.second()
	}
}

// imbalance is the farthest a serving host's load is from the mean.
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
	mostImbalance = 0.15
	// mostMoved is a host's own callers, a seventh, and 5% of all.
	mostMoved = 1.0/7 + 0.05
)

func (f *fleet) firsts() map[*simCaller]string {
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

func (f *fleet) set(i int, state member.State, incarnation ident.Incarnation) {
	hosts := append([]member.Host(nil), f.view.Hosts...)
	hosts[i].State = state
	hosts[i].Incarnation = incarnation
	f.view = &member.View{Hosts: hosts}
}

// Most callers sit in one zone, and by zones alone its hosts would carry
// twice the mean. The load evens out and stays so, without swinging.
func TestLoadEvensOutAndStaysEven(t *testing.T) {
	for _, inFirst := range []float64{0.33, 0.7, 1} {
		for seed := uint64(1); seed <= 4; seed++ {
			is := is.New(t)
			f := newFleet(seed, 7, 700, inFirst, 0.6)
			f.run(settleSeconds)
			for range 100 {
				f.run(1)
				is.True(f.imbalance() <= mostImbalance)
			}
		}
	}
}

func TestIdleHostsServeTheirOwnZone(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 7, 700, 0.33, 0.2)
	f.run(settleSeconds)
	near := 0
	for _, c := range f.callers {
		if c.advice.Hosts[0].Zone == c.asker.Zone {
			near++
		}
	}
	is.True(float64(near)/float64(len(f.callers)) > 0.85)
}

// A host leaves. Its callers must go elsewhere; if the others were dealt
// anew, every host would lose its warm connections in the same moment.
func TestOneHostLeavingMovesItsOwnCallersOnly(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		is := is.New(t)
		f := newFleet(seed, 7, 700, 0.5, 0.6)
		f.run(settleSeconds)
		before := f.firsts()
		f.set(3, member.StateLeaving, 1)
		f.run(int(keepAdvice.Seconds()) + 1)
		moved := f.moved(before)
		t.Logf("seed %d: moved %.3f", seed, moved)
		is.True(moved <= mostMoved)
		is.Equal(f.loads()[address(3)], 0.0) // nobody keeps to it
		f.run(settleSeconds)
		is.True(f.imbalance() <= mostImbalance)
	}
}

// A replaced host comes back empty. If callers rushed to the least loaded
// host it would carry the most a moment later.
func TestReturningHostIsNotOverrun(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 7, 700, 0.5, 0.6)
	f.set(3, member.StateDead, 1)
	f.run(settleSeconds)
	f.set(3, member.StateAlive, 2)
	for range settleSeconds {
		f.run(1)
		is.True(f.loads()[address(3)] < 0.9) // its capacity is 1
	}
	is.True(f.imbalance() <= mostImbalance)
}
