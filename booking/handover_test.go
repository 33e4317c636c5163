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

// The caller's first sending was answered and the answer lost; the host that
// ran it was replaced in a rolling restart. The repeat, at any other host, gets
// the outcome; a ticket that was never used is "not run"; both stay so.
func TestPlannedStopHandsItsRecordsOver(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c")
	used, unused, refused := f.ticket("a"), f.ticket("a"), f.ticket("a")
	is.Equal(f.book("a", Request{Ticket: used, Body: []byte("slot")}).Code, result.Complete)
	f.code = result.BackendsRefused
	is.Equal(f.book("a", Request{Ticket: refused, Body: []byte("later")}).Code, result.BackendsRefused)
	is.Equal(f.desks["a"].HandOver(context.Background()), 0) // it may still run tickets
	is.True(f.desks["a"].Stop(context.Background()))
	is.Equal(f.desks["a"].HandOver(context.Background()), 2)
	f.cut = true // the host is down, and still in the view
	is.Equal(string(f.book("b", Request{Ticket: used, Body: []byte("slot")}).Answer), "run 1")
	f.cut = false
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

// The stop's limit passes while a booking still runs. It is handed over as
// unknown, and stays unknown though it completes a moment later.
func TestRunCutOffByTheStopIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "b")
		f.paused = make(chan struct{})
		ticket := f.ticket("a")
		go f.book("a", Request{Ticket: ticket, Body: []byte("slot")})
		synctest.Wait()
		limit, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(!f.desks["a"].Stop(limit))
		is.Equal(f.desks["a"].HandOver(context.Background()), 1)
		close(f.paused)
		synctest.Wait()
		delete(f.desks, "a")
		is.Equal(f.book("b", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.OutcomeNotKnown)
	})
}

// What finds no room in the message is forgotten by the floor: it reads as
// unknown, never as "not run".
func TestHandOverIsBounded(t *testing.T) {
	is := is.New(t)
	l := newLedger(8, 1<<20)
	for i := range 4 {
		sequence := l.issue()
		is.Equal(l.begin(sequence, ident.RequestID{byte(i)}, Digest{1}).action, actionRun)
		l.finish(sequence, Result{Code: result.Complete, Answer: make([]byte, 100)})
	}
	l.stopping = true
	records, ok := l.handOver(2 * (100 + recordOverhead))
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
	addresses["b"] = serveDesk(t, b)
	r := Request{
		RequestID: ident.NewRequestID(), Ticket: a.Issue("desk", "book-slot"),
		Caller: "desk", Route: "book-slot", Body: []byte("slot"), Deadline: time.Now().Add(time.Minute),
	}
	want := a.Book(context.Background(), r)
	is.Equal(want.Code, result.Complete)
	is.True(a.Stop(context.Background()))
	is.Equal(a.HandOver(context.Background()), 1)
	for _, desk := range []*Executor{b, c} {
		is.Equal(desk.Book(context.Background(), r), want)
	}
	r.Ticket = c.Issue("desk", "book-slot") // of a host that nobody knows
	is.Equal(b.Book(context.Background(), r).Code, result.IssuerGone)
}
