package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// Result is the result of one run, for queries that arrived after the warm-up.
type Result struct {
	Case   string
	Policy string
	Seed   uint64
	Length time.Duration // without the warm-up
	All    *Group
	// Classes and Callers partition All.
	Classes map[int]*Group
	Callers map[string]*Group
	// PerSecond partitions All by the second of arrival.
	PerSecond []*Group

	// Legs counts the legs with an attempt; Sent, Run and Refused count attempts.
	Legs, Sent, Run, Refused int
	// Busy is the total slot time used on backend servers.
	Busy time.Duration
	// LateReplies counts replies for legs or queries that had ended.
	LateReplies int
	FailedLegs  map[result.Code]int
	// RefusedFor counts the queries refused by package admit, by reason.
	RefusedFor map[string]int
}

// Group holds the figures of a set of queries.
type Group struct {
	// Lost queries ended while their entry host was down, or not within the run.
	Arrived, Refused, Lost int
	// Ended counts the answers, Full those with every shard.
	Ended, Full int
	// Legs counts the legs of the answers, Answered those with a reply.
	Legs, Answered int
	AfterDeadline  int
	// InTime counts the answers by the soft deadline with the minimum coverage.
	InTime int
	// InTimeWork is the sum over these of the mean service time of a leg.
	InTimeWork time.Duration
	// Credit is the sum over these of the square of the coverage.
	Credit  float64
	latency *hdrhistogram.Histogram // microseconds
	refusal *hdrhistogram.Histogram // microseconds until a refusal
}

const maxLatencyMicros = int64(60 * time.Second / time.Microsecond)

func newGroup() *Group {
	return &Group{
		latency: hdrhistogram.New(1, maxLatencyMicros, 3),
		refusal: hdrhistogram.New(1, maxLatencyMicros, 3),
	}
}

func newResult(c Case, policy string, seed uint64) *Result {
	return &Result{
		Case: c.Name, Policy: policy, Seed: seed, Length: c.Length - c.Warmup,
		All: newGroup(), Classes: make(map[int]*Group), Callers: make(map[string]*Group),
		FailedLegs: make(map[result.Code]int), RefusedFor: make(map[string]int),
	}
}

// Latency returns a quantile (0 to 1) of the time until an answer.
func (g *Group) Latency(quantile float64) time.Duration {
	return time.Duration(g.latency.ValueAtQuantile(100*quantile)) * time.Microsecond
}

// RefusalLatency returns a quantile (0 to 1) of the time until a refusal.
func (g *Group) RefusalLatency(quantile float64) time.Duration {
	return time.Duration(g.refusal.ValueAtQuantile(100*quantile)) * time.Microsecond
}

// Coverage returns the mean coverage of the answers.
func (g *Group) Coverage() float64 { return ratio(g.Answered, g.Legs) }

// FullShare returns the fraction of answers with every shard.
func (g *Group) FullShare() float64 { return ratio(g.Full, g.Ended) }

// Goodput returns the number of full answers per arrived query.
func (g *Group) Goodput() float64 { return ratio(g.Full, g.Arrived) }

// ExtraAttempts returns the attempts that ran beyond one per leg, as a fraction of
// the legs.
func (r *Result) ExtraAttempts() float64 { return ratio(r.Run, r.Legs) - 1 }

// RefusedPerLeg returns the refused attempts per leg.
func (r *Result) RefusedPerLeg() float64 { return ratio(r.Refused, r.Legs) }

// BusyPerLeg returns the slot time used per leg.
func (r *Result) BusyPerLeg() time.Duration {
	if r.Legs == 0 {
		return 0
	}
	return r.Busy / time.Duration(r.Legs)
}

func ratio(dividend, divisor int) float64 {
	if divisor == 0 {
		return 0
	}
	return float64(dividend) / float64(divisor)
}

func (r *Result) groups(q *Query) []*Group {
	if !q.measured {
		return nil
	}
	class, ok := r.Classes[q.Traffic.Class]
	if !ok {
		class = newGroup()
		r.Classes[q.Traffic.Class] = class
	}
	caller, ok := r.Callers[q.Traffic.Caller]
	if !ok {
		caller = newGroup()
		r.Callers[q.Traffic.Caller] = caller
	}
	return []*Group{r.All, class, caller, r.groupOfSecond(q)}
}

func (r *Result) groupOfSecond(q *Query) *Group {
	second := int(q.Arrived / time.Second)
	for len(r.PerSecond) <= second {
		r.PerSecond = append(r.PerSecond, newGroup())
	}
	return r.PerSecond[second]
}

func (r *Result) countArrived(q *Query) {
	for _, g := range r.groups(q) {
		g.Arrived++
	}
}

func (r *Result) countRefusedQuery(q *Query, _ result.Code, after, _ time.Duration) {
	for _, g := range r.groups(q) {
		g.Refused++
		_ = g.refusal.RecordValue(max(1, after.Microseconds()))
	}
}

func (r *Result) countEnded(q *Query, latency time.Duration, lost bool) {
	for _, g := range r.groups(q) {
		if lost {
			g.Lost++
			continue
		}
		g.Ended++
		g.Legs += len(q.Legs)
		g.Answered += q.answered
		if q.answered == len(q.Legs) {
			g.Full++
		}
		if q.Traffic.SoftDeadline > 0 && latency <= q.Traffic.SoftDeadline && q.covered() {
			g.InTime++
			share := ratio(q.answered, len(q.Legs))
			g.Credit += share * share
			g.InTimeWork += q.Traffic.ServiceTime.Mean()
		}
		if latency > q.Traffic.Deadline {
			g.AfterDeadline++
		}
		_ = g.latency.RecordValue(max(1, latency.Microseconds()))
	}
}

func (r *Result) countSent(leg *Leg) {
	if !leg.Query.measured {
		return
	}
	r.Sent++
	if leg.attempts == 0 {
		r.Legs++
	}
	leg.attempts++
}

func (r *Result) countRun(leg *Leg) {
	if leg.Query.measured {
		r.Run++
	}
}

func (r *Result) countRefused(leg *Leg) {
	if leg.Query.measured {
		r.Refused++
	}
}

func (r *Result) countBusy(leg *Leg, used time.Duration) {
	if leg.Query.measured {
		r.Busy += used
	}
}

func (r *Result) countLate(leg *Leg) {
	if leg.Query.measured {
		r.LateReplies++
	}
}

func (r *Result) countFailedLeg(leg *Leg) {
	if leg.Query.measured {
		r.FailedLegs[leg.Code]++
	}
}

// close counts queries that have not ended as lost.
func (r *Result) close() {
	g := r.All
	if open := g.Arrived - g.Refused - g.Ended - g.Lost; open > 0 {
		g.Lost += open
	}
}
