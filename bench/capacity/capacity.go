// Package capacity holds the benchmarks behind docs/CAPACITY.md: the cost of
// one unit of each role's work (a query at its root, a leg at its home, a leg
// between two hosts), from which that page works out the target size. The
// slopes of membership are benchmarks and tests of package member.
package capacity

import (
	"fmt"
	"time"

	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

const (
	// Shards of each query at the target size.
	Shards = 92
	// BodyBytes of one shard's reply; an assumption, stated on the page.
	BodyBytes = 256
)

// Snapshot is an index of Shards shards, each held by a service of its own.
func Snapshot() *snapshot.Snapshot {
	s := &snapshot.Snapshot{Index: "slots", Version: 1}
	for i := range Shards {
		s.Shards = append(s.Shards, snapshot.Shard{
			ID:      snapshot.ShardID(i),
			Service: fmt.Sprintf("booking-desk-%02d", i),
		})
	}
	return s
}

// Results are the good results of each leg of one query.
func Results(request ident.RequestID) []leg.Result {
	body := make([]byte, BodyBytes)
	results := make([]leg.Result, Shards)
	for i := range results {
		results[i] = leg.Result{
			Request:   request,
			Shard:     snapshot.ShardID(i),
			Snapshot:  1,
			Outcome:   result.OutcomeRan,
			Body:      body,
			Digest:    leg.Digest(body),
			Attempts:  1,
			QueueTime: leg.UnknownQueueTime,
		}
	}
	return results
}

// RunQuery plays one query at its root from plan to answer and reports whether
// the answer is complete.
func RunQuery(plan scatter.Plan, results []leg.Result) bool {
	query := scatter.NewQuery(plan)
	for _, r := range results {
		query.AddResult(r)
	}
	answer := query.Answer()
	return answer != nil && answer.Code == result.Complete
}

// NewHome is a home of one service at the size of today: 2 backend servers
// with 2 slots each, one class, and room for a long queue.
func NewHome(now time.Time) *home.Home {
	h := home.New(home.Config{
		Service:        "booking-desk-00",
		SlotsPerServer: 2,
		Classes:        []home.ClassSpec{{ReservedShare: 1, MaxQueue: 1 << 16}},
		HedgeBudget:    0.02,
		HedgeQuantile:  0.95,
		RetryBudget:    0.1,
	}, 0)
	h.SetServers(now, []home.ServerSpec{
		{Name: "a", Incarnation: 1, SameZone: true},
		{Name: "b", Incarnation: 1},
	}, nil)
	return h
}
