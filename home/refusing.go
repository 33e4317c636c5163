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
)

// refusing is the share of the latest attempts that a server has refused.
type refusing struct {
	latest float64
	at     time.Time // of the last attempt's end
}

func (r *refusing) note(now time.Time, refused bool) {
	r.latest = r.decayed(now)
	if refused {
		r.latest += refusalWeight
	}
	r.at = now
}

// share is from 0 to mostRefusalShare.
func (r *refusing) share(now time.Time) float64 { return min(r.decayed(now), mostRefusalShare) }

// decayed is the share as if the next attempt were answered.
func (r *refusing) decayed(now time.Time) float64 {
	if r.latest == 0 {
		return 0
	}
	idle := now.Sub(r.at).Seconds() / refusalHalfLife.Seconds()
	return (1 - refusalWeight) * r.latest * math.Exp2(-max(idle, 0))
}
