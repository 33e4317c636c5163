package home

import "time"

// stalled reports whether the server seems to be stalled: what runs there is
// older than requests usually take, and nothing has been answered since it
// started.
//
// Load: servers that pause for 120 to 250 ms every few seconds, each at its own
// time, forty of them behind each query. Harm prevented: a paused server looks
// free, and every leg that comes until its slots are full is stuck with the
// first one; of twenty legs of a query, one meets a pause more often than not.
// The first stuck leg gives the server away, and the next ones go elsewhere. A
// single slow request keeps a server out only while it runs, and only as long
// as another server is healthy.
func (h *Home) stalled(s *server, now time.Time) bool {
	if len(s.running) == 0 {
		return false
	}
	oldest := s.running[0]
	age := h.stallAge(&h.classes[oldest.leg.Class])
	return age > 0 && !oldest.ahead && now.Sub(oldest.started) >= age && !s.answeredAt.After(oldest.started)
}

// stallAge is the slow quantile of the class's service times; 0: not yet known.
func (h *Home) stallAge(c *class) time.Duration {
	if !h.cfg.AvoidStalled {
		return 0
	}
	if slow := c.quantiles().slow; slow > 0 {
		return slow
	}
	return c.spec.DefaultHedgeDelay
}

// hedgeStalled moves attempts at stalled servers into the queue of
// hedges, however young they are.
func (h *Home) hedgeStalled(c *class, now time.Time) {
	for a := c.watch.head; a != nil; {
		next := a.next
		if h.stalled(a.server, now) {
			c.watch.remove(a)
			h.queueHedge(c, a, now)
		}
		a = next
	}
}
