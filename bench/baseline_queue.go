package bench

import (
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// hedgeMode selects whether and where a baseline sends hedges.
type hedgeMode int

const (
	hedgeNone   hedgeMode = iota
	hedgeIdle             // only to a server with a free slot while no leg waits
	hedgeQueued           // into the service's queue
)

// hedgeDelay is the age of an attempt at which a baseline hedges the leg.
const hedgeDelay = 20 * time.Millisecond

// queueRetryDelay is the delay before a baseline retries a failed attempt. Without
// it, retries against a server that is down would not advance virtual time.
const queueRetryDelay = 2 * time.Millisecond

// queueOptions configure the queue baselines.
type queueOptions struct {
	fifo      bool // arrival order instead of deadline order
	perServer bool // each leg waits for one random server
	hedge     hedgeMode
}

// QueueBaseline is an idealized queue for each service that knows of free slots
// and reaches the servers without network latency.
func QueueBaseline(name string, options queueOptions) PolicySpec {
	return PolicySpec{Name: name, New: func(s *Sim) Policy {
		p := &queueBaseline{sim: s, options: options, legs: make(map[*Leg]*queuedLeg)}
		for _, service := range s.Services {
			p.services = append(p.services, &serviceQueue{policy: p, service: service, running: make([]int, len(service.Servers))})
		}
		return p
	}}
}

type queueBaseline struct {
	sim      *Sim
	options  queueOptions
	services []*serviceQueue
	legs     map[*Leg]*queuedLeg
}

type serviceQueue struct {
	policy      *queueBaseline
	service     *Service
	waiting     []*queuedLeg
	running     []int
	hedgeTokens float64 // hedge budget left
}

type queuedLeg struct {
	leg      *Leg
	priority time.Duration // lowest first
	assigned int           // the only permitted server; -1: any
	excluded int           // server that runs it already; -1: none
	calls    []*Call
	hedged   bool
	done     bool
}

// Submit queues the leg.
func (p *queueBaseline) Submit(leg *Leg) {
	p.sim.After(p.sim.Case.Shape.HopOtherZone, func() { p.services[leg.Service.Index].submit(leg) })
}

// Cancel removes the leg from its queue and cancels its calls.
func (p *queueBaseline) Cancel(leg *Leg) {
	if l := p.legs[leg]; l != nil {
		p.services[leg.Service.Index].finish(l)
	}
}

func (q *serviceQueue) submit(leg *Leg) {
	if leg.Query.ended {
		return
	}
	l := &queuedLeg{leg: leg, priority: leg.Query.Deadline, assigned: -1, excluded: -1}
	if q.policy.options.fifo {
		l.priority = q.policy.sim.now
	}
	if q.policy.options.perServer {
		l.assigned = q.policy.sim.Choices.IntN(len(q.service.Servers))
	}
	q.policy.legs[leg] = l
	q.hedgeTokens = min(q.hedgeTokens+benchHedgeBudget, 20)
	q.enqueue(l)
	q.dispatch()
}

func (q *serviceQueue) enqueue(l *queuedLeg) {
	i, _ := slices.BinarySearchFunc(q.waiting, l, func(a, b *queuedLeg) int {
		if a.priority != b.priority {
			return int(a.priority - b.priority)
		}
		return int(a.leg.Query.Number) - int(b.leg.Query.Number)
	})
	q.waiting = slices.Insert(q.waiting, i, l)
}

func (q *serviceQueue) dispatch() {
	for i := 0; i < len(q.waiting); {
		l := q.waiting[i]
		server := q.freeServer(l)
		if server < 0 {
			i++
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.start(l, server)
		i = 0
	}
}

func (q *serviceQueue) freeServer(l *queuedLeg) int {
	best := -1
	for i, n := range q.running {
		if n >= q.service.Servers[i].Slots || i == l.excluded || (l.assigned >= 0 && i != l.assigned) {
			continue
		}
		if best < 0 || n < q.running[best] {
			best = i
		}
	}
	return best
}

func (q *serviceQueue) start(l *queuedLeg, server int) {
	q.running[server]++
	l.excluded = server
	sim := q.policy.sim
	l.calls = append(l.calls, sim.send(0, q.service.Servers[server], l.leg, func(res home.AttemptResult) {
		q.running[server]--
		q.handleResult(l, res)
		q.dispatch()
	}))
	if q.policy.options.hedge != hedgeNone && !l.hedged {
		sim.After(hedgeDelay, func() { q.hedge(l) })
	}
}

func (q *serviceQueue) hedge(l *queuedLeg) {
	if l.done || q.hedgeTokens < 1 {
		return
	}
	l.assigned = -1
	if q.policy.options.hedge == hedgeIdle && (len(q.waiting) > 0 || q.freeServer(l) < 0) {
		return
	}
	q.hedgeTokens--
	l.hedged = true
	q.enqueue(l)
	q.dispatch()
}

func (q *serviceQueue) handleResult(l *queuedLeg, res home.AttemptResult) {
	if l.done {
		return
	}
	sim := q.policy.sim
	if res.Outcome == result.OutcomeRan {
		q.finish(l)
		sim.After(sim.Case.Shape.HopOtherZone, func() { sim.Answer(l.leg) })
		return
	}
	l.excluded = -1
	sim.After(queueRetryDelay, func() {
		if !l.done {
			q.enqueue(l)
			q.dispatch()
		}
	})
}

func (q *serviceQueue) finish(l *queuedLeg) {
	l.done = true
	delete(q.policy.legs, l.leg)
	if i := slices.Index(q.waiting, l); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	for _, call := range l.calls {
		call.Cancel()
	}
	q.dispatch()
}
