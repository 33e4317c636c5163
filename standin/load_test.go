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

// A server reports a wrong load, or the load of an hour ago.
func TestWrongAndStaleLoadReports(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{Slots: 2, HeldSnapshots: map[string][]snapshot.Version{"slots": {7}}})
	client := newClient(t, backend.Options{})
	b.SetPaused(true)
	done := make(chan backend.CallResult, 1)
	go func() { done <- client.Run(context.Background(), b.Server(), newCall("x")) }()
	waitFor(t, "the run", func() bool { return b.Record().Count() == 1 })
	health, err := client.Health(context.Background(), b.Server())
	is.NoErr(err)
	is.Equal(health.Load, backend.Load{Running: 1, Slots: 2})
	is.Equal(health.HeldSnapshots["slots"], []snapshot.Version{7})
	for _, faults := range []standin.BackendFaults{
		{LoadOverride: &backend.Load{Slots: 2}},
		{LoadLag: time.Hour},
	} {
		b.SetFaults(faults)
		health, err = client.Health(context.Background(), b.Server())
		is.NoErr(err)
		is.Equal(health.Load, backend.Load{Slots: 2})
	}
	b.SetFaults(standin.BackendFaults{})
	b.SetPaused(false)
	is.True((<-done).Usable())
}

// A reply arrives after the deadline of its call. The next call must not receive it.
func TestLateReplyIsDiscarded(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{})
	client := newClient(t, backend.Options{})
	b.SetFaults(standin.BackendFaults{ReplyDelay: 500 * time.Millisecond})
	late := newCall("late")
	late.Deadline = time.Now().Add(50 * time.Millisecond)
	res := client.Run(context.Background(), b.Server(), late)
	is.True(!res.Usable())
	is.True(res.Outcome == result.OutcomeUnknown || len(b.Record().RunsOf(late.Request)) == 0)
	b.SetFaults(standin.BackendFaults{})
	next := newCall("next")
	res = client.Run(context.Background(), b.Server(), next)
	is.True(res.Usable())
	is.Equal(string(res.Reply.Body), string(standin.ShardBody("slots", 7, 3, next.Body)))
}

// A cold server has longer service times. A server whose slots and queue are full
// refuses calls.
func TestColdStartAndLoadShedding(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{
		Slots: 1, QueueLimit: 1, ColdDuration: time.Hour, ColdFactor: 10,
		ServiceTime: standin.ServiceTime{Base: 2 * time.Millisecond},
	})
	client := newClient(t, backend.Options{})
	is.True(client.Run(context.Background(), b.Server(), newCall("cold")).Usable())
	run := b.Record().Runs()[0]
	is.True(run.Ended.Sub(run.Started) >= 20*time.Millisecond)
	b.SetPaused(true)
	done := make(chan backend.CallResult, 2)
	for range 2 {
		go func() { done <- client.Run(context.Background(), b.Server(), newCall("x")) }()
	}
	waitFor(t, "a full queue", func() bool {
		health, err := client.Health(context.Background(), b.Server())
		return err == nil && health.Load.Queued == 1
	})
	res := client.Run(context.Background(), b.Server(), newCall("one too many"))
	is.Equal(res.Outcome, result.OutcomeRefused)
	is.Equal(res.Fault, backend.FaultShed)
	b.SetPaused(false)
	is.True((<-done).Usable())
	is.True((<-done).Usable())
}
