package admit

import "time"

// pressureMemory is how long a leg counts. Twice the control interval: the
// pressure follows a burst within it, and a host with one query in it still
// has the legs of all its services to go by.
const pressureMemory = 200 * time.Millisecond

// leastLegs keeps a single slow leg from being taken for pressure.
const leastLegs = 10

// pressure is the legs' mean wait for a slot at their homes over their mean
// service time. Unlike a latency it needs no idle baseline to compare with,
// and it says the same for long and short work.
type pressure struct {
	wait, service, legs float64
}

func (p *pressure) add(leg *Leg) {
	if leg.Wait < 0 {
		return
	}
	p.wait += leg.Wait.Seconds()
	p.service += max(0, (leg.Time - leg.Wait).Seconds())
	p.legs++
}

func (p *pressure) age(elapsed time.Duration) {
	keep := max(0, 1-elapsed.Seconds()/pressureMemory.Seconds())
	p.wait *= keep
	p.service *= keep
	p.legs *= keep
}

func (p *pressure) value() float64 {
	if p.legs < leastLegs || p.service <= 0 {
		return 0
	}
	return p.wait / p.service
}
