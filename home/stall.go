package home

import "time"

// stalled reports whether the server seems stalled: its oldest request is older than
// stallAge and nothing has been answered since that started. A paused server looks free,
// and every leg sent to it would be stuck too. Where forty servers behind a query pause for
// 120 to 250 ms every few seconds, one of its twenty legs meets a pause more often than not.
func (h *Home) stalled(s *server, now time.Time) bool {
	if len(s.running) == 0 {
		return false
	}
	oldest := s.running[0]
	age := h.stallAge(&h.classes[oldest.leg.Class])
	return age > 0 && !oldest.pipelined && now.Sub(oldest.started) >= age && !s.lastAnswer.After(oldest.started)
}

// stallAge returns the age from which the oldest request at a server counts as stalled:
// the slow quantile of the class's service times, or its default hedge delay while that
// isn't known. 0 means that stalls aren't detected.
func (h *Home) stallAge(c *class) time.Duration {
	if !h.cfg.AvoidStalled {
		return 0
	}
	if slow := c.quantiles().slow; slow > 0 {
		return slow
	}
	return c.spec.DefaultHedgeDelay
}

// hedgeStalled queues hedges for all attempts at stalled servers, whatever their age.
func (h *Home) hedgeStalled(c *class, now time.Time) {
	for a := c.hedgeCandidates.head; a != nil; {
		next := a.next
		if h.stalled(a.server, now) {
			c.hedgeCandidates.remove(a)
			h.queueHedge(c, a, now)
		}
		a = next
	}
}
