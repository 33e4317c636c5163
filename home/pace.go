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

// requeueLate makes a waiting leg stand behind those that can make their due time.
func (c *class) requeueLate(l *leg) {
	c.waiting.remove(l)
	l.order = l.Deadline
	c.waiting.insert(l)
}

// timely reports whether the leg is still counted on to make its due time.
func (l *leg) timely() bool { return l.order.Before(l.Deadline) }
