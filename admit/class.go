package admit

import "time"

// class is the state of one class of requests.
type class struct {
	name         string
	reserved     float64   // share of the host's bounds, 0 to 1
	priority     int       // 0 is the most urgent
	limited      bool      // its requests have targets
	bytes        int       // of the request bodies in flight
	deadlines    deadlines // of the requests in flight
	callers      *callers
	admitted     decayingRate
	ended        decayingRate // requests with a target
	refused      decayingRate
	pressure     pressure
	legs         legLatencies
	refusals     map[string]int // by reason, since the start
	latencyLimit latencyLimit
	capacityEstimator
}

func newClass(name string) *class {
	return &class{name: name, callers: newCallers(), legs: newLegLatencies(), refusals: make(map[string]int), capacityEstimator: newCapacityEstimator()}
}

func (cl *class) inFlight() int { return len(cl.deadlines) }

// controlInterval is how often capacities and rate limits are updated: often
// enough to react to a burst within an interactive request's deadline, and
// long enough to hold some answers of a busy class.
const controlInterval = 100 * time.Millisecond

// control updates the estimates and limits when an interval has passed. It is
// called by Admit and Release instead of by a timer; after an idle time one run
// covers all missed intervals.
func (c *Controller) control(now time.Time) {
	if c.nextControl.IsZero() {
		c.nextControl = now.Add(controlInterval)
		return
	}
	late := now.Sub(c.nextControl)
	if late < 0 {
		return
	}
	elapsed := controlInterval + late
	for _, cl := range c.classes {
		cl.pressure.decay(elapsed)
		cl.updateCapacity(elapsed, cl.pressure.value())
		cl.callers.updateRateLimit(now, cl.admitted.perSecond(now), cl.pressure.value())
	}
	c.nextControl = now.Add(controlInterval)
}
