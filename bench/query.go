package bench

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// answerMargin is how long before its deadline a query is answered with what
// is there.
const answerMargin = 2 * time.Millisecond

// Query is one request of a caller at one entry host.
type Query struct {
	ID       ident.RequestID
	Number   uint64
	Traffic  *Traffic
	Host     int
	Arrived  time.Duration
	Deadline time.Duration // since the start of the run
	Legs     []*Leg

	answered, open int
	released, over bool
	recorded       bool
}

// Leg is a query's part for one service.
type Leg struct {
	Query     *Query
	Service   *Service
	Submitted time.Duration
	// Started is when the attempt that a server ran first was sent; zero: none yet.
	Started  time.Duration
	Answered bool
	Ended    bool
	// Code and Outcome are of a leg that failed.
	Code    result.Code
	Outcome result.Outcome

	sent int
}

// DeadlineTime is the query's deadline in virtual time.
func (q *Query) DeadlineTime() time.Time { return epoch.Add(q.Deadline) }

// Admission decides at the entry host whether and when a query's legs are
// sent. It ends each query with Sim.Release or Sim.Refuse.
type Admission interface {
	Arrive(q *Query)
	// LegEnded tells of each leg that was answered or failed.
	LegEnded(leg *Leg)
	// QueryEnded tells of each query that is over, refused ones too.
	QueryEnded(q *Query)
}

type admitAll struct{ sim *Sim }

func (a admitAll) Arrive(q *Query)   { a.sim.Release(q) }
func (a admitAll) LegEnded(*Leg)     {}
func (a admitAll) QueryEnded(*Query) {}

// scheduleArrivals draws the next arrival of each traffic, one at a time.
func (s *Sim) scheduleArrivals() {
	for i := range s.Case.Traffic {
		s.scheduleNext(&s.Case.Traffic[i])
	}
}

func (s *Sim) scheduleNext(t *Traffic) {
	rate := s.Case.rate(t, s.now)
	wait := time.Duration(s.Arrivals.ExpFloat64() / rate * float64(time.Second))
	if s.now+wait >= s.Case.Length {
		return
	}
	s.After(wait, func() {
		s.arrive(t)
		s.scheduleNext(t)
	})
}

func (s *Sim) arrive(t *Traffic) {
	host := s.pickHost(t)
	if host < 0 {
		return
	}
	s.queries++
	q := &Query{
		Number: s.queries, Traffic: t, Host: host, Arrived: s.now, Deadline: s.now + t.Deadline,
		recorded: s.now >= s.Case.Warmup,
	}
	binary.BigEndian.PutUint64(q.ID[:8], mixNumber(s.queries))
	for _, service := range s.Services {
		q.Legs = append(q.Legs, &Leg{Query: q, Service: service})
	}
	q.open = len(q.Legs)
	s.result.countArrived(q)
	s.At(q.Deadline-answerMargin, func() { s.end(q) })
	s.admission.Arrive(q)
}

// mixNumber spreads consecutive numbers, so that ids say nothing of age.
func mixNumber(x uint64) uint64 { return x * 0x9e3779b97f4a7c15 }

func (s *Sim) pickHost(t *Traffic) int {
	for range 4 * len(s.Hosts) {
		host := s.Arrivals.IntN(len(s.Hosts))
		if t.HostShare > 0 && s.Arrivals.Float64() < t.HostShare {
			host = 0
		}
		if !s.Hosts[host].Down {
			return host
		}
	}
	return -1
}

// Release sends the query's legs on their way.
func (s *Sim) Release(q *Query) {
	if q.over || q.released {
		return
	}
	q.released = true
	for _, leg := range q.Legs {
		leg.Submitted = s.now
		s.policy.Submit(leg)
	}
}

// Refuse ends a query before any of its legs was sent.
func (s *Sim) Refuse(q *Query, code result.Code, retryAfter time.Duration) {
	if q.over || q.released {
		return
	}
	q.over = true
	s.result.countRefusedQuery(q, code, s.now-q.Arrived, retryAfter)
	s.admission.QueryEnded(q)
}

// Answer gives the leg's reply to its query, at the query's entry host.
func (s *Sim) Answer(leg *Leg) {
	if leg.Ended || leg.Query.over {
		s.result.countLate(leg)
		return
	}
	leg.Answered = true
	leg.Query.answered++
	s.endLeg(leg)
}

// Fail ends the leg without a reply, at the query's entry host.
func (s *Sim) Fail(leg *Leg, code result.Code, outcome result.Outcome) {
	if leg.Ended || leg.Query.over {
		return
	}
	leg.Code, leg.Outcome = code, outcome
	s.result.countFailedLeg(leg)
	s.endLeg(leg)
}

func (s *Sim) endLeg(leg *Leg) {
	leg.Ended = true
	leg.Query.open--
	s.admission.LegEnded(leg)
	if leg.Query.open == 0 {
		s.end(leg.Query)
	}
}

// end answers the caller with what is there and cancels the rest. A query
// whose host died is lost.
func (s *Sim) end(q *Query) {
	if q.over {
		return
	}
	q.over = true
	s.result.countEnded(q, s.now-q.Arrived, s.Hosts[q.Host].Down)
	s.admission.QueryEnded(q)
	if !q.released {
		return
	}
	for _, leg := range q.Legs {
		if !leg.Ended {
			s.policy.Cancel(leg)
		}
	}
}

// sortedCalls gives the calls in an order that does not depend on the map.
func sortedCalls(calls map[*Call]struct{}) []*Call {
	sorted := make([]*Call, 0, len(calls))
	for c := range calls {
		sorted = append(sorted, c)
	}
	slices.SortFunc(sorted, func(a, b *Call) int {
		if a.started != b.started {
			return int(a.started - b.started)
		}
		return int(a.Leg.Query.Number) - int(b.Leg.Query.Number)
	})
	return sorted
}
