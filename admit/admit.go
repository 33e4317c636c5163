// Package admit decides at the door of an entry host whether a request is
// taken in: bounds in count and bytes with a reserved share for each class,
// refusal when the deadline can't be met, fairness between the callers of a
// class. It never delays a request: it admits or refuses at once, and a
// refusal says when to come back.
//
// The decisions are pure: time and randomness are passed in, and nothing here
// starts a goroutine, opens a socket or writes a log. A plain mutex around the
// state makes a Controller safe for use from many goroutines.
//
// Three layers, each for a load of its own:
//
//   - bounds (bounds.go) for bursts of large requests: the host's memory;
//   - the backlog (backlog.go, legtime.go) for saturation: what is taken in
//     can still be answered in time, so that goodput does not collapse;
//   - fairness (fair.go) for skewed demand: one caller's flood is its own
//     loss, not the other callers'.
package admit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Limits are the hard bounds of one entry host, from its settings.
type Limits struct {
	MaxConcurrent int // requests in flight
	MaxBytes      int // of the bodies of all requests in flight
}

// Request is one request at the door.
type Request struct {
	Caller   string
	Weight   float64 // the caller's share against the others of its class; at least a tiny one
	Class    int     // position in the bundle's classes
	Deadline time.Time
	Bytes    int // of the request's body
	// Services has one entry for each leg: the services that the route's
	// pinned snapshot touches.
	Services []string
	// MinLegs is how many legs must be answered for there to be an answer:
	// all of them on a coverage route, fewer where a partial answer will do.
	MinLegs int
}

// LegTiming is how one leg of an admitted request went.
type LegTiming struct {
	Service string
	Time    time.Duration // from admission until its reply, or until it was given up
	// QueueTime is the part of Time that the leg waited at its home for a slot;
	// negative when it is not known.
	QueueTime time.Duration
	// TimedOut legs got no reply in time; Time is then only a lower bound.
	TimedOut bool
}

// Completion is what became of an admitted request.
type Completion struct {
	// Answered requests got an answer, whole or partial, in time.
	Answered bool
	// Abandoned requests tell nothing of the load: their caller went away.
	Abandoned bool
	Legs      []LegTiming
}

// Permit is the right of one admitted request to run; it goes back through Done.
type Permit struct {
	class    *class
	admitted time.Time
	deadline time.Time
	bytes    int
	done     bool
}

// Controller is the admission of one entry host.
type Controller struct {
	mu          sync.Mutex
	limits      Limits
	rnd         *rand.Rand
	classes     []*class
	count       int // requests in flight, of all classes
	bytes       int
	nextControl time.Time
}

// New makes a controller without classes: it refuses everything until the
// first Reconfigure. rnd spreads the times at which refused callers come back.
func New(limits Limits, rnd *rand.Rand) *Controller {
	return &Controller{limits: limits, rnd: rnd}
}

// Reconfigure takes the classes of a bundle over. A class that stays, by
// name, keeps what it has measured and what it has in flight.
func (c *Controller) Reconfigure(cfg *bundle.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]*class, len(c.classes))
	for _, cl := range c.classes {
		known[cl.name] = cl
	}
	c.classes = c.classes[:0:0]
	for _, spec := range cfg.Classes {
		cl := known[spec.Name]
		if cl == nil {
			cl = newClass(spec.Name)
		}
		cl.reserved = spec.ReservedShare
		c.classes = append(c.classes, cl)
	}
}

// Admit decides on a request. It returns either a Pass, to be given back
// through Done exactly when the request has ended, or the refusal.
func (c *Controller) Admit(now time.Time, ask Request) (*Permit, *result.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ask.Class < 0 || ask.Class >= len(c.classes) {
		return nil, result.Errorf(result.NotReady, "no such class in force")
	}
	c.control(now)
	cl := c.classes[ask.Class]
	from := cl.callers.arrive(now, ask.Caller, ask.Weight)
	if refusal := c.judge(now, cl, from, ask); refusal != nil {
		cl.refused.add(now, 1)
		from.refused.add(now, 1)
		return nil, refusal
	}
	return c.take(now, cl, from, ask), nil
}

// judge asks the cheapest and hardest bounds first.
func (c *Controller) judge(now time.Time, cl *class, from *caller, ask Request) *result.Error {
	if !now.Before(ask.Deadline) {
		return result.Errorf(result.DeadlineUnmeetable, "the deadline has passed")
	}
	if refusal := c.judgeBounds(now, cl, ask.Bytes); refusal != nil {
		return refusal
	}
	if refusal := c.judgeWait(now, cl, from, ask); refusal != nil {
		return refusal
	}
	return c.judgeShare(now, cl, from)
}

// judgeWait refuses what would wait too long. A class without work in flight
// is always let in by one request: it measures anew after a time in which
// everything was refused.
func (c *Controller) judgeWait(now time.Time, cl *class, from *caller, ask Request) *result.Error {
	if cl.count() == 0 {
		return nil
	}
	left := ask.Deadline.Sub(now)
	if refusal := c.judgeLegs(now, cl, left, ask); refusal != nil {
		return refusal
	}
	return c.judgeBacklog(now, cl, from, ask.Deadline, left)
}

func (c *Controller) take(now time.Time, cl *class, from *caller, ask Request) *Permit {
	c.count++
	c.bytes += ask.Bytes
	cl.bytes += ask.Bytes
	cl.deadlines.insert(ask.Deadline)
	from.admitted.add(now, 1)
	cl.admitted.add(now, 1)
	return &Permit{class: cl, admitted: now, deadline: ask.Deadline, bytes: ask.Bytes}
}

// Release gives a pass back and learns from what became of the request. A second
// call with the same pass does nothing.
func (c *Controller) Release(now time.Time, pass *Permit, observed Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pass == nil || pass.done {
		return
	}
	pass.done = true
	c.count--
	c.bytes -= pass.bytes
	pass.class.bytes -= pass.bytes
	pass.class.deadlines.remove(pass.deadline)
	if !observed.Abandoned {
		c.learn(now, pass.class, observed)
	}
	c.control(now)
}

func (c *Controller) learn(now time.Time, cl *class, observed Completion) {
	if observed.Answered {
		cl.answered++
	}
	for i := range observed.Legs {
		leg := &observed.Legs[i]
		cl.legs.add(now, leg)
		cl.pressure.add(leg)
	}
}

// Stats is a view of a controller for metrics and the status page.
type Stats struct {
	InFlight int
	Bytes    int
	Classes  []ClassStats
}

// ClassStats is a view of one class.
type ClassStats struct {
	Name     string
	InFlight int
	Bytes    int
	// Capacity is the estimate of the requests a second that the backend
	// servers can answer for this class and host.
	Capacity float64
	// Pressure is the legs' mean wait for a slot over their mean service time.
	Pressure float64
	// Callers that asked within the last seconds.
	Callers int
}

// Stats returns a view of what is in flight and measured.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := Stats{InFlight: c.count, Bytes: c.bytes}
	for _, cl := range c.classes {
		stats.Classes = append(stats.Classes, ClassStats{
			Name: cl.name, InFlight: cl.count(), Bytes: cl.bytes,
			Capacity: cl.capacity, Pressure: cl.pressure.value(), Callers: cl.callers.len(),
		})
	}
	return stats
}
