package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// gossiped counts at every host; each hears of the use at the others with a delay.
type gossiped struct {
	limit  Limit
	delay  time.Duration
	all    []use // in order
	levels []ideal
	heard  []int // uses that the host has counted
	hosts  int
	sent   time.Time
	calls  int
}

type use struct {
	at   time.Time
	host int
}

func newGossiped(hosts, _ int, limit Limit) limiter {
	g := &gossiped{limit: limit, delay: time.Second, hosts: hosts, heard: make([]int, hosts)}
	for range hosts {
		g.levels = append(g.levels, ideal{limit: limit})
	}
	return g
}

func (g *gossiped) admit(now time.Time, host int) (bool, func(time.Time)) {
	for ; g.heard[host] < len(g.all) && now.Sub(g.all[g.heard[host]].at) >= g.delay; g.heard[host]++ {
		if g.all[g.heard[host]].host != host {
			g.levels[host].level--
		}
	}
	if !g.levels[host].admits(now) {
		return false, nil
	}
	g.all = append(g.all, use{now, host})
	return true, func(time.Time) {}
}

func (g *gossiped) advance(now time.Time) {
	if now.Sub(g.sent) >= CallInterval {
		g.sent = now
		g.calls += g.hosts // each tells one other
	}
}

func (g *gossiped) callCount() (int, int) { return g.calls, 0 }

// divided gives each host that carries traffic a part of the limit by what it has served lately,
// at least a small one.
type divided struct {
	limit   Limit
	buckets []ideal
	served  []float64
	at      time.Time
	calls   int
}

func newDivided(_, carriers int, limit Limit) limiter {
	d := &divided{limit: limit, served: make([]float64, carriers)}
	for range carriers {
		d.buckets = append(d.buckets, ideal{limit: Limit{PerSecond: limit.PerSecond / float64(carriers), Burst: limit.Burst / float64(carriers)}})
	}
	return d
}

func (d *divided) admit(now time.Time, host int) (bool, func(time.Time)) {
	d.served[host]++
	return d.buckets[host].admits(now), func(time.Time) {}
}

func (d *divided) advance(now time.Time) {
	if now.Sub(d.at) < time.Second {
		return
	}
	d.at = now
	d.calls += len(d.buckets)
	sum := 0.0
	for i := range d.served {
		d.served[i] = 0.7*d.served[i] + 0.1
		sum += d.served[i]
	}
	for i := range d.buckets {
		d.buckets[i].limit = Limit{PerSecond: d.limit.PerSecond * d.served[i] / sum, Burst: d.limit.Burst * d.served[i] / sum}
	}
}

func (d *divided) callCount() (int, int) { return d.calls, 0 }

// outcome is what one scenario gave.
type outcome struct {
	most             int     // requests in a window
	allowed          float64 // by the specification
	offered, refused int
	served           float64 // of what a single bucket that sees all requests serves
	background, path float64 // calls per second
}

func (o outcome) String() string {
	return fmt.Sprintf("%3d of %5.1f allowed in a window, refused %.4f, served %.2f of the ideal, %.1f calls/s, %.1f on the path",
		o.most, o.allowed, float64(o.refused)/float64(o.offered), o.served, o.background, o.path)
}

// play offers Poisson arrivals at random hosts for half a minute, after 10 s of warming up at half of
// the limit. With conforming, arrivals over the limit are left out.
func play(l limiter, carriers int, limit Limit, rate func(time.Duration) float64, conforming bool, seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 2))
	reference := ideal{limit: limit}
	var out outcome
	var runs []time.Time
	background, path, served, ideallyServed := 0, 0, 0, 0
	const warmup, length = 10 * time.Second, 30 * time.Second
	for t := time.Duration(0); t < warmup+length; t += step {
		now := epoch.Add(t)
		l.advance(now)
		perSecond := limit.PerSecond / 2
		if t >= warmup {
			perSecond = rate(t - warmup)
		}
		if t == warmup {
			background, path = l.callCount()
		}
		for range poisson(random, perSecond*step.Seconds()) {
			within := reference.admits(now)
			if conforming && !within {
				continue
			}
			ok, _ := l.admit(now, random.IntN(carriers))
			if ok {
				runs = append(runs, now)
			}
			if t < warmup {
				continue
			}
			out.offered++
			if within {
				ideallyServed++
			}
			if ok {
				served++
			} else {
				out.refused++
			}
		}
	}
	out.served = float64(served) / float64(ideallyServed)
	out.most, out.allowed = overshoot(runs, limit)
	b, p := l.callCount()
	out.background, out.path = float64(b-background)/length.Seconds(), float64(p-path)/length.Seconds()
	return out
}

func poisson(random *rand.Rand, mean float64) (n int) {
	for p := random.Float64(); p > math.Exp(-mean); p *= random.Float64() {
		n++
	}
	return n
}

var traffic = []struct {
	name       string
	conforming bool
	rate       func(Limit) func(time.Duration) float64
}{
	{"steady", true, func(l Limit) func(time.Duration) float64 {
		return func(time.Duration) float64 { return 0.9 * l.PerSecond }
	}},
	{"bursts", true, func(l Limit) func(time.Duration) float64 {
		return func(t time.Duration) float64 {
			if t%(10*time.Second) < 2*time.Second {
				return 4 * l.PerSecond
			}
			return l.PerSecond / 10
		}
	}},
	{"flood", false, func(l Limit) func(time.Duration) float64 {
		return func(time.Duration) float64 { return 60 * l.PerSecond }
	}},
}

// Guards against a limit that is exceeded beyond the bound, or refuses requests within it, while
// nothing fails. The alternatives are shown for comparison.
func TestLimitHoldsWithoutRefusingWithinIt(t *testing.T) {
	for _, load := range traffic {
		for _, carriers := range []int{3, 8, 66} {
			for _, limit := range []Limit{{PerSecond: 0.5, Burst: 2}, {PerSecond: 5, Burst: 10}, {PerSecond: 30, Burst: 30}} {
				rate := load.rate(limit)
				run := func(l limiter) outcome { return play(l, carriers, limit, rate, load.conforming, 1) }
				chosen := run(newFleet(max(carriers, 8), carriers, limit, 1))
				name := fmt.Sprintf("%s, %d hosts, %g/s", load.name, carriers, limit.PerSecond)
				if float64(chosen.most) > chosen.allowed {
					t.Errorf("%s: %v", name, chosen)
				}
				if load.conforming && chosen.refused > 0 {
					t.Errorf("%s: %d of %d requests within the limit refused", name, chosen.refused, chosen.offered)
				}
				t.Logf("%s: grantor %v", name, chosen)
				t.Logf("%s: gossip  %v", name, run(newGossiped(carriers, carriers, limit)))
				t.Logf("%s: divided %v", name, run(newDivided(carriers, carriers, limit)))
			}
		}
	}
}
