package eligible

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxPerSecond returns the largest number of times within any second.
func maxPerSecond(times []time.Time) (most int) {
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against exceeding the operator's limit while two hosts warm the same servers.
func TestTwoWarmingHostsKeepLimit(t *testing.T) {
	is := is.New(t)
	tolerance := WarmupTolerance{Overshoot: 1.5, Slack: 5}
	for _, perSecond := range []float64{1, 4, 8, 20} {
		limit := tolerance.PerHostRate(Warmup{Duration: 3 * time.Second, PerSecond: perSecond})
		is.True(limit > 0)
		rnd := rand.New(rand.NewPCG(1, uint64(perSecond)))
		var hosts [2]SlidingWindow
		var sent []time.Time
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(time.Duration(rnd.IntN(5)) * time.Millisecond) {
			w := &hosts[rnd.IntN(len(hosts))]
			if w.Allows(now, limit) {
				w.Record(now, limit)
				sent = append(sent, now)
			}
		}
		is.True(float64(maxPerSecond(sent)) <= perSecond*tolerance.Overshoot+tolerance.Slack)
		is.True(len(sent) >= 4*limit) // the limit is used up
	}
}

// Guards against exceeding the larger limit when the limit changes while requests are
// sent, and against any request at a limit of 0.
func TestChangedLimitAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	var w SlidingWindow
	now, sent := start, []time.Time(nil)
	for i := range 4000 {
		limit := []int{8, 3, 0, 5}[i/1000]
		now = now.Add(time.Millisecond)
		if w.Allows(now, limit) {
			is.True(limit > 0)
			w.Record(now, limit)
			sent = append(sent, now)
		}
	}
	is.True(maxPerSecond(sent) <= 8)
}

// Guards against two hosts that warm servers at once after the first one was cut off.
func TestWarmingHostsDoNotOverlap(t *testing.T) {
	is := is.New(t)
	var previous, next WarmupRole
	cut := start.Add(10 * time.Second)
	previousSent, nextSent := 0, 0
	var lastPrevious, firstNext time.Time
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(10 * time.Millisecond) {
		previous.SetAssigned(now, true)                        // never notices that it was replaced
		next.SetAssigned(now, now.After(cut.Add(time.Second))) // the others consider the first host lost
		lastContact := now
		if now.After(cut) {
			lastContact = cut
		}
		if previous.MayWarm(now, PeerContact{LastContact: lastContact}) {
			previousSent++
			lastPrevious = now
		}
		if next.MayWarm(now, PeerContact{LastContact: now}) {
			if firstNext.IsZero() {
				firstNext = now
			}
			nextSent++
		}
	}
	is.True(previousSent > 0 && nextSent > 0)
	is.True(firstNext.Sub(lastPrevious) > time.Second)
}

// Guards against warming servers on a host that has lost all peers, or that has just
// started.
func TestIsolatedHostDoesNotWarm(t *testing.T) {
	is := is.New(t)
	var role WarmupRole
	role.SetAssigned(start, true)
	is.True(!role.MayWarm(start.Add(handoverDelay-time.Millisecond), PeerContact{Alone: true}))
	is.True(role.MayWarm(start.Add(handoverDelay), PeerContact{Alone: true}))
	is.True(!role.MayWarm(start.Add(handoverDelay), PeerContact{Alone: true, LastContact: start}))
	role.Reset()
	role.SetAssigned(start.Add(time.Minute), true)
	is.True(!role.MayWarm(start.Add(time.Minute), PeerContact{Alone: true}))
}

// Guards against limiting cold servers when the operator set no rate or no duration.
func TestNoLimitByDefault(t *testing.T) {
	is := is.New(t)
	is.True(!Warmup{Duration: 3 * time.Second}.Bounded())
	is.True(!Warmup{PerSecond: 8}.Bounded())
	is.True(Warmup{Duration: time.Second, PerSecond: 8}.Bounded())
}
