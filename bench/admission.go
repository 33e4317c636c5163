package bench

import (
	"math/rand/v2"
	"time"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/bundle"
)

// Limits of one entry host in the cases.
const (
	benchMaxConcurrent    = 2048
	benchMaxBytesInFlight = 64 << 20
	benchBodyBytes        = 1 << 10
	// benchFIFOLimit is the concurrency limit of an entry host with FIFO
	// admission; seven hosts with this limit keep every slot busy.
	benchFIFOLimit = 16
)

// WithAdmission runs the policy behind package admit with one controller for each
// entry host.
func WithAdmission(spec PolicySpec) PolicySpec {
	spec.Name += ", admission"
	spec.Admission = func(s *Sim) Admission { return newAdmissionControl(s) }
	return spec
}

// admissionControl implements Admission with package admit.
type admissionControl struct {
	sim         *Sim
	controllers []*admit.Controller // by entry host
	admitted    map[*Query]*admittedQuery
}

type admittedQuery struct {
	permit *admit.Permit
	legs   []admit.LegTiming // legs that have ended
}

func newAdmissionControl(s *Sim) *admissionControl {
	a := &admissionControl{sim: s, admitted: make(map[*Query]*admittedQuery)}
	config := &bundle.Config{Classes: benchClasses()}
	for i := range s.Hosts {
		random := rand.New(rand.NewPCG(uint64(i), 4))
		controller := admit.New(admit.Limits{MaxConcurrent: benchMaxConcurrent, MaxBytes: benchMaxBytesInFlight}, random)
		controller.Reconfigure(config)
		a.controllers = append(a.controllers, controller)
	}
	return a
}

// benchClasses returns classes with the reserved shares of HomeConfig.
func benchClasses() []bundle.Class {
	return []bundle.Class{
		Interactive: {Name: "interactive", ReservedShare: 0.5},
		Standard:    {Name: "standard", ReservedShare: 0.3},
		Batch:       {Name: "batch", ReservedShare: 0.2},
	}
}

// Arrive implements Admission.
func (a *admissionControl) Arrive(q *Query) {
	permit, refusal := a.controllers[q.Host].Admit(a.sim.Now(), newAdmitRequest(q))
	if refusal != nil {
		a.sim.Refuse(q, refusal.Code, refusal.RetryAfter)
		return
	}
	a.admitted[q] = &admittedQuery{permit: permit}
	a.sim.Release(q)
}

func newAdmitRequest(q *Query) admit.Request {
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

// LegEnded records the leg's latency.
func (a *admissionControl) LegEnded(leg *Leg) {
	q := a.admitted[leg.Query]
	if q == nil {
		return
	}
	q.legs = append(q.legs, admit.LegTiming{
		Service:   leg.Service.Name,
		Time:      a.sim.Elapsed() - leg.Submitted,
		QueueTime: queueTime(leg),
		TimedOut:  !leg.Answered,
	})
}

// queueTime returns the leg's time in the queue; -1 if no server has run it.
func queueTime(leg *Leg) time.Duration {
	if leg.Started == 0 {
		return -1
	}
	return leg.Started - leg.Submitted
}

// QueryEnded releases the query's permit.
func (a *admissionControl) QueryEnded(query *Query) {
	q := a.admitted[query]
	if q == nil {
		return
	}
	delete(a.admitted, query)
	answered := 0
	for _, leg := range query.Legs {
		if leg.Answered {
			answered++
			continue
		}
		if !leg.Ended {
			q.legs = append(q.legs, admit.LegTiming{Service: leg.Service.Name, Time: a.sim.Elapsed() - leg.Submitted, QueueTime: queueTime(leg), TimedOut: true})
		}
	}
	a.controllers[query.Host].Release(a.sim.Now(), q.permit, admit.Completion{Answered: answered == len(query.Legs), Legs: q.legs})
}

// WithFIFOAdmission runs the policy behind a fixed concurrency limit at each entry
// host, with one FIFO queue for the queries above it.
func WithFIFOAdmission(spec PolicySpec) PolicySpec {
	spec.Name += ", fifo admission"
	spec.Admission = func(s *Sim) Admission {
		return &fifoAdmission{sim: s, running: make([]int, len(s.Hosts)), waiting: make([][]*Query, len(s.Hosts)), released: make(map[*Query]bool)}
	}
	return spec
}

type fifoAdmission struct {
	sim      *Sim
	running  []int
	waiting  [][]*Query
	released map[*Query]bool
}

// Arrive queues the query at its entry host.
func (a *fifoAdmission) Arrive(q *Query) {
	a.waiting[q.Host] = append(a.waiting[q.Host], q)
	a.releaseNext(q.Host)
}

func (a *fifoAdmission) releaseNext(host int) {
	for a.running[host] < benchFIFOLimit && len(a.waiting[host]) > 0 {
		q := a.waiting[host][0]
		a.waiting[host] = a.waiting[host][1:]
		if q.ended {
			continue
		}
		a.running[host]++
		a.released[q] = true
		a.sim.Release(q)
	}
}

// LegEnded does nothing: the limit counts queries.
func (a *fifoAdmission) LegEnded(*Leg) {}

// QueryEnded releases the next waiting query.
func (a *fifoAdmission) QueryEnded(q *Query) {
	if !a.released[q] {
		return
	}
	delete(a.released, q)
	a.running[q.Host]--
	a.releaseNext(q.Host)
}
