package entry

import (
	"math"
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

const (
	// stepEvery is how often the factors move at most.
	stepEvery = time.Second
	// comfortable is the load, in thousandths, up to which a host is never
	// relieved: crossing zones to even out idle hosts only costs latency.
	comfortable = 400
	// deadBand is the difference from the target, as a share, that is left
	// alone: reports lag, and chasing noise moves callers for nothing.
	deadBand = 0.04
	// gain is the part of a difference that one step makes up for. Callers
	// follow within the ten seconds that they keep advice, and reports lag a
	// second or two: a third of a radian of lag at this gain, so it settles.
	gain = 0.04
	// mostShift bounds one step of a factor, as a share: however wrong a
	// report is, a host loses or gains at most a third of its callers in the
	// time that advice is kept.
	mostShift = 0.03
	// leastFactor and mostFactor bound the factors; between them any mix of
	// callers' zones can be evened out over seven hosts.
	leastFactor = 1.0 / 16
	mostFactor  = 16.0
	// newHostPart is the part of its zone's mean factor that a new host gets.
	newHostPart = 0.5
)

// Advisor keeps, for each entry host, the factor by which its weight is moved
// to even out the load. Every host has its own Advisor and follows the same
// reports, so they agree about; nothing rests on it that they do.
type Advisor struct {
	mu      sync.Mutex
	factors map[ident.HostID]*factor
	stepped time.Time
}

type factor struct {
	incarnation ident.Incarnation
	value       float64
}

// NewAdvisor makes an advisor with all factors at one.
func NewAdvisor() *Advisor { return &Advisor{factors: make(map[ident.HostID]*factor)} }

func (a *Advisor) factor(id ident.HostID) float64 {
	if f := a.factors[id]; f != nil {
		return f.value
	}
	return 1
}

// UpdateLoads takes the reported loads in, at most once a second; call it with
// each new view or on a timer.
//
// Load: hosts of one zone carry most callers, or one host is slower than the
// others. Harm prevented: it refuses while others idle; or all callers leave
// it at once, overload the next, and swing back. Reasons for the limits: a
// step is bounded and callers follow over the time they keep their advice, so
// the load moves slower than it is measured; differences under 4% are left.
func (a *Advisor) UpdateLoads(now time.Time, view *member.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.stepped) < stepEvery {
		return
	}
	a.stepped = now
	target := targetLoad(view)
	first := len(a.factors) == 0
	seen := make(map[ident.HostID]bool, len(view.Hosts))
	for _, host := range view.Hosts {
		if !host.Serving() {
			continue
		}
		seen[host.ID] = true
		f := a.factors[host.ID]
		if f == nil || f.incarnation != host.Incarnation {
			f = &factor{incarnation: host.Incarnation, value: 1}
			if !first {
				f.value = a.firstFactor(view, host)
			}
			a.factors[host.ID] = f
		}
		f.step(float64(host.LoadPermille), target)
	}
	for id := range a.factors {
		if !seen[id] {
			delete(a.factors, id)
		}
	}
}

// firstFactor is where a new or restarted host begins: at half of its zone's
// mean. With one it would be overrun where its zone's hosts had been relieved;
// and its first requests find it without warm connections.
func (a *Advisor) firstFactor(view *member.View, host member.Host) float64 {
	sum, n := 0.0, 0
	for _, other := range view.Hosts {
		f := a.factors[other.ID]
		if f != nil && other.ID != host.ID && other.Zone == host.Zone {
			sum += f.value
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return newHostPart * sum / float64(n)
}

// targetLoad is the load that hosts are moved towards: the mean, but never
// less than what is comfortable.
func targetLoad(view *member.View) float64 {
	sum, n := 0.0, 0
	for _, host := range view.Hosts {
		if host.Serving() {
			sum += float64(host.LoadPermille)
			n++
		}
	}
	if n == 0 {
		return comfortable
	}
	return max(comfortable, sum/float64(n))
}

func (f *factor) step(load, target float64) {
	ratio := target / max(load, 1)
	switch {
	case load < comfortable && target <= comfortable:
		// Nothing is loaded: go back to zones alone.
		ratio = 1 / f.value
	case math.Abs(ratio-1) <= deadBand:
		return
	}
	shift := math.Pow(ratio, gain)
	shift = min(max(shift, 1-mostShift), 1+mostShift)
	f.value = min(max(f.value*shift, leastFactor), mostFactor)
}
