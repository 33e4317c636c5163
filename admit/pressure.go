package admit

import "time"

const (
	// pressureTimeConstant is how fast old legs lose weight: twice the
	// control interval, so that a burst shows within two of them.
	pressureTimeConstant = 200 * time.Millisecond
	// minKeptLegs keep their weight for longer where legs are few, as on
	// routes whose legs run for seconds.
	minKeptLegs = 40
	// pressureExpiry discards all samples when no leg has ended for this long.
	pressureExpiry = 5 * time.Second
	// minPressureLegs is the number of samples below which no value is given.
	minPressureLegs = 10
)

// pressure is the legs' mean wait for a slot at their homes over their mean
// service time. Unlike a latency it needs no unloaded baseline, and values of
// short and long work can be compared.
type pressure struct {
	wait, service, legs float64       // decayed sums, in seconds, and count
	idle                time.Duration // since a leg was added
}

func (p *pressure) add(leg *LegTiming) {
	if leg.QueueTime < 0 {
		return
	}
	p.wait += leg.QueueTime.Seconds()
	p.service += max(0, (leg.Time - leg.QueueTime).Seconds())
	p.legs++
	p.idle = 0
}

func (p *pressure) decay(elapsed time.Duration) {
	p.idle += elapsed
	if p.idle >= pressureExpiry {
		*p = pressure{}
		return
	}
	keep := max(0, 1-elapsed.Seconds()/pressureTimeConstant.Seconds())
	if p.legs > 0 {
		keep = max(keep, min(1, minKeptLegs/p.legs))
	}
	p.wait *= keep
	p.service *= keep
	p.legs *= keep
}

// meanService is the mean service time of a leg; zero when not known.
func (p *pressure) meanService() time.Duration {
	if p.legs < minPressureLegs {
		return 0
	}
	return seconds(p.service / p.legs)
}

// value is zero when too few legs were sampled.
func (p *pressure) value() float64 {
	if p.legs < minPressureLegs || p.service <= 0 {
		return 0
	}
	return p.wait / p.service
}
