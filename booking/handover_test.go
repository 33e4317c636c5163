package booking

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// After a planned stop of the issuer, every host must return the outcome of used
// tickets and refuse unused ones as "not run".
func TestPlannedStopHandsRecordsOver(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c")
	used, unused, refused := f.ticket("a"), f.ticket("a"), f.ticket("a")
	is.Equal(f.book("a", Request{Ticket: used, Body: []byte("slot")}).Code, result.Complete)
	f.code = result.BackendsRefused
	is.Equal(f.book("a", Request{Ticket: refused, Body: []byte("later")}).Code, result.BackendsRefused)
	is.Equal(f.executors["a"].HandOver(context.Background()), 0) // not stopped yet
	is.True(f.executors["a"].Stop(context.Background()))
	is.Equal(f.executors["a"].HandOver(context.Background()), 2)
	f.blocked = true // host a is down, but still listed
	is.Equal(string(f.book("b", Request{Ticket: used, Body: []byte("slot")}).Answer), "run 1")
	f.blocked = false
	f.start("a", 2)
	for _, host := range []string{"a", "b", "c"} {
		is.Equal(string(f.book(host, Request{Ticket: used, Body: []byte("slot")}).Answer), "run 1")
		is.Equal(f.book(host, Request{Ticket: used, Body: []byte("another slot")}).Code, result.TicketInvalid)
		is.Equal(f.book(host, Request{Ticket: unused, Body: []byte("late")}).Code, result.TicketInvalid)
		is.Equal(f.book(host, Request{Ticket: refused, Body: []byte("later")}).Code, result.TicketInvalid)
	}
	is.Equal(f.runs["slot"], 1)
	is.Equal(f.runs["late"], 0)
}

// A run that is unfinished at the end of Stop must be handed over as unknown and
// stay so, even if it completes later.
func TestRunUnfinishedAtStopIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "b")
		f.paused = make(chan struct{})
		ticket := f.ticket("a")
		go f.book("a", Request{Ticket: ticket, Body: []byte("slot")})
		synctest.Wait()
		limit, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(!f.executors["a"].Stop(limit))
		is.Equal(f.executors["a"].HandOver(context.Background()), 1)
		close(f.paused)
		synctest.Wait()
		delete(f.executors, "a")
		is.Equal(f.book("b", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.OutcomeNotKnown)
	})
}

// Records that exceed the size limit of a handover must be answered as unknown,
// never as "not run".
func TestHandOverSizeLimit(t *testing.T) {
	is := is.New(t)
	table := newTicketTable(8, 1<<20)
	for i := range 4 {
		sequence := table.issue()
		is.Equal(table.begin(sequence, ident.RequestID{byte(i)}, Digest{1}).action, actionRun)
		table.finish(sequence, Result{Code: result.Complete, Answer: make([]byte, 100)})
	}
	table.stopping = true
	records, ok := table.handOver(2 * (100 + recordOverhead))
	is.True(ok)
	is.Equal(len(records.records), 2)
	is.Equal(records.recall(2, Digest{1}).Code, result.OutcomeNotKnown)
	is.Equal(records.recall(3, Digest{1}).Code, result.Complete)
}

func TestHandOverAndRecallOverDRPC(t *testing.T) {
	is := is.New(t)
	pool := peer.NewPool(nil)
	defer pool.Close()
	addresses := make(map[ident.HostID]string)
	links := DRPCPeers{
		Dial: func(ctx context.Context, address string) (drpc.Conn, error) { return pool.Dial(ctx, address) },
		FindIssuer: func(host ident.HostID, _ ident.Incarnation) (string, bool) {
			address, ok := addresses[host]
			return address, ok
		},
		ServingPeers: func() []string { return []string{addresses["b"]} },
	}
	run := func(_ context.Context, r Request) Result { return Result{Code: result.Complete, Answer: r.Body} }
	a := NewExecutor(Config{Host: "a", Incarnation: 1, Run: run, Peers: links})
	b := NewExecutor(Config{Host: "b", Incarnation: 1, Run: run, Peers: links})
	c := NewExecutor(Config{Host: "c", Incarnation: 1, Run: run, Peers: links})
	addresses["b"] = serveExecutor(t, b)
	r := Request{
		RequestID: ident.NewRequestID(), Ticket: a.Issue("desk", "book-slot"),
		Caller: "desk", Route: "book-slot", Body: []byte("slot"), Deadline: time.Now().Add(time.Minute),
	}
	want := a.Book(context.Background(), r)
	is.Equal(want.Code, result.Complete)
	is.True(a.Stop(context.Background()))
	is.Equal(a.HandOver(context.Background()), 1)
	for _, executor := range []*Executor{b, c} {
		is.Equal(executor.Book(context.Background(), r), want)
	}
	r.Ticket = c.Issue("desk", "book-slot") // of a host without an address
	is.Equal(b.Book(context.Background(), r).Code, result.IssuerGone)
}
