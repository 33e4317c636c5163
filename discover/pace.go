package discover

import (
	"math/rand/v2"
	"time"
)

const (
	// leastWait and mostWait bound how long one watch waits where few hosts watch.
	//
	// Failure: the store drops its history, or loses track of the watches, and
	// they hear nothing of a change that was made meanwhile. The guard holds
	// because watches end at random times: the first host of the fleet to watch
	// again is told, and the others hear of it from their peers.
	leastWait = 2 * time.Second
	mostWait  = 4 * time.Second
	// watchersPerCall and watchersPerGather are by how many watching hosts the time of a
	// watch, and that for which changes are gathered, grow with their number.
	//
	// Load: each watch that ends, and each change, costs as many calls as hosts watch,
	// and the users pay for calls. Harm prevented: more watchers, which make it less
	// likely that all are lost or turned away together, cost more calls. Reason for the
	// rule: what counts is how soon the first of them hears, and that depends on the
	// calls of all; each makes its part of them.
	watchersPerCall   = 4
	watchersPerGather = 3
	// mostWatchStretch: a host that has lost all others must not take itself for cut off
	// while a watch that it began before goes on.
	mostWatchStretch = 2
	// mostGatherStretch: a host that has lost all others hears of a server that leaves
	// within a second.
	mostGatherStretch = 4
)

// stretch is how many times longer each of the watching hosts waits.
func stretch(watchers, each, most int) float64 {
	return min(max(float64(watchers)/float64(each), 1), float64(most))
}

// watchFor draws how long the next watch waits.
func watchFor(watchers int) time.Duration {
	wait := leastWait + rand.N(mostWait-leastWait)
	return time.Duration(stretch(watchers, watchersPerCall, mostWatchStretch) * float64(wait))
}

// gatherFor draws how long changes are gathered before the next watch, where one host
// alone would gather them for the usual time. It is drawn from the half of it on, so that
// the watchers don't all gather at once, when nobody would hear.
func gatherFor(usual time.Duration, watchers int) time.Duration {
	most := time.Duration(stretch(watchers, watchersPerGather, mostGatherStretch) * float64(usual))
	return most/2 + rand.N(most/2+1)
}
