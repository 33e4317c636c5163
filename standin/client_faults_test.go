package standin_test

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// waitFor polls until the condition holds; only a hung test runs into its end.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(longDeadline); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came: " + what)
		}
	}
}

// A screen's query hangs on a connection that something between the two ends
// lost track of, while a query beside it on a new connection is answered. The
// hung one ends as unknown well before its deadline, its connection is dropped,
// and the good connection stays in use.
func TestSilentConnectionIsDroppedAlone(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{})
	client := newClient(t, backend.Options{ReadIdleTimeout: 50 * time.Millisecond, ProbeTimeout: longDeadline})
	is.True(client.Run(context.Background(), b.Server(), newCall("warm up")).Usable())
	b.BlackholeConnections()
	hung := make(chan backend.CallResult, 1)
	go func() { hung <- client.Run(context.Background(), b.Server(), newCall("hung")) }()
	waitFor(t, "a probe", func() bool { return client.Stats().Probes > 0 })
	is.True(client.Run(context.Background(), b.Server(), newCall("beside")).Usable())
	attempt := <-hung
	is.Equal(attempt.Outcome, result.OutcomeUnknown)
	is.Equal(attempt.Fault, backend.FaultUnresponsive)
	is.Equal(client.Stats().Silent, uint64(1))
	is.Equal(client.Connections(b.Server()), 1)
	dials := client.Stats().Dials
	is.True(client.Run(context.Background(), b.Server(), newCall("after")).Usable())
	is.Equal(client.Stats().Dials, dials)
}

// A booking after a quiet minute must not end as unknown because the idle
// connection went silent meanwhile: it goes out on a new one.
func TestBookingAvoidsConnectionsIdleForLong(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{})
	client := newClient(t, backend.Options{FreshFor: time.Nanosecond})
	is.True(client.Run(context.Background(), b.Server(), newCall("warm up")).Usable())
	b.BlackholeConnections()
	booking := newCall("slot")
	booking.Idempotent = false
	is.True(client.Run(context.Background(), b.Server(), booking).Usable())
	is.Equal(len(b.Record().RunsOf(booking.Request)), 1)
}

// Long work brings no bytes for longer than the bound. The server says on
// another connection that it runs it, so the connection stays.
func TestLongWorkIsNotSilence(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{})
	client := newClient(t, backend.Options{ReadIdleTimeout: 10 * time.Millisecond, ProbeTimeout: longDeadline})
	b.Pause(true)
	done := make(chan backend.CallResult, 1)
	go func() { done <- client.Run(context.Background(), b.Server(), newCall("export")) }()
	waitFor(t, "several probes", func() bool { return client.Stats().Probes > 2 })
	b.Pause(false)
	is.True((<-done).Usable())
	is.Equal(client.Stats().Silent, uint64(0))
}

// The server closes a connection that was used before, after it took the
// request and before a byte of the reply: where net/http's own pool would send
// a replayable request again. The work runs once, and the attempt is unknown.
func TestReusedConnectionThatDiesIsNotRetried(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{})
	client := newClient(t, backend.Options{})
	for _, body := range []string{"slot", ""} { // an empty body is replayable in net/http
		is.True(client.Run(context.Background(), b.Server(), newCall("warm up")).Usable())
		b.SetFaults(standin.BackendFaults{LostReplies: 1})
		booking := newCall(body)
		booking.Idempotent = false
		attempt := client.Run(context.Background(), b.Server(), booking)
		is.Equal(attempt.Outcome, result.OutcomeUnknown)
		is.Equal(attempt.Fault, backend.FaultConnectionLost)
		is.Equal(len(b.Record().RunsOf(booking.Request)), 1)
	}
}

func TestUnreachableIsUnsent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := newClient(t, backend.Options{})
	attempt := client.Run(context.Background(), backend.Server{Name: "gone", Address: address}, newCall("x"))
	is.Equal(attempt.Outcome, result.OutcomeUnsent)
	is.Equal(attempt.Fault, backend.FaultUnreachable)
	is.Equal(client.Connections(backend.Server{Address: address}), 0)
}

