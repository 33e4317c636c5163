package scatter

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Part is the answer of one shard.
type Part struct {
	Shard snapshot.ShardID
	Body  []byte
	Reply *forward.Reply // to a forwarded request; nil otherwise
}

// MissingShard is a shard that an answer lacks, and the reason.
type MissingShard struct {
	Shard   snapshot.ShardID
	Service string
	Code    result.Code
	Detail  string
	// Reply is the backend server's reply to a forwarded request that failed.
	Reply *forward.Reply
}

// LegTiming is the latency of one leg, as the query's entry host measured it.
type LegTiming struct {
	Service   string
	Time      time.Duration // from the query's start until its result, or its end
	QueueTime time.Duration // in its home's queue; leg.UnknownQueueTime when not known
	TimedOut  bool          // no result came in time
}

// Answer is the one final result of a query. Its coverage is len(Parts) of Total.
type Answer struct {
	Request    ident.RequestID
	Code       result.Code
	Detail     string
	Snapshot   *snapshot.Snapshot
	Total      int
	Parts      []Part
	Missing    []MissingShard
	Attempts   int
	Hedges     int
	RetryAfter time.Duration
	// Reason is why the query was refused before any leg was sent, for logs and metrics.
	Reason string
	// Legs are the latencies of the legs, for the admission of later queries.
	Legs []LegTiming
	// NeedsRestart: the query ended early to be restarted, see Plan.Restartable.
	NeedsRestart bool
}

func (q *Query) finish() {
	if q.answer != nil {
		return
	}
	a := &Answer{
		Request:      q.plan.Request,
		Snapshot:     q.plan.Snapshot,
		Total:        len(q.shards),
		Attempts:     q.attempts,
		Hedges:       q.hedges,
		NeedsRestart: q.needsRestart,
	}
	notRun := true
	for i := range q.shards {
		notRun = q.addShard(a, i) && notRun
	}
	q.answer = a
	q.decideCode(a, notRun)
}

// addShard adds one shard to the answer and reports whether it certainly ran nowhere.
func (q *Query) addShard(a *Answer, i int) (notRun bool) {
	shard := &q.shards[i]
	spec := q.plan.Snapshot.Shards[i]
	if shard.answer {
		a.Parts = append(a.Parts, Part{Shard: spec.ID, Body: shard.body, Reply: shard.reply})
		return false
	}
	missing := MissingShard{Shard: spec.ID, Service: spec.Service, Code: shard.code, Detail: shard.detail, Reply: shard.reply}
	if !shard.settled {
		// The query ended while this leg was open.
		missing.Code = result.Cancelled
		missing.Detail = "given up: the least coverage is out of reach"
	}
	a.Missing = append(a.Missing, missing)
	a.RetryAfter = max(a.RetryAfter, shard.retryDelay)
	return shard.settled && shard.outcome.NotRun()
}

// decideCode sets the code of the answer. It is a "not run" code only if every
// attempt of every leg certainly ran nowhere.
func (q *Query) decideCode(a *Answer, notRun bool) {
	switch {
	case len(a.Missing) == 0:
		a.Code = result.Complete
	case q.needsRestart:
		// Not a "not run" code: legs on other shards may have run.
		a.Code = result.SnapshotGone
	case q.meetsCoverage(len(a.Parts)):
		a.Code = result.Partial
	case notRun:
		a.Code = notRunCode(a.Missing)
		a.Detail = a.Missing[0].Detail
	case !q.plan.Idempotent:
		a.Code = result.OutcomeNotKnown
	case len(a.Parts) == 0 && allOf(a.Missing, result.DeadlineExceeded):
		a.Code = result.DeadlineExceeded
	case anyOf(a.Missing, result.SnapshotGone):
		a.Code = result.SnapshotGone
	default:
		a.Code = result.CoverageTooLow
	}
	if a.Code.Group() != result.GroupComplete && a.Code.Group() != result.GroupPartial {
		a.Parts = nil
	}
}

// notRunCode is the code of a request that ran nowhere: the first "not run" code
// of a missing shard.
func notRunCode(missing []MissingShard) result.Code {
	for _, m := range missing {
		if m.Code.NotRun() {
			return m.Code
		}
	}
	return result.BackendsRefused
}

func anyOf(missing []MissingShard, code result.Code) bool {
	for _, m := range missing {
		if m.Code == code {
			return true
		}
	}
	return false
}

func allOf(missing []MissingShard, code result.Code) bool {
	for _, m := range missing {
		if m.Code != code {
			return false
		}
	}
	return true
}
