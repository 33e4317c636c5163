package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// A server says that it is idle while all of its slots are taken, and another
// that its load is as it was long ago.
func TestLoadReportsLieAndLag(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{Slots: 2, HeldSnapshots: map[string][]snapshot.Version{"slots": {7}}})
	client := newClient(t, backend.Options{})
	b.Pause(true)
	done := make(chan backend.CallResult, 1)
	go func() { done <- client.Run(context.Background(), b.Server(), newCall("x")) }()
	waitFor(t, "the run", func() bool { return b.Record().Count() == 1 })
	health, err := client.Health(context.Background(), b.Server())
	is.NoErr(err)
	is.Equal(health.Load, backend.Load{Running: 1, Slots: 2})
	is.Equal(health.HeldSnapshots["slots"], []snapshot.Version{7})
	for _, faults := range []standin.BackendFaults{
		{LoadLie: &backend.Load{Slots: 2}},
		{LoadLag: time.Hour},
	} {
		b.SetFaults(faults)
		health, err = client.Health(context.Background(), b.Server())
		is.NoErr(err)
		is.Equal(health.Load, backend.Load{Slots: 2})
	}
	b.SetFaults(standin.BackendFaults{})
	b.Pause(false)
	is.True((<-done).Usable())
}

// A reply comes after its caller gave up. The next call must not read it, and
// the late one stays unknown.
func TestLateReplyReachesNobody(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{})
	client := newClient(t, backend.Options{})
	b.SetFaults(standin.BackendFaults{LateBy: 500 * time.Millisecond})
	late := newCall("late")
	late.Deadline = time.Now().Add(50 * time.Millisecond)
	attempt := client.Run(context.Background(), b.Server(), late)
	is.True(!attempt.Usable())
	is.True(attempt.Outcome == result.OutcomeUnknown || len(b.Record().RunsOf(late.Request)) == 0)
	b.SetFaults(standin.BackendFaults{})
	next := newCall("next")
	attempt = client.Run(context.Background(), b.Server(), next)
	is.True(attempt.Usable())
	is.Equal(string(attempt.Reply.Body), string(standin.ShardBody("slots", 7, 3, next.Body)))
}

// A server that has just started is slow for a while; slots that are taken and
// a full queue shed.
func TestColdStartAndShedding(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{
		Slots: 1, QueueLimit: 1, ColdDuration: time.Hour, ColdFactor: 10,
		ServiceTime: standin.ServiceTime{Base: 2 * time.Millisecond},
	})
	client := newClient(t, backend.Options{})
	is.True(client.Run(context.Background(), b.Server(), newCall("cold")).Usable())
	run := b.Record().Runs()[0]
	is.True(run.Ended.Sub(run.Started) >= 20*time.Millisecond)
	b.Pause(true)
	done := make(chan backend.CallResult, 2)
	for range 2 {
		go func() { done <- client.Run(context.Background(), b.Server(), newCall("x")) }()
	}
	waitFor(t, "a full queue", func() bool {
		health, err := client.Health(context.Background(), b.Server())
		return err == nil && health.Load.Queued == 1
	})
	attempt := client.Run(context.Background(), b.Server(), newCall("one too many"))
	is.Equal(attempt.Outcome, result.OutcomeRefused)
	is.Equal(attempt.Fault, backend.FaultShed)
	b.Pause(false)
	is.True((<-done).Usable())
	is.True((<-done).Usable())
}
