package admit

import "time"

// class is the state of one class of requests.
type class struct {
	name      string
	reserved  float64 // share of the host's bounds, 0 to 1
	bytes     int
	deadlines deadlines // of the requests in flight
	callers   *callers
	admitted  rate
	refused   rate
	pressure  pressure
	legs      legTimes
	backlog
}

func newClass(name string) *class {
	return &class{name: name, callers: newCallers(), legs: newLegTimes(), backlog: newBacklog()}
}

func (cl *class) count() int { return len(cl.deadlines) }

// controlInterval is how often capacity and fair level are reckoned anew:
// often enough to answer a burst within a screen's deadline, seldom enough
// that an interval at 100 requests a second still holds ten answers.
const controlInterval = 100 * time.Millisecond

// control runs what is due. It is called by Admit and Done, so it needs no
// timer; after an idle time one run stands for all that were missed.
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
		cl.pressure.age(elapsed)
		cl.reckonCapacity(elapsed, cl.pressure.value())
		cl.callers.reckonLevel(now, cl.admitted.perSecond(now), cl.pressure.value())
	}
	c.nextControl = now.Add(controlInterval)
}
