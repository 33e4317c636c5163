package home

import "time"

const (
	// hedgeBurst is how many hedges may be sent beyond the budget's rate.
	hedgeBurst = 20
	// hedgeDelay: with an empty budget legs are hedged this much later than
	// with a full one, as a share of the slow quantile.
	hedgeDelay = 0.5
	// leastQuantile is the quantile taken for the shortest time in which a
	// request can be answered.
	leastQuantile = 0.05
	// typicalQuantile is the quantile taken for the time that a request on a
	// healthy server takes.
	typicalQuantile = 0.85
	// refreshEvery is after how many samples the quantiles are worked out anew.
	refreshEvery = 64
)

// hedgeAge is the age at which an attempt is hedged; zero: not yet known.
//
// Load: stragglers, 2 in 100, on every service a query touches: each third
// query has one. Harm prevented: the query waits for the straggler. The age
// follows the observed quantile, and grows as the budget runs low, because a
// hedge spent on an ordinary leg is missing for a straggler later.
func (h *Home) hedgeAge(c *class) time.Duration {
	if h.cfg.HedgeBudget <= 0 {
		return 0
	}
	slow := c.quantiles().slow
	if slow == 0 {
		slow = c.spec.DefaultHedgeDelay
	}
	return time.Duration(float64(slow) * (1 + hedgeDelay*(1-h.hedgeBudget.FillRatio())))
}

// queueHedges moves attempts that are past the hedge age into the queue of
// hedges, in their query's deadline order: an old query's last leg goes first.
func (h *Home) queueHedges(now time.Time) {
	for i := range h.classes {
		c := &h.classes[i]
		age := h.hedgeAge(c)
		for a := c.watch.head; a != nil && age > 0 && now.Sub(a.started) >= age; a = c.watch.head {
			c.watch.remove(a)
			h.queueHedge(c, a, now)
		}
		h.hedgeStalled(c, now)
	}
}

func (h *Home) queueHedge(c *class, a *attempt, now time.Time) {
	if h.wantsHedge(c, a, now) {
		a.leg.place = inHedges
		c.hedges.insert(a.leg)
	}
}

// wantsHedge: only an idempotent leg with one attempt that has another server
// to go to and time left. A second copy of a booking could run twice. A leg
// that is done may still have an attempt whose cancellation is under way.
func (h *Home) wantsHedge(c *class, a *attempt, now time.Time) bool {
	l := a.leg
	return !l.done && l.Idempotent && l.place == notQueued && !l.hedged && l.runningCount() == 1 &&
		h.usableCount > 1 && l.serversLeft() > 0 && now.Add(c.quantiles().least).Before(l.Deadline)
}

// pickHedge is the first hedge that has a free server other than the one that
// runs it, if no leg waits for its first attempt.
//
// Load: a service near its capacity, of which half of the servers are slow. Harm
// prevented: hedges of older queries go before first attempts of newer ones, and
// each uses a slot for work that is done elsewhere already, so that the service
// falls behind just when it has nothing to spare.
func (h *Home) pickHedge(c *class, now time.Time) (*leg, *server) {
	if c.hedges.len() == 0 || c.waiting.len() > 0 || !h.hedgeBudget.CanSpend() {
		return nil, nil
	}
	for i := 0; i < c.hedges.len() && i < maxScan; i++ {
		l := c.hedges.legs[i]
		if s := h.place(c, l, i, now); s != nil {
			return l, s
		}
	}
	return nil, nil
}

// attemptList holds attempts in the order of their start.
type attemptList struct {
	head, tail *attempt
}

func (l *attemptList) push(a *attempt) {
	a.prev, a.watched = l.tail, true
	if l.tail == nil {
		l.head = a
	} else {
		l.tail.next = a
	}
	l.tail = a
}

func (l *attemptList) remove(a *attempt) {
	if !a.watched {
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
	a.prev, a.next, a.watched = nil, nil, false
}
