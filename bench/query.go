package bench

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// answerMargin is the time before its deadline at which a query ends with the
// shards that have answered.
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

	answered, openLegs int
	released, ended    bool
	measured           bool
	retried            bool // sent again after a refusal
	pastSoftDeadline   bool // only MinCoverage is needed any more
}

// Leg is a query's part for one service.
type Leg struct {
	Query     *Query
	Service   *Service
	Submitted time.Duration
	// Started is the send time of the first attempt that ran; 0 if none did.
	Started  time.Duration
	Answered bool
	Ended    bool
	endedAt  time.Duration
	// Code and Outcome are set for a failed leg.
	Code    result.Code
	Outcome result.Outcome

	// Optional legs are not needed for MinCoverage.
	Optional bool

	attempts int
}

// softDeadline returns the query's soft deadline in virtual time; zero if it has
// none.
func (q *Query) softDeadline() time.Time {
	if q.Traffic.SoftDeadline == 0 {
		return time.Time{}
	}
	return epoch.Add(q.Arrived + q.Traffic.SoftDeadline)
}

// DeadlineTime returns the query's deadline in virtual time.
func (q *Query) DeadlineTime() time.Time { return epoch.Add(q.Deadline) }

// Admission decides at the entry host whether and when a query's legs are sent. It
// calls Sim.Release or Sim.Refuse for each query.
type Admission interface {
	Arrive(q *Query)
	// LegEnded is called for each leg that was answered or failed.
	LegEnded(leg *Leg)
	// QueryEnded is called for each ended query, including refused ones.
	QueryEnded(q *Query)
}

type admitAll struct{ sim *Sim }

func (a admitAll) Arrive(q *Query)   { a.sim.Release(q) }
func (a admitAll) LegEnded(*Leg)     {}
func (a admitAll) QueryEnded(*Query) {}

// scheduleArrivals schedules the first arrival of each traffic stream.
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
	s.sendQuery(t, s.now+t.Deadline, false)
}

// sendQuery sends a caller's query to an entry host.
func (s *Sim) sendQuery(t *Traffic, deadline time.Duration, retried bool) {
	host := s.pickHost(t)
	if host < 0 {
		return
	}
	s.queries++
	q := &Query{
		Number: s.queries, Traffic: t, Host: host, Arrived: s.now, Deadline: deadline,
		measured: s.now >= s.Case.Warmup, retried: retried,
	}
	binary.BigEndian.PutUint64(q.ID[:8], mixNumber(s.queries))
	binary.BigEndian.PutUint64(q.ID[8:], mixNumber(mixNumber(s.queries)+1))
	for _, service := range s.Services {
		q.Legs = append(q.Legs, &Leg{Query: q, Service: service})
	}
	q.openLegs = len(q.Legs)
	s.result.countArrived(q)
	s.At(q.Deadline-answerMargin, func() { s.end(q) })
	if t.SoftDeadline > 0 {
		s.At(q.Arrived+t.SoftDeadline, func() { s.passSoftDeadline(q) })
	}
	s.admission.Arrive(q)
}

// passSoftDeadline ends the query now or as soon as it has its minimum coverage.
func (s *Sim) passSoftDeadline(q *Query) {
	q.pastSoftDeadline = true
	if q.covered() {
		s.end(q)
	}
}

// covered reports whether the query has its minimum coverage.
func (q *Query) covered() bool {
	return float64(q.answered) >= q.Traffic.MinCoverage*float64(len(q.Legs))
}

// mixNumber scrambles consecutive numbers, so that ids are not ordered by age.
func mixNumber(x uint64) uint64 { return x * 0x9e3779b97f4a7c15 }

// pickHost returns a random host that is up; -1 if it finds none.
func (s *Sim) pickHost(t *Traffic) int {
	for range 4 * len(s.Hosts) {
		host := s.Arrivals.IntN(len(s.Hosts))
		if t.Host0Share > 0 && s.Arrivals.Float64() < t.Host0Share {
			host = 0
		}
		if !s.Hosts[host].Down {
			return host
		}
	}
	return -1
}

// Release submits the query's legs to the policy.
func (s *Sim) Release(q *Query) {
	if q.ended || q.released {
		return
	}
	q.released = true
	for _, leg := range q.Legs {
		leg.Submitted = s.now
		s.policy.Submit(leg)
	}
}

// Refuse ends a query none of whose legs was submitted.
func (s *Sim) Refuse(q *Query, code result.Code, retryAfter time.Duration) {
	if q.ended || q.released {
		return
	}
	q.ended = true
	s.result.countRefusedQuery(q, code, s.now-q.Arrived, retryAfter)
	s.admission.QueryEnded(q)
	if q.Traffic.RetryRefused && !q.retried && s.now+retryAfter < q.Deadline {
		s.After(retryAfter, func() { s.sendQuery(q.Traffic, q.Deadline, true) })
	}
}

// Answer ends the leg with a reply at the query's entry host.
func (s *Sim) Answer(leg *Leg) {
	if leg.Ended || leg.Query.ended {
		s.result.countLate(leg)
		return
	}
	leg.Answered = true
	leg.Query.answered++
	s.endLeg(leg)
}

// Fail ends the leg without a reply at the query's entry host.
func (s *Sim) Fail(leg *Leg, code result.Code, outcome result.Outcome) {
	if leg.Ended || leg.Query.ended {
		return
	}
	leg.Code, leg.Outcome = code, outcome
	s.result.countFailedLeg(leg)
	s.endLeg(leg)
}

func (s *Sim) endLeg(leg *Leg) {
	leg.Ended, leg.endedAt = true, s.now
	leg.Query.openLegs--
	s.admission.LegEnded(leg)
	if leg.Query.openLegs == 0 || (leg.Query.pastSoftDeadline && leg.Query.covered()) {
		s.end(leg.Query)
	}
}

// end answers the caller with the shards that have answered and cancels the other
// legs. A query whose entry host is down is lost.
func (s *Sim) end(q *Query) {
	if q.ended {
		return
	}
	q.ended = true
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

// sortedCalls returns the calls in a deterministic order.
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
