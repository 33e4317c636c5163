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
	// The numbers of watching hosts above which the watch timeout and the batch delay grow
	// in proportion: each watch that ends, and each change, costs one call for each
	// watching host, while only the first of them to learn of a change matters.
	watchersPerTimeout = 4
	watchersPerBatch   = 3
	// maxWatchStretch keeps a host that has lost all others from being cut off during a
	// watch.
	maxWatchStretch = 2
	// maxBatchStretch lets a host that has lost all others learn of a leaving server
	// within a second.
	maxBatchStretch = 4
)

// stretch is the factor by which each watching host waits longer.
func stretch(watchers, threshold, limit int) float64 {
	return min(max(float64(watchers)/float64(threshold), 1), float64(limit))
}

// watchTimeout returns a random timeout for the next watch.
func watchTimeout(watchers int) time.Duration {
	timeout := minWatchTimeout + rand.N(maxWatchTimeout-minWatchTimeout)
	return time.Duration(stretch(watchers, watchersPerTimeout, maxWatchStretch) * float64(timeout))
}

// batchDelay returns a random delay before the next watch, given the delay of a single
// watcher. Its jitter keeps the watchers from all pausing at the same time.
func batchDelay(interval time.Duration, watchers int) time.Duration {
	maxDelay := time.Duration(stretch(watchers, watchersPerBatch, maxBatchStretch) * float64(interval))
	return maxDelay/2 + rand.N(maxDelay/2+1)
}
