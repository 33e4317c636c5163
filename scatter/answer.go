package scatter

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Part is one shard's body in an answer.
type Part struct {
	Shard snapshot.ShardID
	Body  []byte
	Reply *forward.Reply // to a forwarded request; else nil
}

// MissingShard is one shard that an answer lacks, and why.
type MissingShard struct {
	Shard   snapshot.ShardID
	Service string
	Code    result.Code
	Detail  string
	// Reply is what a backend server said of a forwarded request that failed.
	Reply *forward.Reply
}

// LegTiming is how one leg went, as its root saw it.
type LegTiming struct {
	Service   string
	Time      time.Duration // from the query's start until its result, or its end
	QueueTime time.Duration // at its home; leg.UnknownWait when not known
	TimedOut  bool          // no result came in time
}

// Answer is the one terminal result of a query. Its coverage is len(Parts) of
// Total: it is counted from the accepted replies, never declared.
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
	// Legs tells how each leg went, for the admission of later queries.
	Legs []LegTiming
	// NeedsRestart: the query ended early for a restart, see Plan.Restartable.
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
		NeedsRestart: q.stale,
	}
	notRun := true
	for i := range q.shards {
		notRun = q.addShard(a, i) && notRun
	}
	q.answer = a
	q.decideCode(a, notRun)
}

// addShard puts one shard into the answer and reports whether it surely ran nowhere.
func (q *Query) addShard(a *Answer, i int) (notRun bool) {
	shard := &q.shards[i]
	spec := q.plan.Snapshot.Shards[i]
	if shard.answer {
		a.Parts = append(a.Parts, Part{Shard: spec.ID, Body: shard.body, Reply: shard.reply})
		return false
	}
	missing := MissingShard{Shard: spec.ID, Service: spec.Service, Code: shard.code, Detail: shard.detail, Reply: shard.reply}
	if !shard.settled {
		// The least coverage was out of reach while this leg was under way.
		missing.Code = result.Cancelled
		missing.Detail = "given up: the least coverage is out of reach"
	}
	a.Missing = append(a.Missing, missing)
	a.RetryAfter = max(a.RetryAfter, shard.retry)
	return shard.settled && shard.outcome.NotRun()
}

// decideCode chooses the code of the whole answer. "Not run" is said only if
// every attempt of every leg surely ran nowhere.
func (q *Query) decideCode(a *Answer, notRun bool) {
	switch {
	case len(a.Missing) == 0:
		a.Code = result.Complete
	case q.stale:
		// Not a "not run" code: legs on other shards may have run.
		a.Code = result.SnapshotGone
	case q.covers(len(a.Parts)):
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

// notRunCode is the code of a request that ran nowhere: the first missing
// shard's own, if it claims no more than "not run".
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
