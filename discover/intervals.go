package discover

import (
	"math/rand/v2"
	"time"
)

const (
	// minWatchTimeout and maxWatchTimeout bound one watch where few hosts watch. Watches
	// end at random times, so that after the store has lost track of its watches some host
	// soon watches again and tells the others.
	minWatchTimeout = 2 * time.Second
	maxWatchTimeout = 4 * time.Second
	// With more watching hosts than these, the watch timeout and the batch delay grow in
	// proportion: each watch that ends, and each change, costs one call for each watching
	// host, while only the first of them to learn of a change matters.
	maxWatchersForBaseTimeout = 4
	maxWatchersForBaseDelay   = 3
	// maxWatchTimeoutFactor keeps a host that has lost all others from being cut off during a
	// watch.
	maxWatchTimeoutFactor = 2
	// maxBatchDelayFactor lets a host that has lost all others learn of a leaving server
	// within a second.
	maxBatchDelayFactor = 4
)

// intervalFactor is the factor by which each watching host waits longer: watchers divided
// by threshold, but at least 1 and at most limit.
func intervalFactor(watchers, threshold, limit int) float64 {
	return min(max(float64(watchers)/float64(threshold), 1), float64(limit))
}

// watchTimeout returns a random timeout for the next watch.
func watchTimeout(watchers int) time.Duration {
	timeout := minWatchTimeout + rand.N(maxWatchTimeout-minWatchTimeout)
	return time.Duration(intervalFactor(watchers, maxWatchersForBaseTimeout, maxWatchTimeoutFactor) * float64(timeout))
}

// batchDelay returns a random delay before the next watch, given the delay of a single
// watcher. Its jitter keeps the watchers from all pausing at the same time.
func batchDelay(interval time.Duration, watchers int) time.Duration {
	maxDelay := time.Duration(intervalFactor(watchers, maxWatchersForBaseDelay, maxBatchDelayFactor) * float64(interval))
	return maxDelay/2 + rand.N(maxDelay/2+1)
}
