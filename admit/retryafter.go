package admit

import "time"

const (
	// minRetryAfter exceeds the round trip of distant callers, so that a
	// refused caller can't retry in a tight loop.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter bounds what a short overload costs a caller.
	maxRetryAfter = 10 * time.Second
	// retryJitter is the random part that is added, as a fraction of the delay.
	retryJitter = 0.5
)

// retryAfter is when a refused request is worth sending again: when the
// excess has been worked off, and with it the requests that were refused
// lately and will be retried too. Under a burst, a fixed delay would bring all
// refused requests back as the next burst.
func (c *Controller) retryAfter(now time.Time, cl *class, excess time.Duration) time.Duration {
	retried := cl.refused.perSecond(now) / max(cl.capacity, minCapacity)
	return c.addJitter(excess + seconds(retried))
}

func (c *Controller) addJitter(delay time.Duration) time.Duration {
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	return delay + time.Duration(retryJitter*c.rnd.Float64()*float64(delay))
}
