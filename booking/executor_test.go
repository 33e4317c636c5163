package booking

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

var errLink = errors.New("the link between the hosts is down")

// fleet connects the executors of several hosts by function calls.
type fleet struct {
	store     *standin.Platform
	executors map[string]*Executor // by address, which is the host's name

	mu            sync.Mutex
	runs          map[string]int // by body
	blocked       bool           // forwards fail before they arrive
	loseNextReply bool           // the reply to the next forward is lost
	paused        chan struct{}  // if not nil, runs wait until it is closed
	code          result.Code    // of the next runs
}

func newFleet(hosts ...string) *fleet {
	f := &fleet{
		store:     standin.NewPlatform(),
		executors: make(map[string]*Executor),
		runs:      make(map[string]int),
		code:      result.Complete,
	}
	for _, host := range hosts {
		f.start(host, 1)
	}
	return f
}

// start replaces the host's executor by one of another incarnation.
func (f *fleet) start(host string, incarnation ident.Incarnation) {
	f.executors[host] = NewExecutor(Config{
		Host: ident.HostID(host), Incarnation: incarnation,
		Run: f.run, Peers: f, Store: f.store,
	})
}

func (f *fleet) run(_ context.Context, r Request) Result {
	f.mu.Lock()
	f.runs[string(r.Body)]++
	count, paused, code := f.runs[string(r.Body)], f.paused, f.code
	f.mu.Unlock()
	if paused != nil {
		<-paused
	}
	if code != result.Complete {
		return Result{Code: code}
	}
	return Result{Code: code, Answer: []byte("run " + strconv.Itoa(count))}
}

// Issuer implements Peers.
func (f *fleet) Issuer(host ident.HostID, incarnation ident.Incarnation) (string, bool) {
	executor, ok := f.executors[string(host)]
	return string(host), ok && executor.config.Incarnation == incarnation
}

// Forward implements Peers.
func (f *fleet) Forward(ctx context.Context, address string, r Request) (Result, error) {
	f.mu.Lock()
	blocked, lose := f.blocked, f.loseNextReply
	f.loseNextReply = false
	f.mu.Unlock()
	if blocked {
		return Result{}, errLink
	}
	outcome := f.executors[address].Forwarded(ctx, r)
	if lose {
		return Result{}, errLink
	}
	return outcome, nil
}

// Successors implements Peers by all other hosts.
func (f *fleet) Successors(host ident.HostID, _ ident.Incarnation) []string {
	var others []string
	for name := range f.executors {
		if name != string(host) {
			others = append(others, name)
		}
	}
	return others
}

// HandOver implements Peers.
func (f *fleet) HandOver(_ context.Context, address string, from HostIncarnation, records Records) error {
	f.executors[address].acceptRecords(from, records)
	return nil
}

// Recall implements Peers.
func (f *fleet) Recall(_ context.Context, address string, from HostIncarnation, sequence uint64, content Digest) (Result, bool, error) {
	outcome, ok := f.executors[address].recallLocally(from, sequence, content)
	return outcome, ok, nil
}

func (f *fleet) book(host string, r Request) Result {
	r.RequestID = ident.NewRequestID()
	r.Caller, r.Route = "desk", "book-slot"
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(time.Second)
	}
	return f.executors[host].Book(context.Background(), r)
}

func (f *fleet) ticket(host string) string { return f.executors[host].Issue("desk", "book-slot") }

// Concurrent requests with one ticket at two hosts must run once and get the
// same answer.
func TestConcurrentDuplicatesAtTwoHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "b")
		f.paused = make(chan struct{})
		ticket := f.ticket("a")
		outcomes := make(chan Result, 2)
		for _, host := range []string{"a", "b"} {
			go func() { outcomes <- f.book(host, Request{Ticket: ticket, Body: []byte("slot")}) }()
		}
		synctest.Wait()
		close(f.paused)
		first, second := <-outcomes, <-outcomes
		is.Equal(first, second)
		is.Equal(string(first.Answer), "run 1")
		is.Equal(f.runs["slot"], 1)
		is.Equal(f.executors["a"].Stats().Joined, uint64(1))
	})
}

