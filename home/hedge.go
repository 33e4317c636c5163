package home

import "time"

const (
	// defaultHedgeBurst is the default number of hedges that may be sent beyond the
	// budget's rate.
	defaultHedgeBurst = 20
	// emptyBudgetIncrease is the increase of the hedge delay with an empty budget, as a
	// fraction of the slow quantile.
	emptyBudgetIncrease = 0.5
	// fastQuantile is the quantile used as the shortest service time.
	fastQuantile = 0.05
	// typicalQuantile is the quantile used as the service time of a healthy server.
	typicalQuantile = 0.85
	// refreshSamples is the number of samples after which the quantiles are recomputed.
	refreshSamples = 64
)

// hedgeDelay returns the age at which an attempt is hedged, or 0 if not known yet. It
// grows as the budget runs low, to keep the remaining hedges for the slowest attempts.
// With 2 stragglers in 100 on every service, each third query over 20 services has one.
func (h *Home) hedgeDelay(c *class) time.Duration {
	if h.cfg.HedgeBudget <= 0 {
		return 0
	}
	slow := c.quantiles().slow
	if slow == 0 {
		slow = c.spec.DefaultHedgeDelay
	}
	return time.Duration(float64(slow) * (1 + emptyBudgetIncrease*(1-h.hedgeBudget.FillRatio())))
}

// queueHedges queues a hedge for each attempt past the hedge delay, in deadline order.
func (h *Home) queueHedges(now time.Time) {
	for i := range h.classes {
		c := &h.classes[i]
		age := h.hedgeDelay(c)
		for a := c.hedgeCandidates.head; a != nil && age > 0 && now.Sub(a.started) >= age; a = c.hedgeCandidates.head {
			c.hedgeCandidates.remove(a)
			h.queueHedge(c, a, now)
		}
		h.hedgeStalled(c, now)
	}
}

func (h *Home) queueHedge(c *class, a *attempt, now time.Time) {
	if h.mayHedge(c, a, now) {
		a.leg.queuedIn = inHedgeQueue
		c.hedges.insert(a.leg)
	}
}

// mayHedge reports whether the attempt's leg may have a hedge: it is idempotent, open,
// has one attempt and time left, and another server may run it. A leg that is done may
// still have an attempt whose cancellation is in progress.
func (h *Home) mayHedge(c *class, a *attempt, now time.Time) bool {
	l := a.leg
	return !l.done && l.Idempotent && l.queuedIn == notQueued && !l.hedged && l.runningCount() == 1 &&
		h.usableCount > 1 && l.serversLeft() > 0 && now.Add(c.quantiles().fast).Before(l.Deadline)
}

// pickHedge returns the first hedge that a server is free for. Hedges are only sent
// while no leg waits for its first attempt, so that a service near its capacity does no
// duplicate work.
func (h *Home) pickHedge(c *class, now time.Time) (*leg, *server) {
	if c.hedges.len() == 0 || c.waiting.len() > 0 || !h.hedgeBudget.CanSpend() {
		return nil, nil
	}
	for i := 0; i < c.hedges.len() && i < maxQueueScan; i++ {
		l := c.hedges.legs[i]
		if s := h.place(c, l, i, now); s != nil {
			return l, s
		}
	}
	return nil, nil
}

// attemptList is a linked list of attempts in start order.
type attemptList struct {
	head, tail *attempt
}

func (l *attemptList) push(a *attempt) {
	a.prev, a.hedgeCandidate = l.tail, true
	if l.tail == nil {
		l.head = a
	} else {
		l.tail.next = a
	}
	l.tail = a
}

func (l *attemptList) remove(a *attempt) {
	if !a.hedgeCandidate {
		return
	}
	if a.prev == nil {
		l.head = a.next
	} else {
		a.prev.next = a.next
	}
	if a.next == nil {
		l.tail = a.prev
	} else {
		a.next.prev = a.prev
	}
	a.prev, a.next, a.hedgeCandidate = nil, nil, false
}
