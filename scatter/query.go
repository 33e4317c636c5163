// Package scatter owns a query from its pinned snapshot to its one answer: it
// spreads the legs over the homes of the services, takes the replies in, and
// says truly what the answer covers.
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

// Verdict says what became of a leg's result.
type Verdict uint8

// The verdicts. Only VerdictAccepted changes the answer.
const (
	VerdictAccepted  Verdict = iota
	VerdictFailed            // counted as a missing shard
	VerdictLate              // the query has answered already
	VerdictDuplicate         // the shard was settled already
	VerdictCrossed           // another request's or an unknown shard's reply
	VerdictMixed             // from another snapshot than the pinned one
	VerdictCorrupt           // the body does not match its digest
)

// String names the verdict as metrics do.
func (v Verdict) String() string {
	return [...]string{"accepted", "failed", "late", "duplicate", "crossed", "mixed", "corrupt"}[v]
}

// Plan is what a query is asked to do; it does not change while it runs.
type Plan struct {
	Request  ident.RequestID
	Snapshot *snapshot.Snapshot
	Started  time.Time // when the request came
	Deadline time.Time
	// SoftDeadline is when the answer loses most of its worth; zero: at the deadline.
	SoftDeadline time.Time
	// CallerRTT is the round trip between the caller and this host; 0: not known.
	CallerRTT time.Duration
	// MinCoverage, 0 to 1, below which there is no answer.
	MinCoverage float64
	Prefer      bundle.PartialStrategy
	Idempotent  bool
	// Restartable ends the query as soon as a replica lacks the snapshot, so
	// that the whole of it starts again on another one.
	Restartable bool
}

type shardState struct {
	settled bool
	answer  bool
	body    []byte
	reply   *forward.Reply
	code    result.Code
	detail  string
	outcome result.Outcome
	retry   time.Duration
}

// Query is the state of one running query. It is pure and not safe for
// concurrent use; its Coordinator owns it.
type Query struct {
	plan     Plan
	position map[snapshot.ShardID]int
	shards   []shardState
	open     int
	have     int
	attempts int
	hedges   int
	late     bool // the target has passed
	stale    bool // a replica lacks the snapshot, and the query may restart
	answer   *Answer
}

// NewQuery starts a query on its pinned snapshot, which has been validated.
func NewQuery(plan Plan) *Query {
	q := &Query{
		plan:     plan,
		position: make(map[snapshot.ShardID]int, len(plan.Snapshot.Shards)),
		shards:   make([]shardState, len(plan.Snapshot.Shards)),
		open:     len(plan.Snapshot.Shards),
	}
	for i, shard := range plan.Snapshot.Shards {
		q.position[shard.ID] = i
	}
	return q
}

// Answer returns the terminal answer, or nil while the query runs.
func (q *Query) Answer() *Answer { return q.answer }

// AddResult takes in one leg's result. A reply counts only if it echoes this
// request and one of its open shards, its body is whole, and it was made from
// the pinned snapshot; anything else is dropped and named by the verdict.
func (q *Query) AddResult(r leg.Result) Verdict {
	i, known := q.position[r.Shard]
	if r.Request != q.plan.Request || !known {
		return VerdictCrossed
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
	verdict := q.judge(r)
	shard.settled = true
	q.open--
	if verdict == VerdictAccepted {
		shard.answer = true
		shard.body = r.Body
		q.have++
	} else {
		q.fail(shard, r, verdict)
	}
	q.finishIfDecided()
	return verdict
}

func (q *Query) judge(r leg.Result) Verdict {
	switch {
	case !r.HasAnswer():
		return VerdictFailed
	case r.Snapshot != q.plan.Snapshot.Version:
		return VerdictMixed
	case leg.Digest(r.Body) != r.Digest:
		return VerdictCorrupt
	default:
		return VerdictAccepted
	}
}

func (q *Query) fail(shard *shardState, r leg.Result, verdict Verdict) {
	shard.code = r.Code
	shard.detail = r.Detail
	shard.outcome = r.Outcome
	shard.retry = r.RetryAfter
	if verdict == VerdictMixed {
		shard.code = result.SnapshotGone
		shard.detail = "answered from another snapshot"
	}
	q.stale = q.stale || q.plan.Restartable && shard.code == result.NoSnapshot
	if verdict == VerdictCorrupt {
		shard.code = result.OutcomeNotKnown
		shard.detail = "the reply was not whole"
	}
}

// CutOff ends the query with what is there if it is time to: at the target
// when the least coverage is reached, else at the final cut-off. Past the
// target the query ends as soon as it has the least coverage.
func (q *Query) CutOff(now time.Time) {
	if !now.Before(FinalCutOff(q.plan)) {
		q.Expire()
		return
	}
	q.late = !q.plan.SoftDeadline.IsZero() && !now.Before(TargetCutOff(q.plan))
	if q.late && q.covers(q.have) {
		q.Expire()
	}
}

// Late reports whether the target has passed without an answer.
func (q *Query) Late() bool { return q.late && q.answer == nil }

// Settled reports whether the shard at the position has its result.
func (q *Query) Settled(position int) bool { return q.shards[position].settled }

// GiveUp ends the query if its least coverage can't be had without those of the
// open shards, so many, that are given up.
func (q *Query) GiveUp(shards int) {
	if q.answer == nil && !q.covers(q.have+q.open-shards) {
		q.closeOpen(result.DeadlineExceeded, "its service is silent")
		q.finish()
	}
}

// NextCutOff is when CutOff is due next.
func (q *Query) NextCutOff() time.Time {
	final := FinalCutOff(q.plan)
	if q.late || q.plan.SoftDeadline.IsZero() {
		return final
	}
	if target := TargetCutOff(q.plan); target.Before(final) {
		return target
	}
	return final
}

// Expire ends the query at its cut-off with what is there. A leg that is
// still open may run or have run, so its outcome is unknown.
func (q *Query) Expire() {
	q.closeOpen(result.DeadlineExceeded, "no reply in time")
	q.finish()
}

// Refuse ends the query before anything was sent: it has not run.
func (q *Query) Refuse(code result.Code, detail string, retryAfter time.Duration) {
	if q.answer != nil {
		return
	}
	for i := range q.shards {
		q.shards[i] = shardState{settled: true, code: code, detail: detail, outcome: result.OutcomeUnsent, retry: retryAfter}
	}
	q.open = 0
	q.finish()
}

// Abandon ends the query because its caller went away.
func (q *Query) Abandon() {
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

// finishIfDecided ends the query when nothing is open, and also as soon as the
// least coverage is out of reach: a caller that can't get an answer is told at
// once, not at its deadline, and the legs left over load nobody.
func (q *Query) finishIfDecided() {
	reachable := q.have + q.open
	switch {
	case q.open == 0 || q.stale || !q.covers(reachable):
		q.finish()
	case q.late && q.covers(q.have):
		q.Expire()
	}
}

func (q *Query) covers(shards int) bool {
	return shards > 0 && float64(shards) >= q.plan.MinCoverage*float64(len(q.shards))
}