// A retry after the reply to a forwarded booking was lost must return the answer
// of the first run.
func TestRetryAfterLostReply(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	ticket := f.ticket("a")
	f.loseNextReply = true
	is.Equal(f.book("b", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.OutcomeNotKnown)
	is.Equal(string(f.book("b", Request{Ticket: ticket, Body: []byte("slot")}).Answer), "run 1")
	is.Equal(string(f.book("a", Request{Ticket: ticket, Body: []byte("slot")}).Answer), "run 1")
	is.Equal(f.runs["slot"], 1)
}

// A restarted issuer has no record of its earlier tickets, so every host must
// report an unknown outcome and none may run the booking again.
func TestIssuerRestarted(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	ticket := f.ticket("a")
	is.Equal(f.book("a", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.Complete)
	f.start("a", 2)
	for _, host := range []string{"a", "b"} {
		is.Equal(f.book(host, Request{Ticket: ticket, Body: []byte("slot")}).Code, result.IssuerGone)
	}
	is.Equal(f.executors["a"].Forwarded(context.Background(), Request{
		Ticket: ticket, Caller: "desk", Route: "book-slot", Body: []byte("slot"), Deadline: time.Now().Add(time.Second),
	}).Code, result.IssuerGone) // a forward in flight during the restart
	is.Equal(f.runs["slot"], 1)
}

// While the issuer's run stalls, no other host may run the booking, and after it
// every host must return the outcome.
func TestStalledIssuer(t *testing.T) {
	for _, pause := range []time.Duration{10 * time.Second, time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet("a", "b")
				f.paused = make(chan struct{})
				time.AfterFunc(pause, func() { close(f.paused) })
				ticket := f.ticket("a")
				is.Equal(f.book("a", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.BookingInProgress)
				is.Equal(f.book("b", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.BookingInProgress)
				time.Sleep(pause)
				is.Equal(string(f.book("b", Request{Ticket: ticket, Body: []byte("slot")}).Answer), "run 1")
				is.Equal(f.runs["slot"], 1)
			})
		})
	}
}

// With the store down, tickets still work. A new idempotency key is refused as
// "not run", but a resent one as unknown, since an earlier request may have run.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	is.Equal(f.book("a", Request{IdempotencyKey: "k1", Body: []byte("early")}).Code, result.Complete)
	f.store.SetFaults(standin.PlatformFaults{Down: true})
	is.Equal(f.book("b", Request{Ticket: f.ticket("a"), Body: []byte("slot")}).Code, result.Complete)
	refused := f.book("b", Request{IdempotencyKey: "k2", Body: []byte("other")})
	is.Equal(refused.Code, result.StoreUnavailable)
	is.Equal(f.runs["other"], 0)
	is.Equal(f.book("b", Request{IdempotencyKey: "k1", Body: []byte("early"), Resent: true}).Code, result.OutcomeNotKnown)
	is.Equal(string(f.book("a", Request{IdempotencyKey: "k1", Body: []byte("early")}).Answer), "run 1") // from memory
	is.Equal(f.runs["early"], 1)
}

// A lost claim, or a lost reply to a claim that took effect, must be resolved by
// reading the claim, and the booking must run once.
func TestAmbiguousClaim(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{
		"reply lost": {LoseReplies: 1},
		"write lost": {LoseWrites: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet("a", "b")
			f.store.SetFaults(faults)
			is.Equal(string(f.book("a", Request{IdempotencyKey: "k", Body: []byte("slot")}).Answer), "run 1")
			is.Equal(string(f.book("b", Request{IdempotencyKey: "k", Body: []byte("slot")}).Answer), "run 1")
			is.Equal(f.runs["slot"], 1)
		})
	}
}

// While stale reads hide whether a claim took effect, the booking must neither
// run nor be answered "not run".
func TestAmbiguousClaimWithStaleReads(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	f.store.SetFaults(standin.PlatformFaults{LoseReplies: 1, ReadLag: time.Hour})
	is.Equal(f.book("a", Request{IdempotencyKey: "k", Body: []byte("slot")}).Code, result.OutcomeNotKnown)
	is.Equal(f.runs["slot"], 0)
	f.store.SetFaults(standin.PlatformFaults{})
	is.Equal(f.book("b", Request{IdempotencyKey: "k", Body: []byte("slot")}).Code, result.Complete) // run by host a, which has the claim
	is.Equal(f.runs["slot"], 1)
	is.Equal(f.executors["b"].Stats().Runs, uint64(0))
}

// After the issuer was restarted, the outcome must still be found in the claim.
func TestOutcomeInClaimSurvivesIssuerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "b")
		is.Equal(f.book("a", Request{IdempotencyKey: "k", Body: []byte("slot")}).Code, result.Complete)
		synctest.Wait()
		f.start("a", 2)
		is.Equal(string(f.book("b", Request{IdempotencyKey: "k", Body: []byte("slot")}).Answer), "run 1")
		is.Equal(f.book("b", Request{IdempotencyKey: "k", Body: []byte("other")}).Code, result.TicketInvalid)
		is.Equal(f.runs["slot"], 1)
		is.Equal(f.runs["other"], 0)
	})
}

