package home

import (
	"math"
	"time"
)

const (
	// refusalWeight is the weight of the newest attempt in the refusal rate: the rate
	// follows a server that begins to refuse within some fifteen attempts.
	refusalWeight = 0.08
	// rateHalfLife is the half-life of a rate while nothing is sent, so that a
	// recovered server is tried again within seconds.
	rateHalfLife = 6 * time.Second
	// maxFailureRate keeps a server that fails nearly all requests usable as a last
	// resort; pauses and ejections handle it.
	maxFailureRate = 0.8
	// faultWeight is the weight of the newest attempt in the fault rate. It is higher
	// since a lost answer costs more than a refusal.
	faultWeight = 0.15
)

// failureRate is the exponentially weighted fraction of a server's recent attempts that
// ended in one kind of failure.
type failureRate struct {
	weight  float64 // of the newest attempt
	rate    float64
	lastEnd time.Time // end of the last attempt
}

func (r *failureRate) record(now time.Time, failed bool) {
	r.rate = r.decayed(now)
	if failed {
		r.rate += r.weight
	}
	r.lastEnd = now
}

// value returns the rate, from 0 to maxFailureRate.
func (r *failureRate) value(now time.Time) float64 { return min(r.decayed(now), maxFailureRate) }

// decayed returns the rate as if the next attempt ended without this failure.
func (r *failureRate) decayed(now time.Time) float64 {
	if r.rate == 0 {
		return 0
	}
	idle := now.Sub(r.lastEnd).Seconds() / rateHalfLife.Seconds()
	return (1 - r.weight) * r.rate * math.Exp2(-max(idle, 0))
}
