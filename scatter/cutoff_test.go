package scatter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

var startedAt = time.Unix(1000, 0)

// queryWithSoftDeadline makes a query over four shards with a soft deadline of
// 100 ms and a deadline of 1 s.
func queryWithSoftDeadline(coverage float64) *Query {
	s := &snapshot.Snapshot{Version: 1}
	for i := range 4 {
		s.Shards = append(s.Shards, snapshot.Shard{ID: snapshot.ShardID(i), Service: "s"})
	}
	return NewQuery(Plan{
		Request: ident.RequestID{1}, Snapshot: s, Started: startedAt, SoftDeadline: startedAt.Add(100 * time.Millisecond),
		Deadline: startedAt.Add(time.Second), MinCoverage: coverage, Idempotent: true,
	})
}

func replyOf(shard int) leg.Result {
	return leg.Result{Request: ident.RequestID{1}, Shard: snapshot.ShardID(shard), Snapshot: 1, Outcome: result.OutcomeRan, Digest: leg.Digest(nil)}
}

// Guards against waiting past the soft deadline for the last shard when the
// minimum coverage is reached.
func TestAnswersBeforeSoftDeadline(t *testing.T) {
	is := is.New(t)
	q := queryWithSoftDeadline(0.75)
	for i := range 3 {
		q.AddResult(replyOf(i))
	}
	is.True(q.Answer() == nil) // there is time for the fourth
	at := q.NextCutOff()
	is.True(at.Before(startedAt.Add(100*time.Millisecond)) && at.After(startedAt.Add(80*time.Millisecond)))
	q.CutOff(at)
	is.Equal(q.Answer().Code, result.Partial)
	is.Equal(len(q.Answer().Parts), 3)
}

// Guards against waiting until the deadline when the minimum coverage is reached
// past the soft deadline.
func TestAnswersPastSoftDeadlineOnceCoverageIsReached(t *testing.T) {
	is := is.New(t)
	q := queryWithSoftDeadline(0.75)
	q.AddResult(replyOf(0))
	q.CutOff(q.NextCutOff())
	is.True(q.Answer() == nil)
	is.True(q.NextCutOff().After(startedAt.Add(800 * time.Millisecond)))
	q.AddResult(replyOf(1))
	is.True(q.Answer() == nil)
	q.AddResult(replyOf(2))
	is.Equal(q.Answer().Code, result.Partial)
}

// Guards against a query without results that outlasts its deadline or claims
// "not run".
func TestQueryEndsBeforeDeadline(t *testing.T) {
	is := is.New(t)
	q := queryWithSoftDeadline(0.75)
	q.CutOff(q.NextCutOff())
	last := q.NextCutOff()
	is.True(last.Before(startedAt.Add(time.Second)))
	q.CutOff(last)
	is.True(q.Answer() != nil)
	is.True(!q.Answer().Code.NotRun()) // its legs may have run
}

// Guards against a refused query without its code and retry delay.
func TestRefusedQueryHasNotRun(t *testing.T) {
	is := is.New(t)
	q := queryWithSoftDeadline(0.75)
	q.Refuse(result.Overloaded, "busy", time.Second)
	is.Equal(q.Answer().Code, result.Overloaded)
	is.Equal(q.Answer().RetryAfter, time.Second)
}

// Guards against a reserve that is shorter than the caller's round trip, or much
// longer.
func TestSoftCutOffReservesCallerRTT(t *testing.T) {
	is := is.New(t)
	near := Plan{Started: startedAt, SoftDeadline: startedAt.Add(60 * time.Millisecond), CallerRTT: 2 * time.Millisecond}
	far := Plan{Started: startedAt, SoftDeadline: startedAt.Add(52 * time.Millisecond), CallerRTT: 8 * time.Millisecond}
	is.True(!SoftCutOff(near).After(near.SoftDeadline.Add(-2 * time.Millisecond)))
	is.True(SoftCutOff(near).After(near.SoftDeadline.Add(-9 * time.Millisecond)))
	is.True(!SoftCutOff(far).After(far.SoftDeadline.Add(-8 * time.Millisecond)))
	unknown := Plan{Started: startedAt, SoftDeadline: startedAt.Add(60 * time.Millisecond)}
	is.True(SoftCutOff(unknown).Before(SoftCutOff(near)))
	short := Plan{Started: startedAt, SoftDeadline: startedAt.Add(20 * time.Millisecond), CallerRTT: 40 * time.Millisecond}
	is.True(SoftCutOff(short).After(startedAt.Add(10 * time.Millisecond))) // time is left for the work
}

// Guards against a burst in which queues on the way to the callers make the answers of all
// queries late at once, since each waits for its last shards until the last moment.
func TestStragglersOfMostQueriesMoveTheSoftCutOffEarlier(t *testing.T) {
	is := is.New(t)
	plan := queryWithSoftDeadline(0.75).plan
	calm := SoftCutOff(plan)
	tracker := newStragglers()
	for range 40 { // a tenth of a second of a burst
		tracker.record("urgent", true)
	}
	plan.StragglerShare = tracker.share("urgent")
	is.True(calm.Sub(SoftCutOff(plan)) >= 10*time.Millisecond) // of 100 ms
	for range 100 {
		tracker.record("urgent", false)
	}
	plan.StragglerShare = tracker.share("urgent")
	is.True(calm.Sub(SoftCutOff(plan)) < time.Millisecond) // the last shards are waited for again
	is.Equal(tracker.share("other"), 0.0)
}
