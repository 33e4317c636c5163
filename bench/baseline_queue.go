package bench

import (
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// hedgeRule says where a baseline's hedges go.
type hedgeRule int

const (
	hedgeNone   hedgeRule = iota
	hedgeIdle             // only to a server with a free slot and nothing waiting
	hedgeQueued           // into the queue in deadline order
)

// hedgeAfter is the fixed age at which a baseline hedges a leg.
const hedgeAfter = 20 * time.Millisecond

// queueRetryAfter is the pause of a baseline before it sends a leg again that a
// server refused or lost; without it, a server that is down would be asked
// without end in one moment of virtual time.
const queueRetryAfter = 2 * time.Millisecond

// queueRules are the knobs of the baseline queues.
type queueRules struct {
	fifo      bool // order of arrival in place of deadlines
	perServer bool // each leg waits for one server, drawn at random
	hedge     hedgeRule
}

// QueueBaseline is one ideal queue for each service that knows at once when a
// slot is free and reaches the servers without a hop: no real host can.
func QueueBaseline(name string, rules queueRules) PolicySpec {
	return PolicySpec{Name: name, New: func(s *Sim) Policy {
		p := &queues{sim: s, rules: rules, legs: make(map[*Leg]*queuedLeg)}
		for _, service := range s.Services {
			p.services = append(p.services, &serviceQueue{policy: p, service: service, running: make([]int, len(service.Servers))})
		}
		return p
	}}
}

type queues struct {
	sim      *Sim
	rules    queueRules
	services []*serviceQueue
	legs     map[*Leg]*queuedLeg
}

type serviceQueue struct {
	policy  *queues
	service *Service
	waiting []*queuedLeg
	running []int
	tokens  float64 // hedges that may be sent
}

type queuedLeg struct {
	leg     *Leg
	order   time.Duration
	server  int // the only one allowed; -1: any
	avoid   int // server that already runs it; -1: none
	calls   []*Call
	hedging bool
	done    bool
}

// Submit queues the leg.
func (p *queues) Submit(leg *Leg) {
	p.sim.After(p.sim.Case.Shape.HopOtherZone, func() { p.services[leg.Service.Index].submit(leg) })
}

// Cancel takes the leg out and cancels its calls.
func (p *queues) Cancel(leg *Leg) {
	if l := p.legs[leg]; l != nil {
		p.services[leg.Service.Index].finish(l)
	}
}

func (q *serviceQueue) submit(leg *Leg) {
	if leg.Query.over {
		return
	}
	l := &queuedLeg{leg: leg, order: leg.Query.Deadline, server: -1, avoid: -1}
	if q.policy.rules.fifo {
		l.order = q.policy.sim.now
	}
	if q.policy.rules.perServer {
		l.server = q.policy.sim.Choices.IntN(len(q.service.Servers))
	}
	q.policy.legs[leg] = l
	q.tokens = min(q.tokens+benchHedgeBudget, 20)
	q.enqueue(l)
	q.dispatch()
}

func (q *serviceQueue) enqueue(l *queuedLeg) {
	i, _ := slices.BinarySearchFunc(q.waiting, l, func(a, b *queuedLeg) int {
		if a.order != b.order {
			return int(a.order - b.order)
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
		if n >= q.service.Servers[i].Slots || i == l.avoid || (l.server >= 0 && i != l.server) {
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
	l.avoid = server
	sim := q.policy.sim
	l.calls = append(l.calls, sim.send(0, q.service.Servers[server], l.leg, func(end home.AttemptResult) {
		q.running[server]--
		q.ended(l, end)
		q.dispatch()
	}))
	if q.policy.rules.hedge != hedgeNone && !l.hedging {
		sim.After(hedgeAfter, func() { q.hedge(l) })
	}
}

func (q *serviceQueue) hedge(l *queuedLeg) {
	if l.done || q.tokens < 1 {
		return
	}
	l.server = -1
	if q.policy.rules.hedge == hedgeIdle && (len(q.waiting) > 0 || q.freeServer(l) < 0) {
		return
	}
	q.tokens--
	l.hedging = true
	q.enqueue(l)
	q.dispatch()
}

func (q *serviceQueue) ended(l *queuedLeg, end home.AttemptResult) {
	if l.done {
		return
	}
	sim := q.policy.sim
	if end.Outcome == result.OutcomeRan {
		q.finish(l)
		sim.After(sim.Case.Shape.HopOtherZone, func() { sim.Answer(l.leg) })
		return
	}
	l.avoid = -1
	sim.After(queueRetryAfter, func() {
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