// Deadline and cancellation of a call that runs are unknown, and the server
// learns of both: its work ends without being completed. A booking that began
// is let finish.
func TestDeadlineAndCancellation(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{Slots: 4})
	client := newClient(t, backend.Options{})
	b.Pause(true)
	late := newCall("late")
	for wait := 50 * time.Millisecond; len(b.Record().RunsOf(late.Request)) == 0; wait *= 2 {
		late.Deadline = time.Now().Add(wait) // too short to reach a busy server: longer
		attempt := client.Run(context.Background(), b.Server(), late)
		is.True(attempt.Outcome.NotRun() || attempt.Fault == backend.FaultDeadline)
		is.True(attempt.Outcome.NotRun() || attempt.Outcome == result.OutcomeUnknown)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancelled, booking := newCall("cancelled"), newCall("booking")
	booking.Idempotent = false
	attempts := make(chan backend.CallResult, 2)
	for _, call := range []backend.Call{cancelled, booking} {
		go func() { attempts <- client.Run(ctx, b.Server(), call) }()
		waitFor(t, "the run", func() bool { return len(b.Record().RunsOf(call.Request)) == 1 })
	}
	cancel()
	for range 2 {
		attempt := <-attempts
		is.Equal(attempt.Fault, backend.FaultCancelled)
		is.Equal(attempt.Outcome, result.OutcomeUnknown)
	}
	for _, call := range []backend.Call{late, cancelled, booking} {
		if !call.Idempotent {
			b.Pause(false)
		}
		waitFor(t, "the end", func() bool { return !b.Record().RunsOf(call.Request)[0].Ended.IsZero() })
		is.Equal(b.Record().RunsOf(call.Request)[0].Completed, !call.Idempotent)
	}
}

// A connection over this host's share is not opened; one over the server's own
// limit is told so. Both are not run.
func TestConnectionLimits(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{MaxConnections: 1})
	b.Pause(true)
	own := newClient(t, backend.Options{ConnectionsPerServer: 1})
	other := newClient(t, backend.Options{})
	first := newCall("first")
	done := make(chan backend.CallResult, 1)
	go func() { done <- own.Run(context.Background(), b.Server(), first) }()
	waitFor(t, "the run", func() bool { return len(b.Record().RunsOf(first.Request)) == 1 })
	attempt := own.Run(context.Background(), b.Server(), newCall("second"))
	is.Equal(attempt.Outcome, result.OutcomeUnsent)
	is.Equal(attempt.Fault, backend.FaultConnectionLimit)
	attempt = other.Run(context.Background(), b.Server(), newCall("third"))
	is.Equal(attempt.Outcome, result.OutcomeRefused)
	is.Equal(attempt.Fault, backend.FaultConnectionLimit)
	b.Pause(false)
	is.True((<-done).Usable())
	is.Equal(b.Record().Count(), 1)
}

// A host was the home of a server for a while. Its idle connections go by
// themselves; kept, they would use up the limit that the new home needs.
func TestIdleConnectionsExpireWithoutACall(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{})
	client := newClient(t, backend.Options{IdleTimeout: 20 * time.Millisecond})
	is.True(client.Run(context.Background(), b.Server(), newCall("x")).Usable())
	waitFor(t, "the end of the connection", func() bool {
		open, _ := b.OpenConnections()
		return open == 0 && client.Connections(b.Server()) == 0
	})
	is.True(client.Run(context.Background(), b.Server(), newCall("x")).Usable())
}

func TestTrimKeepsASpareConnection(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{Slots: 4})
	client := newClient(t, backend.Options{ConnectionLimit: func(backend.Server) int { return 3 }})
	b.Pause(true)
	done := make(chan backend.CallResult, 4)
	for range 4 {
		go func() { done <- client.Run(context.Background(), b.Server(), newCall("x")) }()
	}
	is.Equal((<-done).Fault, backend.FaultConnectionLimit)
	waitFor(t, "the runs", func() bool { return b.Record().Count() == 3 })
	b.Pause(false)
	for range 3 {
		is.True((<-done).Usable())
	}
	client.Trim(b.Server(), 1)
	is.Equal(client.Connections(b.Server()), 1)
	is.True(client.Run(context.Background(), b.Server(), newCall("x")).Usable())
	is.Equal(client.Stats().Dials, uint64(3))
}

