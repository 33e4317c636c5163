package entry

import (
	"math"
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

const (
	// stepInterval is the minimum time between two steps of the factors.
	stepInterval = time.Second
	// lowLoadPermille is the load below which a host isn't relieved, since crossing
	// zones only adds latency then.
	lowLoadPermille = 400
	// deadBand is the relative difference from the target that is ignored as noise: reports
	// lag, and following noise would move callers for nothing.
	deadBand = 0.04
	// gain is the fraction of a difference that one step corrects. It is low because
	// callers follow only within the time that they keep advice, and a higher gain
	// would oscillate.
	gain = 0.04
	// maxStep limits one step of a factor, so that a wrong report can move at most a
	// third of a host's callers while advice is kept.
	maxStep = 0.03
	// minFactor and maxFactor bound the factors. Between them any mix of callers' zones can
	// be balanced over seven hosts.
	minFactor = 1.0 / 16
	maxFactor = 16.0
	// newHostRatio is the factor of a new host relative to the mean of its zone.
	newHostRatio = 0.5
)

// Advisor keeps the factor by which each entry host's weight is adjusted to balance the
// load. Every host has its own Advisor and sees the same reports, so their advice is
// about the same; it needn't be.
type Advisor struct {
	mu       sync.Mutex
	factors  map[ident.HostID]*factor
	lastStep time.Time
}

type factor struct {
	incarnation ident.Incarnation
	value       float64
}

// NewAdvisor returns an Advisor with all factors at one.
func NewAdvisor() *Advisor { return &Advisor{factors: make(map[ident.HostID]*factor)} }

func (a *Advisor) factor(id ident.HostID) float64 {
	if f := a.factors[id]; f != nil {
		return f.value
	}
	return 1
}

// UpdateLoads updates the factors from the reported loads, at most once per second. Steps
// are limited so that the load doesn't oscillate between hosts: callers that all left a busy
// host at once would overload the next one and return.
func (a *Advisor) UpdateLoads(now time.Time, view *member.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.lastStep) < stepInterval {
		return
	}
	a.lastStep = now
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
				f.value = a.initialFactor(view, host)
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

// initialFactor returns the factor of a new or restarted host: a part of its zone's
// mean, since its first requests find it without warm connections.
func (a *Advisor) initialFactor(view *member.View, host member.Host) float64 {
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
	return newHostRatio * sum / float64(n)
}

// targetLoad returns the load to balance towards: the mean, but at least
// lowLoadPermille.
func targetLoad(view *member.View) float64 {
	sum, n := 0.0, 0
	for _, host := range view.Hosts {
		if host.Serving() {
			sum += float64(host.LoadPermille)
			n++
		}
	}
	if n == 0 {
		return lowLoadPermille
	}
	return max(lowLoadPermille, sum/float64(n))
}

func (f *factor) step(load, target float64) {
	ratio := target / max(load, 1)
	switch {
	case load < lowLoadPermille && target <= lowLoadPermille:
		// No host is loaded: return to the base weights.
		ratio = 1 / f.value
	case math.Abs(ratio-1) <= deadBand:
		return
	}
	shift := math.Pow(ratio, gain)
	shift = min(max(shift, 1-maxStep), 1+maxStep)
	f.value = min(max(f.value*shift, minFactor), maxFactor)
}
