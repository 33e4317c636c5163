// Package admit decides whether an entry host admits a request: bounds on the
// requests and bytes in flight with a reserved share for each class, refusal of
// requests that can't meet their deadline, and fairness between the callers of
// a class. It never queues a request: it admits or refuses at once, and a
// refusal carries a retry delay.
//
// The decisions are deterministic: time and randomness are passed in, and the
// package starts no goroutine and does no I/O. A Controller is safe for
// concurrent use.
package admit

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Limits are the hard limits of one entry host, from its settings.
type Limits struct {
	MaxConcurrent int // requests in flight
	MaxBytes      int // of the bodies of all requests in flight
}

// Request is a request that asks for admission.
type Request struct {
	Caller   string
	Weight   float64 // of the caller against the others of its class
	Class    int     // position in the bundle's classes
	Deadline time.Time
	// Target is when the answer loses most of its value. Requests with a target are
	// bounded by the latency limit of their class instead of by their wait.
	Target time.Time
	// Priority is that of the class; 0 is the most urgent.
	Priority int
	// ProcessorDelay is how long work waits for this host's processor.
	ProcessorDelay time.Duration
	Bytes          int // of the request's body
	// Services has one entry for each leg, from the pinned snapshot.
	Services []string
	// MinLegs is how many legs must be answered for there to be an answer;
	// fewer than all where a partial answer will do.
	MinLegs int
}

// Reasons of refusals, for metrics and logs.
const (
	ReasonBounds    = "bounds"    // the host's bounds on requests and bytes
	ReasonLimit     = "limit"     // the latency limit of the class
	ReasonProcessor = "processor" // work waits too long for this host's processor
	ReasonShare     = "share"     // the caller is over its share
	ReasonForecast  = "forecast"  // the forecasts of the services' homes
	ReasonSilent    = "silent"    // too many services answer nothing
	ReasonWait      = "wait"      // the measured wait of requests without a target
)

// LegTiming is the latency of one leg of an admitted request.
type LegTiming struct {
	Service string
	Time    time.Duration // from admission until its reply or its cancellation
	// QueueTime is the part of Time that the leg waited at its home for a slot;
	// negative when it is not known.
	QueueTime time.Duration
	// TimedOut: no reply came in time; Time is then only a lower bound.
	TimedOut bool
}

// Completion is how an admitted request ended.
type Completion struct {
	// Answered: a complete or partial answer was sent in time.
	Answered bool
	// Abandoned: the caller went away, so the request says nothing about load.
	Abandoned bool
	// NotRun: it was refused after its admission, before it used anything.
	NotRun bool
	// Refused is the reason if it was refused after its admission.
	Refused string
	Legs    []LegTiming
	// ProcessorDelay is how long work waited for this host's processor lately.
	ProcessorDelay time.Duration
}

// Permit is the permission of one admitted request to run.
type Permit struct {
	class    *class
	caller   *caller
	admitted time.Time
	deadline time.Time
	target   time.Time
	inFlight int // of the class at its admission, itself included
	bytes    int
	// overShare: its caller has more than an equal share of the class.
	overShare bool
	done      bool
}

// overShareQueueShare is the part of the usual queue time that requests of callers over
// their share are admitted with. It leaves room in the queues for the other callers, and
// keeps the slots busy if there are no others.
const overShareQueueShare = 0.25

// shortRefusedShare is the part of a class's requests that must be refused lately for its
// capacity to count as short: nobody is cut for a queue that is long for a moment.
const shortRefusedShare = 0.05

func (cl *class) isShort(now time.Time) bool {
	refused := cl.refused.recent(now)
	return refused >= 1 && refused > shortRefusedShare*cl.admitted.recent(now)
}

// QueueShare returns the part of the usual queue time that the request may be forecast.
func (p *Permit) QueueShare() float64 {
	if p != nil && p.overShare {
		return overShareQueueShare
	}
	return 1
}

// Controller is the admission of one entry host.
type Controller struct {
	mu          sync.Mutex
	limits      Limits
	rnd         *rand.Rand
	classes     []*class
	inFlight    int // requests, of all classes
	bytes       int // of their bodies
	nextControl time.Time
}

// New makes a controller without classes: it refuses everything until the
// first Reconfigure. rnd adds jitter to retry delays.
func New(limits Limits, rnd *rand.Rand) *Controller {
	return &Controller{limits: limits, rnd: rnd}
}

// Reconfigure applies the classes of a bundle. A class that keeps its name
// keeps its measurements and its requests in flight.
func (c *Controller) Reconfigure(cfg *bundle.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	existing := make(map[string]*class, len(c.classes))
	for _, cl := range c.classes {
		existing[cl.name] = cl
	}
	c.classes = c.classes[:0:0]
	for _, spec := range cfg.Classes {
		cl := existing[spec.Name]
		if cl == nil {
			cl = newClass(spec.Name)
		}
		cl.reserved = spec.ReservedShare
		c.classes = append(c.classes, cl)
	}
}