// A request that crashes every server that runs it: its attempt is unknown, the
// call beside it too, and the server comes back as another incarnation.
func TestCrashOnARequest(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{CrashMarker: "poison"})
	b.Pause(true)
	client := newClient(t, backend.Options{})
	beside := newCall("beside")
	done := make(chan backend.CallResult, 1)
	go func() { done <- client.Run(context.Background(), b.Server(), beside) }()
	waitFor(t, "the run", func() bool { return len(b.Record().RunsOf(beside.Request)) == 1 })
	attempt := client.Run(context.Background(), b.Server(), newCall("a poison request"))
	is.Equal(attempt.Outcome, result.OutcomeUnknown)
	is.Equal(attempt.Fault, backend.FaultConnectionLost)
	is.Equal((<-done).Outcome, result.OutcomeUnknown)
	b.Pause(false)
	waitFor(t, "the new life", b.Up)
	attempt = client.Run(context.Background(), b.Server(), newCall("after"))
	is.True(attempt.Usable())
	is.Equal(attempt.Reply.Incarnation, uint64(2))
}

// Many calls, any fault at any moment, from one seed: what was said of each call
// agrees with the server's record. "Not run" has no run, an answer has the one
// right content, and no call ever runs twice.
func TestWhatIsSaidAgreesWithTheRecord(t *testing.T) {
	const calls, callers, seed = 400, 8, 20261202
	is := is.New(t)
	b := startBackend(t, standin.BackendConfig{
		Slots: 4, QueueLimit: 2, CrashMarker: "poison", CrashDown: time.Millisecond, Seed: seed,
		ServiceTime: standin.ServiceTime{Mean: time.Millisecond},
	})
	client := newClient(t, backend.Options{ReadIdleTimeout: 30 * time.Millisecond, ConnectionsPerServer: 6})
	said := make(map[ident.RequestID]backend.CallResult)
	bodies := make(map[ident.RequestID][]byte)
	var mu sync.Mutex
	var work sync.WaitGroup
	for caller := range callers {
		work.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for i := range calls / callers {
				breakSomething(b, random)
				call := newCall(strconv.Itoa(caller) + "/" + strconv.Itoa(i))
				call.Idempotent = random.IntN(2) == 0
				if random.IntN(40) == 0 {
					call.Body = append(call.Body, " poison"...)
				}
				attempt := client.Run(context.Background(), b.Server(), call)
				mu.Lock()
				said[call.Request], bodies[call.Request] = attempt, call.Body
				mu.Unlock()
			}
		})
	}
	work.Wait()
	is.NoErr(b.Close())
	usable := 0
	for request, attempt := range said {
		runs := b.Record().RunsOf(request)
		is.True(len(runs) <= 1)
		if attempt.Outcome.NotRun() {
			is.Equal(len(runs), 0)
		}
		if attempt.Usable() {
			usable++
			is.True(runs[0].Completed)
			is.Equal(string(attempt.Reply.Body), string(standin.ShardBody("slots", 7, 3, bodies[request])))
		}
	}
	is.True(usable > 0)
}

func breakSomething(b *standin.Backend, random *rand.Rand) {
	switch random.IntN(12) {
	case 0:
		b.SetFaults(standin.BackendFaults{TruncatedReplies: 1, ShedNext: 1})
	case 1:
		b.SetFaults(standin.BackendFaults{MisroutedReplies: 2})
	case 2:
		b.SetFaults(standin.BackendFaults{LostReplies: 1})
	case 3:
		b.SetFaults(standin.BackendFaults{CorruptReplies: 1, BareRefusals: 1})
	case 4:
		b.BreakConnections()
	case 5:
		b.BlackholeConnections()
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
