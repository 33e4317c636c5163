package scatter

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// crashedHomes lose every leg but those of service d without a word, at once.
type crashedHomes struct {
	busyHomes
	cancelled atomic.Int64
}

func (h *crashedHomes) Runner(ident.HostID) (leg.Runner, bool) { return h, true }

func (h *crashedHomes) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	if request.Service != "d" {
		done(leg.Failed(request, result.OutcomeNotKnown, result.OutcomeUnknown, "connection broken"))
	}
	return func() { h.cancelled.Add(1) }
}

// A search crashes a server of each of its services. The first three legs that are lost
// end it, and the fourth's connection breaks a moment later. If that leg is cancelled
// meanwhile, nobody asks whether its server died, and the caller's next sending crashes
// two more. It must go on until its break can have come, and not for longer.
func TestLegsOfALostSearchGoOnForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &crashedHomes{}
		c := NewCoordinator(h, noCounter{}, time.Now, func(string, string, []snapshot.Version) {})
		c.LostLegGrace = 100 * time.Millisecond
		lost := &snapshot.Snapshot{Version: 1}
		for i, service := range []string{"a", "b", "c", "d"} {
			lost.Shards = append(lost.Shards, snapshot.Shard{ID: snapshot.ShardID(i), Service: service})
		}
		now := time.Now()
		answer := c.Run(t.Context(), QuerySpec{Plan: Plan{
			Snapshot: lost, Started: now, Deadline: now.Add(time.Second),
			MinCoverage: 0.5, Idempotent: true,
		}})
		is.True(!answer.Code.NotRun())
		is.Equal(len(answer.Parts), 0)
		time.Sleep(90 * time.Millisecond)
		is.Equal(h.cancelled.Load(), int64(0))
		time.Sleep(20 * time.Millisecond)
		is.Equal(h.cancelled.Load(), int64(4))
	})
}
