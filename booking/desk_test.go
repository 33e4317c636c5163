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

// fleet is a few desks in one process that forward to each other by call.
type fleet struct {
	store *standin.Platform
	desks map[string]*Executor // by address, which is the host's name

	mu       sync.Mutex
	runs     map[string]int // by body
	cut      bool           // no forward arrives
	loseNext bool           // the next forward's reply is lost
	paused   chan struct{}  // runs wait for it while it is not nil
	code     result.Code    // of the next runs
}

func newFleet(hosts ...string) *fleet {
	f := &fleet{
		store: standin.NewPlatform(),
		desks: make(map[string]*Executor),
		runs:  make(map[string]int),
		code:  result.Complete,
	}
	for _, host := range hosts {
		f.start(host, 1)
	}
	return f
}

// start begins a life of a host, in place of the one before.
func (f *fleet) start(host string, life ident.Incarnation) {
	f.desks[host] = NewExecutor(Config{
		Host: ident.HostID(host), Incarnation: life,
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
func (f *fleet) Issuer(host ident.HostID, life ident.Incarnation) (string, bool) {
	desk, ok := f.desks[string(host)]
	return string(host), ok && desk.config.Incarnation == life
}

// Forward implements Peers.
func (f *fleet) Forward(ctx context.Context, address string, r Request) (Result, error) {
	f.mu.Lock()
	cut, lose := f.cut, f.loseNext
	f.loseNext = false
	f.mu.Unlock()
	if cut {
		return Result{}, errLink
	}
	outcome := f.desks[address].Forwarded(ctx, r)
	if lose {
		return Result{}, errLink
	}
	return outcome, nil
}

// Successors implements Peers: every other host.
func (f *fleet) Successors(host ident.HostID, _ ident.Incarnation) []string {
	var others []string
	for name := range f.desks {
		if name != string(host) {
			others = append(others, name)
		}
	}
	return others
}

// HandOver implements Peers.
func (f *fleet) HandOver(_ context.Context, address string, from Life, records Records) error {
	f.desks[address].takeOver(from, records)
	return nil
}

// Recall implements Peers.
func (f *fleet) Recall(_ context.Context, address string, from Life, sequence uint64, content Digest) (Result, bool, error) {
	outcome, ok := f.desks[address].recallHere(from, sequence, content)
	return outcome, ok, nil
}

func (f *fleet) book(host string, r Request) Result {
	r.RequestID = ident.NewRequestID()
	r.Caller, r.Route = "desk", "book-slot"
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(time.Second)
	}
	return f.desks[host].Book(context.Background(), r)
}

func (f *fleet) ticket(host string) string { return f.desks[host].Issue("desk", "book-slot") }

// An advertiser's slot is booked once though the caller's library sent the
// booking to two hosts at the same moment, and both sendings get one answer.
func TestDuplicatesAtTwoHostsAtOnce(t *testing.T) {
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
		is.Equal(f.desks["a"].Stats().Joined, uint64(1))
	})
}

