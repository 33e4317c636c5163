package home

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Guards against losing count of running attempts on a configuration change, which
// would overcommit the servers.
func TestReconfigureKeepsRunningAttempts(t *testing.T) {
	is := is.New(t)
	h := New(config(), 0)
	h.SetServers(start, []ServerSpec{{Name: "a", Incarnation: 1}}, nil)
	running := startsOf(submitMany(h, 6))
	is.True(len(running) >= 2)

	cfg := config()
	cfg.Classes = []ClassSpec{{Name: "batch", MaxQueue: 50}, {Name: "interactive", ReservedShare: 0.5, MaxQueue: 50}}
	named := config()
	named.Classes[interactive].Name, named.Classes[batch].Name = "interactive", "batch"
	is.Equal(len(startsOf(h.Reconfigure(start, named, nil))), 0)
	is.Equal(len(startsOf(h.Reconfigure(start, cfg, nil))), 0) // no slot is free

	// Every leg is still answered exactly once.
	answered := 0
	now := start
	for len(running) > 0 {
		now = now.Add(time.Millisecond)
		acts := h.Finish(now, running[0].Attempt, AttemptResult{Outcome: result.OutcomeRan}, nil)
		running = append(running[1:], startsOf(acts)...)
		answered += countKind(acts, ActionAnswer)
	}
	is.Equal(answered, 6)
}

// Guards against spending the retry budget on refusals while two homes use the same
// slots.
func TestShedLegsAreRequeued(t *testing.T) {
	is := is.New(t)
	h := New(config(), 0)
	h.SetServers(start, []ServerSpec{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}}, nil)
	now := start
	answered, failed := 0, 0
	for i := range 100 {
		acts := h.Submit(now, Leg{ID: LegID(i + 1), Deadline: now.Add(10 * time.Second), Idempotent: true}, nil)
		shed := i%2 == 0
		for step := 0; step < 1000 && countKind(acts, ActionAnswer)+countKind(acts, ActionFail) == 0; step++ {
			now = now.Add(time.Millisecond)
			starts := startsOf(acts)
			acts = h.Tick(now, acts[:0])
			for _, act := range starts {
				end := AttemptResult{Outcome: result.OutcomeRan}
				if shed {
					end = AttemptResult{Outcome: result.OutcomeRefused, Fault: backend.FaultShed}
				}
				shed = false
				acts = h.Finish(now, act.Attempt, end, acts)
			}
		}
		answered += countKind(acts, ActionAnswer)
		failed += countKind(acts, ActionFail)
	}
	is.Equal(failed, 0)
	is.Equal(answered, 100)
}

func submitMany(h *Home, n int) []Action {
	var acts []Action
	for i := range n {
		acts = h.Submit(start, Leg{
			ID: LegID(i + 1), Request: ident.RequestID{byte(i)}, Class: i % 2,
			Deadline: start.Add(time.Minute),
		}, acts)
	}
	return acts
}

func startsOf(acts []Action) []Action {
	var starts []Action
	for _, act := range acts {
		if act.Kind == ActionStart {
			starts = append(starts, act)
		}
	}
	return starts
}

func countKind(acts []Action, kind ActionKind) int {
	n := 0
	for _, act := range acts {
		if act.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against a home that panics when the last class is removed, and so loses its legs.
func TestLegsOutliveTheRemovalOfAllClasses(t *testing.T) {
	is := is.New(t)
	h := New(config(), 0)
	h.SetServers(start, []ServerSpec{{Name: "a", Incarnation: 1}}, nil)
	running := startsOf(submitMany(h, 6))
	cfg := config()
	cfg.Classes = nil
	h.Reconfigure(start, cfg, nil)
	answered := 0
	for now := start; len(running) > 0; {
		now = now.Add(time.Millisecond)
		acts := h.Finish(now, running[0].Attempt, AttemptResult{Outcome: result.OutcomeRan}, nil)
		running = append(running[1:], startsOf(acts)...)
		answered += countKind(acts, ActionAnswer)
	}
	is.Equal(answered, 6)
	is.Equal(h.ClassIndex("interactive"), 0)
}