// Admit decides on a request. It returns either a permit, which must be released
// when the request has ended, or the refusal.
func (c *Controller) Admit(now time.Time, request Request) (*Permit, *result.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.Class < 0 || request.Class >= len(c.classes) {
		return nil, result.Errorf(result.NotReady, "no such class in force")
	}
	c.control(now)
	cl := c.classes[request.Class]
	cl.priority, cl.limited = request.Priority, !request.Target.IsZero()
	requester := cl.callers.recordArrival(now, request.Caller, request.Weight)
	if refusal := c.check(now, cl, requester, request); refusal != nil {
		cl.refused.add(now, 1)
		requester.refused.add(now, 1)
		if refusal.Reason == "" {
			refusal.Reason = ReasonWait
		}
		cl.refusals[refusal.Reason]++
		return nil, refusal
	}
	return c.grant(now, cl, requester, request), nil
}

// check returns the refusal of a request, or nil. Cheap checks come first.
func (c *Controller) check(now time.Time, cl *class, requester *caller, request Request) *result.Error {
	if !now.Before(request.Deadline) {
		return result.Errorf(result.DeadlineUnmeetable, "the deadline has passed")
	}
	if refusal := c.checkBounds(now, cl, request.Bytes); refusal != nil {
		return refusal
	}
	if cl.limited {
		return c.checkLimit(now, cl, requester, &request)
	}
	if refusal := c.checkWait(now, cl, requester, request); refusal != nil {
		return refusal
	}
	return c.checkShare(now, cl, requester, request.Deadline.Sub(now))
}

// checkWait refuses a request that would wait too long. It lets one through when
// none of the class is in flight, so that measurements resume after a time in
// which every request was refused.
func (c *Controller) checkWait(now time.Time, cl *class, requester *caller, request Request) *result.Error {
	if cl.inFlight() == 0 {
		return nil
	}
	left := request.Deadline.Sub(now)
	if refusal := c.checkLegs(now, cl, left, request); refusal != nil {
		return refusal
	}
	return c.checkBacklog(now, cl, requester, request.Deadline, left)
}

func (c *Controller) grant(now time.Time, cl *class, requester *caller, request Request) *Permit {
	c.inFlight++
	c.bytes += request.Bytes
	cl.bytes += request.Bytes
	cl.deadlines.insert(request.Deadline)
	requester.admitted.add(now, 1)
	cl.admitted.add(now, 1)
	return &Permit{class: cl, caller: requester, admitted: now, deadline: request.Deadline, target: request.Target, inFlight: cl.inFlight(), bytes: request.Bytes, overShare: cl.isShort(now) && cl.callers.isOverShare(now, requester)}
}

// Release takes a permit back and records how the request ended. A second call
// with the same permit has no effect.
func (c *Controller) Release(now time.Time, permit *Permit, completion Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if permit == nil || permit.done {
		return
	}
	permit.done = true
	c.inFlight--
	c.bytes -= permit.bytes
	permit.class.bytes -= permit.bytes
	permit.class.deadlines.remove(permit.deadline)
	switch {
	case completion.NotRun:
		if completion.Refused != ReasonSilent {
			permit.class.refused.add(now, 1) // capacity is short
		}
		if completion.Refused != "" {
			permit.class.refusals[completion.Refused]++
		}
		permit.caller.admitted.add(now, -1)
		permit.class.admitted.add(now, -1)
	case !completion.Abandoned:
		c.record(now, permit, completion)
	}
	c.control(now)
}

func (c *Controller) record(now time.Time, permit *Permit, completion Completion) {
	cl := permit.class
	if completion.Answered {
		cl.answered++
	}
	if !permit.target.IsZero() {
		cl.ended.add(now, 1)
		c.recordDelay(now, permit, &completion)
		return
	}
	for i := range completion.Legs {
		leg := &completion.Legs[i]
		cl.legs.add(now, leg)
		cl.pressure.add(leg)
	}
}

// Stats is a snapshot of a controller for metrics and the status page.
type Stats struct {
	InFlight int
	Bytes    int
	Classes  []ClassStats
}

// ClassStats is a snapshot of one class.
type ClassStats struct {
	Name     string
	InFlight int
	Bytes    int
	// Capacity is the estimated number of requests per second that the backend
	// servers can answer for this class and host.
	Capacity float64
	// Pressure is the legs' mean wait for a slot over their mean service time.
	Pressure float64
	// Callers is the number of active callers.
	Callers int
	// Refusals counts the refused requests by reason since the start.
	Refusals map[string]int
	// Limit is the latency limit on requests in flight; 0: none.
	Limit float64
}

// Stats returns the current state.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := Stats{InFlight: c.inFlight, Bytes: c.bytes}
	for _, cl := range c.classes {
		stats.Classes = append(stats.Classes, ClassStats{
			Name: cl.name, InFlight: cl.inFlight(), Bytes: cl.bytes,
			Capacity: cl.capacity, Pressure: cl.pressure.value(), Callers: cl.callers.len(), Limit: cl.latencyLimit.limit, Refusals: maps.Clone(cl.refusals),
		})
	}
	return stats
}
