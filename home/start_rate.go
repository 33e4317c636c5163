package home

import "time"

// startRateWeight is the weight of the newest interval between two starts: the rate follows
// a server that turns slow within some ten starts.
const startRateWeight = 0.1

// startRate measures how fast waiting legs of a class are started.
type startRate struct {
	last    time.Time
	backlog bool    // legs were still waiting after the last start
	seconds float64 // mean seconds between two starts while legs wait; 0 if unknown
}

// recordStart records a start after which this many legs still wait.
func (r *startRate) recordStart(now time.Time, waiting int) {
	if r.backlog {
		interval := now.Sub(r.last).Seconds()
		if r.seconds == 0 {
			r.seconds = interval
		}
		r.seconds += startRateWeight * (interval - r.seconds)
	}
	r.last, r.backlog = now, waiting > 0
}

// requeueLate moves a waiting leg behind those that can meet their soft deadline.
func (c *class) requeueLate(l *leg) {
	c.waiting.remove(l)
	l.orderBy = l.Deadline
	c.waiting.insert(l)
}

// onTime reports whether the leg is still expected to meet its soft deadline.
func (l *leg) onTime() bool { return l.orderBy.Before(l.Deadline) }
