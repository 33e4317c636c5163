package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// longTimeout is longer than any wait in a passing test.
const longTimeout = time.Minute

func startBackend(t *testing.T, config standin.BackendConfig) *standin.Backend {
	t.Helper()
	if config.Name == "" {
		config.Name = "b1"
	}
	b := standin.NewBackend(config)
	if err := b.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Close() })
	return b
}

func newClient(t *testing.T, options backend.Options) *backend.Client {
	t.Helper()
	client := backend.NewClient(options)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func newCall(body string) backend.Call {
	return backend.Call{
		Request: ident.NewRequestID(), Attempt: 1, Service: "booking-desk-01", Index: "slots",
		Shard: 3, Snapshot: 7, Class: "interactive", Deadline: time.Now().Add(longTimeout),
		Idempotent: true, Body: []byte(body),
	}
}

func TestCompleteReply(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{})
	client := newClient(t, backend.Options{})
	call := newCall("spring campaign")
	for attempt := range ident.AttemptID(3) {
		call.Attempt = attempt + 1 // a connection carries no attempt twice
		res := client.Run(context.Background(), b.Server(), call)
		is.True(res.Usable())
		is.Equal(string(res.Reply.Body), string(standin.ShardBody("slots", 7, 3, call.Body)))
		is.Equal(res.Reply.Load.Slots, 2)
		is.Equal(res.Reply.Incarnation, uint64(1))
	}
	is.Equal(client.Stats().Dials, uint64(1)) // the connection is reused
	is.Equal(len(b.Record().RunsOf(call.Request)), 3)
	is.True(b.Record().Runs()[0].Completed)
}

// Each kind of faulty reply has its own outcome and fault. A call may be reported as
// not run only if the server has no record of it.
func TestFaultyRepliesAreClassified(t *testing.T) {
	cases := []struct {
		name    string
		faults  standin.BackendFaults
		outcome result.Outcome
		fault   backend.Fault
		runs    int
	}{
		{"half reply", standin.BackendFaults{TruncatedReplies: 1}, result.OutcomeUnknown, backend.FaultCorruptReply, 1},
		{"corrupt reply", standin.BackendFaults{CorruptReplies: 1}, result.OutcomeUnknown, backend.FaultCorruptReply, 1},
		{"crossed reply", standin.BackendFaults{MisroutedReplies: 1}, result.OutcomeUnknown, backend.FaultMisroutedReply, 1},
		{"lost reply", standin.BackendFaults{LostReplies: 1}, result.OutcomeUnknown, backend.FaultConnectionLost, 1},
		{"failed", standin.BackendFaults{FailedReplies: 1}, result.OutcomeRan, backend.FaultServerError, 1},
		{"another snapshot", standin.BackendFaults{AnswerSnapshot: 6}, result.OutcomeRan, backend.FaultSnapshotMismatch, 1},
		{"bare 503", standin.BackendFaults{Unmarked503s: 1}, result.OutcomeUnknown, backend.FaultMisroutedReply, 1},
		{"shed", standin.BackendFaults{ShedCalls: 1}, result.OutcomeRefused, backend.FaultShed, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, standin.BackendConfig{})
			client := newClient(t, backend.Options{})
			b.SetFaults(c.faults)
			call := newCall("x")
			res := client.Run(context.Background(), b.Server(), call)
			is.Equal(res.Outcome, c.outcome)
			is.Equal(res.Fault, c.fault)
			is.Equal(len(res.Reply.Body), 0)
			is.Equal(len(b.Record().RunsOf(call.Request)), c.runs)
			b.SetFaults(standin.BackendFaults{})
			is.True(client.Run(context.Background(), b.Server(), newCall("next")).Usable())
		})
	}
}

func TestRefusalsBeforeRun(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{HeldSnapshots: map[string][]snapshot.Version{"slots": {7}}})
	client := newClient(t, backend.Options{})
	oldSnapshot := newCall("x")
	oldSnapshot.Snapshot = 6
	res := client.Run(context.Background(), b.Server(), oldSnapshot)
	is.Equal(res.Fault, backend.FaultSnapshotNotHeld)
	is.Equal(res.Outcome, result.OutcomeRefused)
	b.SetDraining(true)
	res = client.Run(context.Background(), b.Server(), newCall("x"))
	is.Equal(res.Fault, backend.FaultDraining)
	is.Equal(res.Outcome, result.OutcomeRefused)
	is.True(res.Reply.Load.Draining)
	is.True(res.RetryAfter > 0)
	is.Equal(b.Record().Count(), 0)
}
