// Package scatter runs a query from its pinned snapshot to its answer: it sends
// one leg for each shard to the home of the shard's service, gathers the
// results, and reports the coverage of the answer.
package scatter

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Verdict is the classification of a leg's result.
type Verdict uint8

// The verdicts. Only VerdictAccepted changes the answer.
const (
	VerdictAccepted      Verdict = iota
	VerdictFailed                // counted as a missing shard
	VerdictLate                  // the query has answered already
	VerdictDuplicate             // the shard was settled already
	VerdictMisrouted             // another request's or an unknown shard's reply
	VerdictWrongSnapshot         // from another snapshot than the pinned one
	VerdictCorrupt               // the body does not match its digest
)

// String is the label value in metrics.
func (v Verdict) String() string {
	return [...]string{"accepted", "failed", "late", "duplicate", "crossed", "mixed", "corrupt"}[v]
}

// Plan is the specification of a query; it does not change while it runs.
type Plan struct {
	Request  ident.RequestID
	Snapshot *snapshot.Snapshot
	Started  time.Time // when the request arrived
	Deadline time.Time
	// SoftDeadline is when the answer loses most of its value; zero: at the deadline.
	SoftDeadline time.Time
	// QueueShare is the part of the usual queue time that the query is admitted with, less
	// for a caller over its share; 0 means all of it.
	QueueShare float64
	// CallerRTT is the round trip between the caller and this host; 0: not known.
	CallerRTT time.Duration
	// StragglerShare is the share of recent queries, 0 to 1, that still waited for shards at
	// their soft cut-off; see SoftCutOff.
	StragglerShare float64
	// MinCoverage is the share of shards, 0 to 1, below which there is no answer.
	MinCoverage float64
	Prefer      bundle.PartialStrategy
	Idempotent  bool
	// Restartable ends the query as soon as a replica lacks the snapshot, so
	// that it can be restarted on another one.
	Restartable bool
}

type shardState struct {
	settled    bool // has its result
	answer     bool // the result was accepted
	body       []byte
	reply      *forward.Reply
	code       result.Code
	detail     string
	outcome    result.Outcome
	retryDelay time.Duration
}

// Query is the state of one running query. It does no I/O and is not safe for
// concurrent use; its Coordinator owns it.
type Query struct {
	plan           Plan
	shardIndex     map[snapshot.ShardID]int
	shards         []shardState
	open           int // shards without a result
	answered       int // shards with an accepted result
	attempts       int
	hedges         int
	pastSoftCutOff bool
	needsRestart   bool // a replica lacks the snapshot, and the query may restart
	answer         *Answer
}

// NewQuery makes the state of a query. Its snapshot must be valid.
func NewQuery(plan Plan) *Query {
	q := &Query{
		plan:       plan,
		shardIndex: make(map[snapshot.ShardID]int, len(plan.Snapshot.Shards)),
		shards:     make([]shardState, len(plan.Snapshot.Shards)),
		open:       len(plan.Snapshot.Shards),
	}
	for i, shard := range plan.Snapshot.Shards {
		q.shardIndex[shard.ID] = i
	}
	return q
}

// Answer returns the final answer, or nil while the query runs.
func (q *Query) Answer() *Answer { return q.answer }

// AddResult adds one leg's result. A reply counts only if it echoes this request
// and one of its open shards, its body matches its digest, and it was made from
// the pinned snapshot.
func (q *Query) AddResult(r leg.Result) Verdict {
	i, known := q.shardIndex[r.Shard]
	if r.Request != q.plan.Request || !known {
		return VerdictMisrouted
	}
	if q.answer != nil {
		return VerdictLate
	}
	shard := &q.shards[i]
	if shard.settled {
		return VerdictDuplicate
	}
	q.attempts += r.Attempts
	q.hedges += r.Hedges
	shard.reply = r.Reply
	verdict := q.classify(r)
	shard.settled = true
	q.open--
	if verdict == VerdictAccepted {
		shard.answer = true
		shard.body = r.Body
		q.answered++
	} else {
		q.recordFailure(shard, r, verdict)
	}
	q.finishIfDecided()
	return verdict
}

func (q *Query) classify(r leg.Result) Verdict {
	switch {
	case !r.HasAnswer():
		return VerdictFailed
	case r.Snapshot != q.plan.Snapshot.Version:
		return VerdictWrongSnapshot
	case leg.Digest(r.Body) != r.Digest:
		return VerdictCorrupt
	default:
		return VerdictAccepted
	}
}

