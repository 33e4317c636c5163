package admit

import "time"

const (
	// pressureMemory is how long a leg counts. Twice the control interval: the
	// pressure follows a burst within it.
	pressureMemory = 200 * time.Millisecond
	// keptLegs are kept for longer where legs are few, as those of exports
	// that run for seconds: two queries' worth.
	keptLegs = 40
	// pressureExpiry forgets even these when no leg has ended for so long.
	pressureExpiry = 5 * time.Second
	// leastLegs keeps a few slow legs from being taken for pressure.
	leastLegs = 10
)

// pressure is the legs' mean wait for a slot at their homes over their mean
// service time. Unlike a latency it needs no idle baseline to compare with,
// and it says the same for long and short work.
type pressure struct {
	wait, service, legs float64
	quiet               time.Duration // since a leg was added
}

func (p *pressure) add(leg *LegTiming) {
	if leg.QueueTime < 0 {
		return
	}
	p.wait += leg.QueueTime.Seconds()
	p.service += max(0, (leg.Time - leg.QueueTime).Seconds())
	p.legs++
	p.quiet = 0
}

func (p *pressure) age(elapsed time.Duration) {
	p.quiet += elapsed
	if p.quiet >= pressureExpiry {
		*p = pressure{}
		return
	}
	keep := max(0, 1-elapsed.Seconds()/pressureMemory.Seconds())
	if p.legs > 0 {
		keep = max(keep, min(1, keptLegs/p.legs))
	}
	p.wait *= keep
	p.service *= keep
	p.legs *= keep
}

// meanService is the mean service time of a leg; zero when not known.
func (p *pressure) meanService() time.Duration {
	if p.legs < leastLegs {
		return 0
	}
	return seconds(p.service / p.legs)
}

func (p *pressure) value() float64 {
	if p.legs < leastLegs || p.service <= 0 {
		return 0
	}
	return p.wait / p.service
}
