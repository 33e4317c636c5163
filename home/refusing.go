package home

import (
	"math"
	"time"
)

const (
	// refusalWeight is the weight of the newest attempt in the share that a server
	// refuses: it follows a server that begins to refuse within some fifteen, which
	// is a few seconds on a host that sends it three a second.
	refusalWeight = 0.08
	// refusalHalfLife is how fast the share is forgotten while nothing is sent: a
	// healthy server is tried again within some seconds.
	refusalHalfLife = 6 * time.Second
	// mostRefusalShare keeps a server that refuses nearly all from being taken for
	// one that never answers: its pauses see to that.
	mostRefusalShare = 0.8
	// faultWeight is refusalWeight for lost and failed answers: each costs its leg
	// more than a refusal, so that a few are heeded.
	faultWeight = 0.15
)

// recentShare is the share of a server's latest attempts that ended in one way: in a
// refusal, or without their answer.
type recentShare struct {
	weight float64 // of the newest
	latest float64
	at     time.Time // of the last attempt's end
}

func (r *recentShare) note(now time.Time, ended bool) {
	r.latest = r.decayed(now)
	if ended {
		r.latest += r.weight
	}
	r.at = now
}

// share is from 0 to mostRefusalShare.
func (r *recentShare) share(now time.Time) float64 { return min(r.decayed(now), mostRefusalShare) }

// decayed is the share as if the next attempt ended otherwise.
func (r *recentShare) decayed(now time.Time) float64 {
	if r.latest == 0 {
		return 0
	}
	idle := now.Sub(r.at).Seconds() / refusalHalfLife.Seconds()
	return (1 - r.weight) * r.latest * math.Exp2(-max(idle, 0))
}