func (q *Query) recordFailure(shard *shardState, r leg.Result, verdict Verdict) {
	shard.code = r.Code
	shard.detail = r.Detail
	shard.outcome = r.Outcome
	shard.retryDelay = r.RetryAfter
	if verdict == VerdictWrongSnapshot {
		shard.code = result.SnapshotGone
		shard.detail = "answered from another snapshot"
	}
	q.needsRestart = q.needsRestart || q.plan.Restartable && shard.code == result.NoSnapshot
	if verdict == VerdictCorrupt {
		shard.code = result.OutcomeNotKnown
		shard.detail = "the reply was not whole"
	}
}

// CutOff ends the query with the parts that it has if it is time to: at the soft
// cut-off if the minimum coverage is reached, otherwise as soon as it is, and at
// the final cut-off in any case.
func (q *Query) CutOff(now time.Time) {
	if !now.Before(FinalCutOff(q.plan)) {
		q.Expire()
		return
	}
	q.pastSoftCutOff = !q.plan.SoftDeadline.IsZero() && !now.Before(SoftCutOff(q.plan))
	if q.pastSoftCutOff && q.meetsCoverage(q.answered) {
		q.Expire()
	}
}

// PastSoftCutOff reports whether the soft cut-off has passed without an answer.
func (q *Query) PastSoftCutOff() bool { return q.pastSoftCutOff && q.answer == nil }

// Settled reports whether the shard with the index has its result.
func (q *Query) Settled(shard int) bool { return q.shards[shard].settled }

// EndIfUnreachable ends the query if its minimum coverage can't be reached without
// the given number of open shards.
func (q *Query) EndIfUnreachable(lost int) {
	if q.answer == nil && !q.meetsCoverage(q.answered+q.open-lost) {
		q.closeOpen(result.DeadlineExceeded, "its service is silent")
		q.finish()
	}
}

// NextCutOff is when CutOff must be called next.
func (q *Query) NextCutOff() time.Time {
	final := FinalCutOff(q.plan)
	if q.pastSoftCutOff || q.plan.SoftDeadline.IsZero() {
		return final
	}
	if soft := SoftCutOff(q.plan); soft.Before(final) {
		return soft
	}
	return final
}

// Expire ends the query with the parts that it has. A leg that is still open may
// have run, so its outcome is unknown.
func (q *Query) Expire() {
	if q.answer != nil {
		return
	}
	q.closeOpen(result.DeadlineExceeded, "no reply in time")
	q.finish()
}

// Refuse ends the query before any leg was sent, so it has not run.
func (q *Query) Refuse(code result.Code, detail string, retryAfter time.Duration) {
	if q.answer != nil {
		return
	}
	for i := range q.shards {
		q.shards[i] = shardState{settled: true, code: code, detail: detail, outcome: result.OutcomeUnsent, retryDelay: retryAfter}
	}
	q.open = 0
	q.finish()
}

// MarkUnsent settles all open shards but the given one, whose legs were never sent. It is
// called before the result of that shard is added.
func (q *Query) MarkUnsent(except int, code result.Code, detail string) {
	for i := range q.shards {
		shard := &q.shards[i]
		if i == except || shard.settled {
			continue
		}
		*shard = shardState{settled: true, code: code, detail: detail, outcome: result.OutcomeUnsent}
		q.open--
	}
}

// Cancel ends the query because its caller went away.
func (q *Query) Cancel() {
	if q.answer != nil {
		return
	}
	q.closeOpen(result.Cancelled, "the caller went away")
	q.finish()
	q.answer.Code = result.Cancelled
	q.answer.Parts = nil
}

func (q *Query) closeOpen(code result.Code, detail string) {
	if q.answer != nil {
		return
	}
	for i := range q.shards {
		shard := &q.shards[i]
		if shard.settled {
			continue
		}
		shard.settled = true
		shard.code = code
		shard.detail = detail
		shard.outcome = result.OutcomeUnknown
	}
	q.open = 0
}

// finishIfDecided ends the query when no shard is open, and as soon as its minimum
// coverage can't be reached any more, so that the caller does not wait until its
// deadline and the open legs are cancelled.
func (q *Query) finishIfDecided() {
	reachable := q.answered + q.open
	switch {
	case q.open == 0 || q.needsRestart || !q.meetsCoverage(reachable):
		q.finish()
	case q.pastSoftCutOff && q.meetsCoverage(q.answered):
		q.Expire()
	}
}

func (q *Query) meetsCoverage(shards int) bool {
	return shards > 0 && float64(shards) >= q.plan.MinCoverage*float64(len(q.shards))
}