// A ticket may run again after all backend servers refused the booking, but not
// after an unknown outcome.
func TestOnlyNotRunIsRetried(t *testing.T) {
	is := is.New(t)
	f := newFleet("a")
	ticket := f.ticket("a")
	f.code = result.BackendsRefused
	is.Equal(f.book("a", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.BackendsRefused)
	f.code = result.OutcomeNotKnown
	is.Equal(f.book("a", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.OutcomeNotKnown)
	f.code = result.Complete
	is.Equal(f.book("a", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.OutcomeNotKnown)
	is.Equal(f.runs["slot"], 2)
}

// A ticket must not be valid for another caller, route or body.
func TestTicketIsBoundToRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	ticket := f.ticket("a")
	r := Request{Ticket: ticket, Caller: "other", Route: "book-slot", Deadline: time.Now().Add(time.Second)}
	is.Equal(f.executors["b"].Book(context.Background(), r).Code, result.TicketInvalid)
	r.Caller, r.Route = "desk", "other"
	is.Equal(f.executors["b"].Book(context.Background(), r).Code, result.TicketInvalid)
	is.Equal(f.book("a", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.Complete)
	is.Equal(f.book("a", Request{Ticket: ticket, Body: []byte("another slot")}).Code, result.TicketInvalid)
	is.Equal(f.book("a", Request{Ticket: ticket[:20], Body: []byte("x")}).Code, result.TicketInvalid)
	is.Equal(f.book("a", Request{Body: []byte("x")}).Code, result.BadRequest)
	is.Equal(len(f.runs), 1)
}

// A stopping host must finish running bookings and refuse unused tickets as
// "not run".
func TestStopFinishesRunningBookings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a")
		f.paused = make(chan struct{})
		running, unused := f.ticket("a"), f.ticket("a")
		outcome := make(chan Result, 1)
		go func() { outcome <- f.book("a", Request{Ticket: running, Body: []byte("slot")}) }()
		synctest.Wait()
		time.AfterFunc(100*time.Millisecond, func() { close(f.paused) })
		is.True(f.executors["a"].Stop(context.Background()))
		is.Equal((<-outcome).Code, result.Complete)
		is.Equal(f.book("a", Request{Ticket: unused, Body: []byte("late")}).Code, result.Draining)
		is.Equal(f.book("a", Request{Ticket: running, Body: []byte("slot")}).Code, result.Complete)
		is.Equal(f.runs["late"], 0)
	})
}

// Tickets below the floor must be answered as unknown, used or not, and the
// number of records must stay bounded.
func TestEvictedTicketsNeverRun(t *testing.T) {
	is := is.New(t)
	f := newFleet("a")
	f.executors["a"] = NewExecutor(Config{Host: "a", Incarnation: 1, Run: f.run, Peers: f, MaxRecords: 4})
	unused, first := f.ticket("a"), f.ticket("a")
	is.Equal(f.book("a", Request{Ticket: first, Body: []byte("first")}).Code, result.Complete)
	for i := range 20 {
		is.Equal(f.book("a", Request{Ticket: f.ticket("a"), Body: []byte{byte(i)}}).Code, result.Complete)
	}
	is.Equal(f.book("a", Request{Ticket: first, Body: []byte("first")}).Code, result.OutcomeNotKnown)
	is.Equal(f.book("a", Request{Ticket: unused, Body: []byte("unused")}).Code, result.OutcomeNotKnown)
	is.Equal(f.runs["first"], 1)
	is.Equal(f.runs["unused"], 0)
	is.Equal(f.executors["a"].Stats().Records, 4)
}

// A booking with a ticket must not call the store. One with a key calls it for
// the claim and for recording the outcome.
func TestStoreCallsOfABooking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a", "b")
		f.book("a", Request{Ticket: f.ticket("b"), Body: []byte("ticket")})
		is.Equal(f.store.Calls(), standin.PlatformCalls{})
		f.book("a", Request{IdempotencyKey: "k", Body: []byte("key")})
		synctest.Wait()
		is.Equal(f.store.Calls(), standin.PlatformCalls{Put: 2, Get: 1})
		f.book("a", Request{IdempotencyKey: "k", Body: []byte("key")})
		is.Equal(f.store.Calls(), standin.PlatformCalls{Put: 2, Get: 1}) // from memory
		f.book("b", Request{IdempotencyKey: "k", Body: []byte("key")})
		is.Equal(f.store.Calls(), standin.PlatformCalls{Put: 3, Get: 2})
	})
}
