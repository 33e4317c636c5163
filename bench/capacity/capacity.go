// Package capacity holds the benchmarks behind docs/CAPACITY.md: the cost of a
// query at its entry host, of a leg at its home, and of a leg between two hosts.
// The scaling of membership is measured in package member.
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
	// Shards is the number of shards of each query.
	Shards = 92
	// BodyBytes is the size of one shard's reply.
	BodyBytes = 256
)

// Snapshot returns an index of Shards shards, each held by a service of its own.
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

// Results returns a successful result for each leg of one query.
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

// RunQuery runs one query at its entry host from the plan to the answer and reports
// whether the answer is complete.
func RunQuery(plan scatter.Plan, results []leg.Result) bool {
	query := scatter.NewQuery(plan)
	for _, r := range results {
		query.AddResult(r)
	}
	answer := query.Answer()
	return answer != nil && answer.Code == result.Complete
}

// NewHome returns the home of a service of 2 backend servers with 2 slots each, one
// class and a high queue limit.
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
