package admit

import (
	"math"
	"time"
)

// rateTimeConstant is how fast old events lose weight: slowly enough to
// smooth the Poisson noise of a caller with few requests a second, fast
// enough that a flood shows within a second.
const rateTimeConstant = 2 * time.Second

// decayingRate is an exponentially decaying count of events.
type decayingRate struct {
	count     float64
	updatedAt time.Time
}

func (r *decayingRate) add(now time.Time, n float64) {
	r.count = r.recent(now) + n
	r.updatedAt = now
}

// recent is about the number of events within the last rateTimeConstant.
func (r *decayingRate) recent(now time.Time) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp(-max(0, now.Sub(r.updatedAt).Seconds())/rateTimeConstant.Seconds())
}

func (r *decayingRate) perSecond(now time.Time) float64 {
	return r.recent(now) / rateTimeConstant.Seconds()
}
