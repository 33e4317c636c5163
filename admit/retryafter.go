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

// Bounds of the retry delay of a request with a target, as parts of the time that it has
// left: late enough for a queue to drain, early enough for the retry to be of use, and within
// the third of their time that callers wait at most.
const (
	minRetryShare = 0.10
	maxRetryShare = 0.30
)

// RetryAfter returns when a refused request of the class with the given time left may return:
// spread over the time in which as many requests end as were refused lately. A fixed delay
// would bring them back as the next burst.
func (c *Controller) RetryAfter(now time.Time, classIndex int, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if classIndex < 0 || classIndex >= len(c.classes) {
		return minRetryAfter
	}
	return c.spreadRetries(now, c.classes[classIndex], left)
}

func (c *Controller) spreadRetries(now time.Time, cl *class, left time.Duration) time.Duration {
	until := seconds(cl.refused.recent(now) / max(cl.ended.perSecond(now), minCapacity))
	return SpreadRetry(left, until, c.rnd.Float64())
}

// SpreadRetry returns a retry delay up to about until, for a request with the given time
// left; jitter, 0 to 1, spreads it.
func SpreadRetry(left, until time.Duration, jitter float64) time.Duration {
	earliest := minRetryShare * left.Seconds()
	latest := min(max(until.Seconds(), 2*earliest), maxRetryShare*left.Seconds())
	return seconds(earliest + jitter*(latest-earliest))
}

func (c *Controller) addJitter(delay time.Duration) time.Duration {
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	return delay + time.Duration(retryJitter*c.rnd.Float64()*float64(delay))
}
