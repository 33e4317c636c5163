package admit

import (
	"math"
	"time"
)

// rateMemory is the time constant of rates: long enough that a caller's
// Poisson noise at ten requests a second is under a quarter, short enough
// that a flood shows within the second.
const rateMemory = 2 * time.Second

// rate is an exponentially decaying count of events.
type rate struct {
	count float64
	at    time.Time
}

func (r *rate) add(now time.Time, n float64) {
	r.count = r.recent(now) + n
	r.at = now
}

// recent is about the number of events within the last rateMemory.
func (r *rate) recent(now time.Time) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp(-max(0, now.Sub(r.at).Seconds())/rateMemory.Seconds())
}

func (r *rate) perSecond(now time.Time) float64 { return r.recent(now) / rateMemory.Seconds() }
