package scatter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// canaryHomes records the legs and ends each with the outcome; ran legs are answered.
type canaryHomes struct {
	busyHomes
	outcome result.Outcome
	code    result.Code
	sent    []string
	servers []int // most servers for each leg
	took    time.Duration
}

func (h *canaryHomes) Runner(ident.HostID) (leg.Runner, bool) { return h, true }

func (h *canaryHomes) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	h.sent = append(h.sent, request.Service)
	h.servers = append(h.servers, request.MaxServers)
	res := leg.Failed(request, h.code, h.outcome, "")
	res.Snapshot = request.Snapshot
	res.Digest = leg.Digest(nil)
	timer := time.AfterFunc(h.took, func() { done(res) })
	return func() { timer.Stop() }
}

func runCanary(t *testing.T, h *canaryHomes, wait time.Duration, permit CanaryPermit) (answer *Answer, sentByThen int) {
	c := NewCoordinator(h, noCounter{}, time.Now, func(string, string, []snapshot.Version) {})
	s := &snapshot.Snapshot{Version: 1}
	for i, service := range []string{"a", "b", "c", "d"} {
		s.Shards = append(s.Shards, snapshot.Shard{ID: snapshot.ShardID(i), Service: service})
	}
	h.took = 10 * time.Millisecond
	now := time.Now()
	time.AfterFunc(wait, func() { sentByThen = len(h.sent) })
	answer = c.Run(t.Context(), QuerySpec{Canary: func(string) CanaryPermit { return permit }, MaxServers: 2, Plan: Plan{
		Snapshot: s, Started: now, Deadline: now.Add(time.Second), MinCoverage: 0.5, Idempotent: true,
	}})
	return answer, sentByThen
}

// Guards against a suspect that reaches all shards before one has survived it.
func TestCanaryRunsOnOneShardFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &canaryHomes{outcome: result.OutcomeRan}
		answer, first := runCanary(t, h, 5*time.Millisecond, CanaryPermit{})
		is.Equal(first, 1)
		is.Equal(answer.Code, result.Complete)
		is.Equal(len(h.sent), 4) // the canary's part is used, not asked for again
		is.Equal(h.servers, []int{1, 2, 2, 2})
	})
}

// Guards against sending the other legs of a search whose canary was lost, and against
// reporting that search as not run.
func TestLostCanaryEndsTheSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &canaryHomes{outcome: result.OutcomeUnknown, code: result.OutcomeNotKnown}
		answer, _ := runCanary(t, h, 0, CanaryPermit{})
		is.Equal(len(h.sent), 1)
		is.True(!answer.Code.NotRun())
		is.Equal(len(answer.Parts), 0)
	})
}

// Guards against reporting a search as possibly run when its canary was refused.
func TestSearchWithRefusedCanaryHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &canaryHomes{outcome: result.OutcomeRefused, code: result.BackendsRefused}
		answer, _ := runCanary(t, h, 0, CanaryPermit{})
		is.Equal(len(h.sent), 1)
		is.True(answer.Code.NotRun())
	})
}

// Guards against a canary that runs although another one of the request does.
func TestCanaryWithoutAPermitHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &canaryHomes{outcome: result.OutcomeRan}
		refusal := result.Errorf(result.Suspected, "another host runs one")
		refusal.RetryAfter = 100 * time.Millisecond
		answer, _ := runCanary(t, h, 0, CanaryPermit{Refusal: refusal})
		is.Equal(len(h.sent), 0)
		is.Equal(answer.Code, result.Suspected)
		is.Equal(answer.RetryAfter, 100*time.Millisecond)
	})
}

// Guards against a search that loses a round trip although it has been answered elsewhere.
func TestUnneededCanaryRunsOnAllShardsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &canaryHomes{outcome: result.OutcomeRan}
		answer, first := runCanary(t, h, 5*time.Millisecond, CanaryPermit{Unneeded: true})
		is.Equal(first, 4)
		is.Equal(answer.Code, result.Complete)
	})
}
