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

var began = time.Unix(1000, 0)

// targeted is a query over four shards with a target of 100 ms of 1 s.
func targeted(least float64) *Query {
	s := &snapshot.Snapshot{Version: 1}
	for i := range 4 {
		s.Shards = append(s.Shards, snapshot.Shard{ID: snapshot.ShardID(i), Service: "s"})
	}
	return NewQuery(Plan{
		Request: ident.RequestID{1}, Snapshot: s, Started: began, SoftDeadline: began.Add(100 * time.Millisecond),
		Deadline: began.Add(time.Second), MinCoverage: least, Idempotent: true,
	})
}

func part(shard int) leg.Result {
	return leg.Result{Request: ident.RequestID{1}, Shard: snapshot.ShardID(shard), Snapshot: 1, Outcome: result.OutcomeRan, Digest: leg.Digest(nil)}
}

// A screen waits for the last shard past its target and shows nothing: with the
// least share there, the answer must be on its way before the target.
func TestAnswerLeavesBeforeTheTarget(t *testing.T) {
	is := is.New(t)
	q := targeted(0.75)
	for i := range 3 {
		q.AddResult(part(i))
	}
	is.True(q.Answer() == nil) // there is time for the fourth
	at := q.NextCutOff()
	is.True(at.Before(began.Add(100*time.Millisecond)) && at.After(began.Add(80*time.Millisecond)))
	q.CutOff(at)
	is.Equal(q.Answer().Code, result.Partial)
	is.Equal(len(q.Answer().Parts), 3)
}

// The least share is not there at the target: the query goes on, and answers
// with the very part that completes it, not at its deadline.
func TestPastTheTargetTheLeastShareAnswers(t *testing.T) {
	is := is.New(t)
	q := targeted(0.75)
	q.AddResult(part(0))
	q.CutOff(q.NextCutOff())
	is.True(q.Answer() == nil)
	is.True(q.NextCutOff().After(began.Add(800 * time.Millisecond)))
	q.AddResult(part(1))
	is.True(q.Answer() == nil)
	q.AddResult(part(2))
	is.Equal(q.Answer().Code, result.Partial)
}

// Nothing more comes: the query ends before its deadline, and says that it fails.
func TestQueryEndsBeforeItsDeadline(t *testing.T) {
	is := is.New(t)
	q := targeted(0.75)
	q.CutOff(q.NextCutOff())
	last := q.NextCutOff()
	is.True(last.Before(began.Add(time.Second)))
	q.CutOff(last)
	is.True(q.Answer() != nil)
	is.True(!q.Answer().Code.NotRun()) // its legs may have run
}

// A query that is refused before anything was sent has not run.
func TestRefusedQueryHasNotRun(t *testing.T) {
	is := is.New(t)
	q := targeted(0.75)
	q.Refuse(result.Overloaded, "busy", time.Second)
	is.Equal(q.Answer().Code, result.Overloaded)
	is.Equal(q.Answer().RetryAfter, time.Second)
}

// A caller is two round trips away: one opened its connection, and one is the way
// of its request and the answer. What the first took is off its target already;
// the answer must leave early enough for the second, and not much earlier.
func TestAnswerLeavesInTimeForItsWay(t *testing.T) {
	is := is.New(t)
	near := Plan{Started: began, SoftDeadline: began.Add(60 * time.Millisecond), CallerRTT: 2 * time.Millisecond}
	far := Plan{Started: began, SoftDeadline: began.Add(52 * time.Millisecond), CallerRTT: 8 * time.Millisecond}
	is.True(!TargetCutOff(near).After(near.SoftDeadline.Add(-2 * time.Millisecond)))
	is.True(TargetCutOff(near).After(near.SoftDeadline.Add(-9 * time.Millisecond)))
	is.True(!TargetCutOff(far).After(far.SoftDeadline.Add(-8 * time.Millisecond)))
	unknown := Plan{Started: began, SoftDeadline: began.Add(60 * time.Millisecond)}
	is.True(TargetCutOff(unknown).Before(TargetCutOff(near)))
	short := Plan{Started: began, SoftDeadline: began.Add(20 * time.Millisecond), CallerRTT: 40 * time.Millisecond}
	is.True(TargetCutOff(short).After(began.Add(10 * time.Millisecond))) // something is left for the work
}
