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
	// noSnapshotRetryAfter is the Retry-After while no snapshot is held.
	noSnapshotRetryAfter = time.Second
	// minRestartTimeShare is the share of a query's time that must remain to
	// restart it on another snapshot.
	minRestartTimeShare = 0.4
)

// plan pins the query's snapshot and builds the spec of its legs.
func (h *Host) plan(q front.Query) (scatter.QuerySpec, *result.Error) {
	pinned := h.components.Pins.Pin(q.Route.Index)
	if pinned == nil {
		return scatter.QuerySpec{}, &result.Error{
			Code:       result.NoSnapshot,
			Detail:     "index " + q.Route.Index,
			RetryAfter: noSnapshotRetryAfter,
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
		End:         h.stopEnded,
	}, nil
}

// runQuery runs a query and restarts it once if a replica lacked the pinned snapshot
// and enough time is left. The restart pins the best snapshot at that time; if
// it is the same one, the answer is partial.
func (h *Host) runQuery(ctx context.Context, q front.Query, spec scatter.QuerySpec) *scatter.Answer {
	started := h.components.Now()
	answer := h.components.Coordinator.Run(ctx, spec)
	h.recordMissingSnapshots(answer)
	if !answer.NeedsRestart {
		return answer
	}
	restart, refusal := h.plan(q)
	total := q.Deadline.Sub(started)
	remaining := q.Deadline.Sub(h.components.Now())
	if refusal != nil || float64(remaining) < minRestartTimeShare*float64(total) {
		return answer
	}
	restart.Restartable = false
	h.components.Metrics.Restart()
	second := h.components.Coordinator.Run(ctx, restart)
	second.Attempts += answer.Attempts
	second.Hedges += answer.Hedges
	return second
}

func (h *Host) recordMissingSnapshots(answer *scatter.Answer) {
	for _, missing := range answer.Missing {
		if missing.Code == result.NoSnapshot {
			h.components.Pins.RecordMissing(missing.Service, answer.Snapshot.Index, answer.Snapshot.Version)
		}
	}
}

// narrowToShard restricts a booking's spec to the shard selected by the hash of the
// body's "key", or of the whole body if it has none.
func narrowToShard(spec scatter.QuerySpec) scatter.QuerySpec {
	shards := spec.Snapshot.Shards
	shard := shards[xxhash.Sum64(bookingKey(spec.Body))%uint64(len(shards))]
	spec.Snapshot = &snapshot.Snapshot{
		Index:   spec.Snapshot.Index,
		Version: spec.Snapshot.Version,
		Shards:  []snapshot.Shard{shard},
	}
	spec.MinCoverage = 1
	spec.Prefer = bundle.PreferCoverage
	return spec
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