// The caller sees "unknown" because the reply of the forwarding host was lost;
// it sends the ticket again and gets the answer of the run there was.
func TestLostReplyThenRepeat(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	ticket := f.ticket("a")
	f.loseNext = true
	is.Equal(f.book("b", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.OutcomeNotKnown)
	is.Equal(string(f.book("b", Request{Ticket: ticket, Body: []byte("slot")}).Answer), "run 1")
	is.Equal(string(f.book("a", Request{Ticket: ticket, Body: []byte("slot")}).Answer), "run 1")
	is.Equal(f.runs["slot"], 1)
}

// The issuer crashes after the run and comes back at its address. Its new life
// knows nothing of the ticket, so the caller hears "unknown", from every host,
// and the slot is not booked a second time.
func TestIssuerCrashed(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	ticket := f.ticket("a")
	is.Equal(f.book("a", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.Complete)
	f.start("a", 2)
	for _, host := range []string{"a", "b"} {
		is.Equal(f.book(host, Request{Ticket: ticket, Body: []byte("slot")}).Code, result.IssuerGone)
	}
	is.Equal(f.desks["a"].Forwarded(context.Background(), Request{
		Ticket: ticket, Caller: "desk", Route: "book-slot", Body: []byte("slot"), Deadline: time.Now().Add(time.Second),
	}).Code, result.IssuerGone) // a forward that was under way
	is.Equal(f.runs["slot"], 1)
}

// The host that runs a booking stands still, for 10 and for 60 seconds. The
// caller gives up and sends again to another host: it hears that the booking
// is on, and after the pause gets its outcome. A lease would have lapsed, and
// another host have run it.
func TestPausedHolder(t *testing.T) {
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

// With the store down, bookings with a ticket go on. A new idempotency key is
// refused as not run; the caller's word that it sent the booking before makes
// that "unknown", since the host can't see the earlier sending.
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

// The claim of a key takes effect and its reply is lost, or it is lost itself.
// Reading back finds the claimer in both cases, and the booking runs once.
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

// A claim's reply is lost and reads lag: the host can't tell whether the key
// is claimed. It must not run, and must not say "not run" of the key.
func TestAmbiguousClaimWithStaleReads(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	f.store.SetFaults(standin.PlatformFaults{LoseReplies: 1, ReadLag: time.Hour})
	is.Equal(f.book("a", Request{IdempotencyKey: "k", Body: []byte("slot")}).Code, result.OutcomeNotKnown)
	is.Equal(f.runs["slot"], 0)
	f.store.SetFaults(standin.PlatformFaults{})
	is.Equal(f.book("b", Request{IdempotencyKey: "k", Body: []byte("slot")}).Code, result.Complete) // a runs it, under its claim
	is.Equal(f.runs["slot"], 1)
	is.Equal(f.desks["b"].Stats().Runs, uint64(0))
}

// The key's claimer ran the booking, wrote the outcome into the claim and was
// replaced. A repeat at another host still gets the outcome, from the store.
func TestOutcomeInClaimOutlivesTheClaimer(t *testing.T) {
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

// Every backend server refused before it ran the booking: the ticket may be
// tried again. After an outcome that is not known it may not.
func TestOnlyNotRunIsTriedAgain(t *testing.T) {
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

func TestTicketIsBound(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	ticket := f.ticket("a")
	r := Request{Ticket: ticket, Caller: "other", Route: "book-slot", Deadline: time.Now().Add(time.Second)}
	is.Equal(f.desks["b"].Book(context.Background(), r).Code, result.TicketInvalid)
	r.Caller, r.Route = "desk", "other"
	is.Equal(f.desks["b"].Book(context.Background(), r).Code, result.TicketInvalid)
	is.Equal(f.book("a", Request{Ticket: ticket, Body: []byte("slot")}).Code, result.Complete)
	is.Equal(f.book("a", Request{Ticket: ticket, Body: []byte("another slot")}).Code, result.TicketInvalid)
	is.Equal(f.book("a", Request{Ticket: ticket[:20], Body: []byte("x")}).Code, result.TicketInvalid)
	is.Equal(f.book("a", Request{Body: []byte("x")}).Code, result.BadRequest)
	is.Equal(len(f.runs), 1)
}

// A host that stops finishes the booking in flight, answers its waiting
// sendings, and refuses unused tickets as not run, for good.
func TestStopFinishesWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a")
		f.paused = make(chan struct{})
		running, unused := f.ticket("a"), f.ticket("a")
		outcome := make(chan Result, 1)
		go func() { outcome <- f.book("a", Request{Ticket: running, Body: []byte("slot")}) }()
		synctest.Wait()
		time.AfterFunc(100*time.Millisecond, func() { close(f.paused) })
		is.True(f.desks["a"].Stop(context.Background()))
		is.Equal((<-outcome).Code, result.Complete)
		is.Equal(f.book("a", Request{Ticket: unused, Body: []byte("late")}).Code, result.Draining)
		is.Equal(f.book("a", Request{Ticket: running, Body: []byte("slot")}).Code, result.Complete)
		is.Equal(f.runs["late"], 0)
	})
}

// Forgotten tickets are refused as unknown, whether they were used or not, and
// memory stays bounded.
func TestForgottenTicketsNeverRun(t *testing.T) {
	is := is.New(t)
	f := newFleet("a")
	f.desks["a"] = NewExecutor(Config{Host: "a", Incarnation: 1, Run: f.run, Peers: f, MaxRecords: 4})
	unused, first := f.ticket("a"), f.ticket("a")
	is.Equal(f.book("a", Request{Ticket: first, Body: []byte("first")}).Code, result.Complete)
	for i := range 20 {
		is.Equal(f.book("a", Request{Ticket: f.ticket("a"), Body: []byte{byte(i)}}).Code, result.Complete)
	}
	is.Equal(f.book("a", Request{Ticket: first, Body: []byte("first")}).Code, result.OutcomeNotKnown)
	is.Equal(f.book("a", Request{Ticket: unused, Body: []byte("unused")}).Code, result.OutcomeNotKnown)
	is.Equal(f.runs["first"], 1)
	is.Equal(f.runs["unused"], 0)
	is.Equal(f.desks["a"].Stats().Records, 4)
}

// What a booking costs the platform: nothing with a ticket; with a key, the
// claim, and the outcome's read and write.
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
