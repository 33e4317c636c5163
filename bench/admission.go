package bench

import (
	"math/rand/v2"
	"time"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/bundle"
)

// Bounds of one entry host in the cases.
const (
	benchMaxConcurrent = 2048
	benchMaxBytes      = 64 << 20
	benchBodyBytes     = 1 << 10
	// benchFIFOLimit is what the FIFO door runs at once: over seven hosts
	// enough to keep every slot busy.
	benchFIFOLimit = 16
)

// WithAdmission makes the policy run behind package admit, one controller for each
// entry host.
func WithAdmission(spec PolicySpec) PolicySpec {
	spec.Name += ", admission"
	spec.Admission = func(s *Sim) Admission { return newDoor(s) }
	return spec
}

// door is package admit at every entry host of a run.
type door struct {
	sim         *Sim
	controllers []*admit.Controller
	open        map[*Query]*doorQuery
}

type doorQuery struct {
	pass *admit.Permit
	legs []admit.LegTiming // of the legs that have ended
}

func newDoor(s *Sim) *door {
	d := &door{sim: s, open: make(map[*Query]*doorQuery)}
	cfg := &bundle.Config{Classes: benchClasses()}
	for i := range s.Hosts {
		rnd := rand.New(rand.NewPCG(uint64(i), 4))
		c := admit.New(admit.Limits{MaxConcurrent: benchMaxConcurrent, MaxBytes: benchMaxBytes}, rnd)
		c.Reconfigure(cfg)
		d.controllers = append(d.controllers, c)
	}
	return d
}

// benchClasses has the same shares as HomeConfig.
func benchClasses() []bundle.Class {
	return []bundle.Class{
		Interactive: {Name: "interactive", ReservedShare: 0.5},
		Standard:    {Name: "standard", ReservedShare: 0.3},
		Batch:       {Name: "batch", ReservedShare: 0.2},
	}
}

// Arrive asks the query's entry host.
func (d *door) Arrive(q *Query) {
	pass, refusal := d.controllers[q.Host].Admit(d.sim.Now(), ask(q))
	if refusal != nil {
		d.sim.Refuse(q, refusal.Code, refusal.RetryAfter)
		return
	}
	d.open[q] = &doorQuery{pass: pass}
	d.sim.Release(q)
}

func ask(q *Query) admit.Request {
	services := make([]string, len(q.Legs))
	for i, leg := range q.Legs {
		services[i] = leg.Service.Name
	}
	return admit.Request{
		Caller: q.Traffic.Caller, Weight: 1, Class: q.Traffic.Class,
		Deadline: q.DeadlineTime(), Bytes: benchBodyBytes,
		Services: services, MinLegs: len(services),
	}
}

// LegEnded notes the leg's times.
func (d *door) LegEnded(leg *Leg) {
	q := d.open[leg.Query]
	if q == nil {
		return
	}
	q.legs = append(q.legs, admit.LegTiming{
		Service:   leg.Service.Name,
		Time:      d.sim.Elapsed() - leg.Submitted,
		QueueTime: waited(leg),
		TimedOut:  !leg.Answered,
	})
}

func waited(leg *Leg) time.Duration {
	if leg.Started == 0 {
		return -1
	}
	return leg.Started - leg.Submitted
}

// QueryEnded gives the pass back.
func (d *door) QueryEnded(query *Query) {
	q := d.open[query]
	if q == nil {
		return
	}
	delete(d.open, query)
	answered := 0
	for _, leg := range query.Legs {
		if leg.Answered {
			answered++
			continue
		}
		if !leg.Ended {
			q.legs = append(q.legs, admit.LegTiming{Service: leg.Service.Name, Time: d.sim.Elapsed() - leg.Submitted, QueueTime: waited(leg), TimedOut: true})
		}
	}
	d.controllers[query.Host].Release(d.sim.Now(), q.pass, admit.Completion{Answered: answered == len(query.Legs), Legs: q.legs})
}

// WithFIFOAdmission is the usual way: each entry host runs a fixed number of queries at
// once and keeps the rest in one queue, first come, first served.
func WithFIFOAdmission(spec PolicySpec) PolicySpec {
	spec.Name += ", fifo door"
	spec.Admission = func(s *Sim) Admission {
		return &fifoDoor{sim: s, running: make([]int, len(s.Hosts)), waiting: make([][]*Query, len(s.Hosts)), in: make(map[*Query]bool)}
	}
	return spec
}

type fifoDoor struct {
	sim     *Sim
	running []int
	waiting [][]*Query
	in      map[*Query]bool
}

// Arrive queues the query at its entry host.
func (d *fifoDoor) Arrive(q *Query) {
	d.waiting[q.Host] = append(d.waiting[q.Host], q)
	d.next(q.Host)
}

func (d *fifoDoor) next(host int) {
	for d.running[host] < benchFIFOLimit && len(d.waiting[host]) > 0 {
		q := d.waiting[host][0]
		d.waiting[host] = d.waiting[host][1:]
		if q.over {
			continue
		}
		d.running[host]++
		d.in[q] = true
		d.sim.Release(q)
	}
}

// LegEnded does nothing: the door counts queries.
func (d *fifoDoor) LegEnded(*Leg) {}

// QueryEnded lets the next query in, and refuses those whose time has passed.
func (d *fifoDoor) QueryEnded(q *Query) {
	if !d.in[q] {
		return
	}
	delete(d.in, q)
	d.running[q.Host]--
	d.next(q.Host)
}
