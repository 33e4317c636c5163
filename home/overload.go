package home

import "time"

// paceWeight is the weight of the newest interval between two starts: the pace
// follows a server that turns slow within some ten starts.
const paceWeight = 0.1

// pace measures how fast the waiting legs of a class start, whatever the
// reason: the servers' speed, other classes, other hosts' work.
type pace struct {
	last    time.Time
	backlog bool    // legs were left waiting after the last start
	seconds float64 // between two starts while legs wait; 0: not known
}

// started notes a start that leaves so many legs waiting.
func (p *pace) started(now time.Time, waiting int) {
	if p.backlog {
		interval := now.Sub(p.last).Seconds()
		if p.seconds == 0 {
			p.seconds = interval
		}
		p.seconds += paceWeight * (interval - p.seconds)
	}
	p.last, p.backlog = now, waiting > 0
}

// shedExcess puts back legs that the service has no capacity for in time, so
// that the others make it.
//
// Load: several services of a query run above their capacity for seconds, such
// as when one of two servers of each turns slow. Harm prevented: each service
// chooses for itself which legs are late, so that nearly every query lacks a
// few, and hardly any reaches its least coverage in time, though the services
// answer two of three legs. Rule: the legs that are put back are those that
// their query can do without, then those of the lowest request ids. The ids are
// random and rank the queries the same at every service, so the capacity left
// goes to whole queries.
func (h *Home) shedExcess(now time.Time) {
	for i := range h.classes {
		c := &h.classes[i]
		for n := c.firstOverdue(now); n > 0; n = c.firstOverdue(now) {
			c.requeueLate(c.lowest(n))
		}
	}
}

// firstOverdue is how many waiting legs there are up to the first that can't
// make its due time at the present pace; 0: all can.
func (c *class) firstOverdue(now time.Time) int {
	if c.pace.seconds == 0 {
		return 0
	}
	for i, l := range c.waiting.legs {
		if !l.timely() {
			return 0
		}
		wait := time.Duration(float64(i+1) * c.pace.seconds * float64(time.Second))
		if now.Add(wait + c.typicalTime).After(l.order) {
			return i + 1
		}
	}
	return 0
}

// lowest is the first n waiting legs' one to put back.
func (c *class) lowest(n int) *leg {
	low := c.waiting.legs[0]
	for _, l := range c.waiting.legs[1:n] {
		if ranksBelow(l, low) {
			low = l
		}
	}
	return low
}

func ranksBelow(a, b *leg) bool {
	if a.Optional != b.Optional {
		return a.Optional
	}
	return a.Request.Less(b.Request)
}

// requeueLate makes a waiting leg stand behind those that can make their due time.
func (c *class) requeueLate(l *leg) {
	c.waiting.remove(l)
	l.order = l.Deadline
	c.waiting.insert(l)
}

// timely reports whether the leg is still counted on to make its due time.
func (l *leg) timely() bool { return l.order.Before(l.Deadline) }
