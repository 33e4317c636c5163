package goldcrestspan

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/front"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

const (
	// noSnapshotRetry is when to come back while no snapshot is held: index
	// builders publish and replicas load within seconds.
	noSnapshotRetry = time.Second
	// restartReserve is the least share of a query's time that must be left
	// to start it again on another snapshot.
	restartReserve = 0.4
)

// plan pins the query's snapshot and makes the work of its legs.
func (h *Host) plan(q front.Query) (scatter.QuerySpec, *result.Error) {
	pinned := h.parts.Pins.Pin(q.Route.Index)
	if pinned == nil {
		return scatter.QuerySpec{}, &result.Error{
			Code:       result.NoSnapshot,
			Detail:     "index " + q.Route.Index,
			RetryAfter: noSnapshotRetry,
		}
	}
	return scatter.QuerySpec{
		Plan: scatter.Plan{
			Request:     q.Request,
			Snapshot:    pinned,
			Deadline:    q.Deadline,
			MinCoverage: q.Route.MinCoverage,
			Prefer:      q.Route.Prefer,
			Idempotent:  q.Route.Kind == bundle.KindQuery,
			Restartable: q.Route.Kind == bundle.KindQuery,
		},
		Index:       q.Route.Index,
		Class:       q.Class,
		Caller:      q.Caller.Name,
		Fingerprint: uint64(fingerprint(q)),
		Body:        q.Body,
	}, nil
}

// run runs a query, and once more, whole, if a replica turned out to lack the
// pinned snapshot and the time allows. The second run is on the snapshot that
// is best then; if that is the same one, its answer is partial.
func (h *Host) run(ctx context.Context, q front.Query, work scatter.QuerySpec) *scatter.Answer {
	started := h.parts.Now()
	answer := h.parts.Coordinator.Run(ctx, work)
	h.noteLacked(answer)
	if !answer.NeedsRestart {
		return answer
	}
	again, refused := h.plan(q)
	whole := q.Deadline.Sub(started)
	left := q.Deadline.Sub(h.parts.Now())
	if refused != nil || float64(left) < restartReserve*float64(whole) {
		return answer
	}
	again.Restartable = false
	h.parts.Metrics.Restart()
	second := h.parts.Coordinator.Run(ctx, again)
	second.Attempts += answer.Attempts
	second.Hedges += answer.Hedges
	return second
}

func (h *Host) noteLacked(answer *scatter.Answer) {
	for _, missing := range answer.Missing {
		if missing.Code == result.NoSnapshot {
			h.parts.Pins.RecordMissing(missing.Service, answer.Snapshot.Index, answer.Snapshot.Version)
		}
	}
}

// oneShard narrows a booking's work to the one shard that its body goes to: the
// shard of the item named by the body's "key", or of the whole body.
func oneShard(work scatter.QuerySpec) scatter.QuerySpec {
	shards := work.Snapshot.Shards
	shard := shards[xxhash.Sum64(bookingKey(work.Body))%uint64(len(shards))]
	work.Snapshot = &snapshot.Snapshot{
		Index:   work.Snapshot.Index,
		Version: work.Snapshot.Version,
		Shards:  []snapshot.Shard{shard},
	}
	work.MinCoverage = 1
	work.Prefer = bundle.PreferCoverage
	return work
}

func bookingKey(body []byte) []byte {
	var keyed struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(body, &keyed) == nil && strings.TrimSpace(keyed.Key) != "" {
		return []byte(keyed.Key)
	}
	return body
}
