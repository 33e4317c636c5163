package home

import "time"

const (
	// aheadAttempts is how many attempts beyond its slots a server may hold.
	aheadAttempts = 1
	// firstProbe is how long a server is known before it is tried.
	firstProbe = time.Second
	// leastProbe doubles up to mostProbe with each refusal of an attempt that
	// was sent ahead. At the longest, one leg a minute is refused for it.
	leastProbe = 4 * time.Second
	mostProbe  = time.Minute
	// aheadProven is how many attempts in a row a server must have taken ahead
	// before a refusal counts as its first again.
	aheadProven = 64
)

// ahead learns whether a server keeps a request that comes when its slots are
// full until one is free, or refuses it.
//
// Load: 85% of the slots are busy, and a round trip to the server takes a tenth
// of a service time. Harm prevented: each slot stands idle for a round trip
// between two legs, which turns 85% into 94% and doubles the tail. Reason for
// the limit of one: it covers the round trip; every further leg at the server
// could no longer be placed elsewhere or be overtaken by a more urgent one.
// Servers that shed at full slots are asked less and less often.
type ahead struct {
	taken     int // in a row
	probing   bool
	proven    bool
	refusals  int // without aheadProven attempts taken in between
	nextProbe time.Time
}

// allowed is how many attempts may be sent ahead now: one to a server that
// takes them, and one probe when it is due.
func (a *ahead) allowed(now time.Time) int {
	if a.proven || (!a.probing && !now.Before(a.nextProbe)) {
		return aheadAttempts
	}
	return 0
}

// sent notes an attempt sent ahead.
func (a *ahead) sent() { a.probing = !a.proven }

// ended notes the end of an attempt that was sent ahead.
func (a *ahead) ended(now time.Time, refused bool) {
	a.probing = false
	if !refused {
		a.proven = true
		a.taken++
		if a.taken >= aheadProven {
			a.refusals = 0
		}
		return
	}
	a.proven, a.taken = false, 0
	a.nextProbe = now.Add(min(leastProbe<<min(a.refusals, 8), mostProbe))
	a.refusals++
}

// promote starts the clock of attempts that were sent ahead once a slot is
// free for them: their wait at the server is no service time.
func (h *Home) promote(s *server, now time.Time) {
	for i := 0; i < len(s.running) && i < s.slots; i++ {
		a := s.running[i]
		if !a.ahead {
			continue
		}
		a.ahead = false
		a.started = now
		if !a.hedge && a.leg.Idempotent && !a.leg.done {
			h.classes[a.leg.Class].watch.push(a)
		}
	}
}
