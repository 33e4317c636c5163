package admit

import "time"

const (
	// minComeBack is longer than a round trip of the farthest clients, so a
	// refused caller can't spin.
	minComeBack = 20 * time.Millisecond
	// maxComeBack bounds what a short overload may cost a caller.
	maxComeBack = 10 * time.Second
	// comeBackSpread is the random part of the time: callers refused in the
	// same moment come back over that much of their wait.
	comeBackSpread = 0.5
)

// comeBack says when a refused request is worth sending again: when the
// excess has been worked off, and with it what was refused lately and comes
// back too. Load: a burst whose refused part returns. Harm prevented: with
// one fixed time all of it returns at once, as the next burst.
func (c *Controller) comeBack(now time.Time, cl *class, excess time.Duration) time.Duration {
	returning := cl.refused.perSecond(now) / max(cl.capacity, leastCapacity)
	return c.spread(excess + seconds(returning))
}

func (c *Controller) spread(wait time.Duration) time.Duration {
	wait = min(max(wait, minComeBack), maxComeBack)
	return wait + time.Duration(comeBackSpread*c.rnd.Float64()*float64(wait))
}
