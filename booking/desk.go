package booking

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Defaults of Config.
const (
	defaultMaxRecords     = 16384
	defaultMaxRecordBytes = 8 << 20
	// claimsCached bounds the claims that a host remembers, to answer for
	// their keys without the store.
	claimsCached = 16384
	// recordTimeout bounds the write of an outcome into its claim.
	recordTimeout = 2 * time.Second
	// recordsAtOnce bounds such writes at one time; more are not written.
	recordsAtOnce = 32
)

// Request is one sending of a booking. It has a ticket or an idempotency key.
type Request struct {
	RequestID      ident.RequestID // of this sending
	Ticket         string
	IdempotencyKey string
	Caller         string
	Route          string
	Body           []byte
	Deadline       time.Time
	// Resent is the caller's word that it sent the booking before. A host that
	// can't see what became of the earlier sending then says "unknown" where
	// it would say "not run".
	Resent bool
}

// Runner runs a booking on backend servers, at most one attempt after another
// and none after one whose outcome is unknown. A code of the group "not run"
// is its word that every attempt was. It returns soon after ctx ends.
type Runner func(ctx context.Context, r Request) Result

// Peers is how a Desk reaches the desks of other hosts.
type Peers interface {
	// Issuer returns the address of the peer's listener of that life of the
	// host; false when that life is not known to be there.
	Issuer(host ident.HostID, incarnation ident.Incarnation) (address string, known bool)
	// Successors returns the addresses of the few other hosts that hold what
	// that life handed over when it stopped: the same on every host, as far as
	// their views of the members agree.
	Successors(host ident.HostID, incarnation ident.Incarnation) []string
	// Forward sends the booking to the desk at the address. An error leaves
	// open what became of it.
	Forward(ctx context.Context, address string, r Request) (Result, error)
	// HandOver gives the records of a stopped life to the desk at the address.
	HandOver(ctx context.Context, address string, from Life, records Records) error
	// Recall asks the desk at the address for the record of a ticket.
	Recall(ctx context.Context, address string, from Life, sequence uint64, content Digest) (Result, bool, error)
}

// Config is what a Desk is made of.
type Config struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	Run         Runner
	Peers       Peers
	// Store takes the claims of idempotency keys; nil: keys are refused.
	Store metastore.Store
	// MaxRecords bounds the used tickets remembered; default 16384.
	MaxRecords int
	// MaxRecordBytes bounds the answers kept with them; default 8 MiB.
	MaxRecordBytes int
}

// Executor takes bookings on one entry host, and runs those whose ticket this life
// of the host issued. Its methods are safe for concurrent use.
type Executor struct {
	config  Config
	signer  *signer
	claims  *lru.Cache[string, string] // claim key to ticket
	issued  *lru.Cache[uint64, string] // sequence of own ticket to claim key
	stopped *lru.Cache[Life, Records]  // of stopped lives of hosts
	records chan struct{}
	work    sync.WaitGroup

	mu     sync.Mutex
	ledger *ledger
	ends   map[uint64]*ending // of runs that are on
	stats  Stats
}

// ending carries the outcome of a run to the sendings that wait for it. They
// take it from here, not from the ledger, where the next run may have begun.
type ending struct {
	done    chan struct{} // closed once outcome is set
	outcome Result
}

// Stats counts since the start.
type Stats struct {
	Issued    uint64 // tickets
	Runs      uint64 // runs begun
	Repeated  uint64 // sendings answered from the record
	Joined    uint64 // sendings that waited for a run that was on
	Forwarded uint64 // sendings sent on to the issuer
	Unknown   uint64 // answers of the group unknown
	Records   int    // used tickets remembered now
	Running   int    // runs that are on now
	Floor     uint64 // tickets at or below it are forgotten
}

// NewExecutor makes the desk of one life of a host.
func NewExecutor(config Config) *Executor {
	if config.MaxRecords == 0 {
		config.MaxRecords = defaultMaxRecords
	}
	if config.MaxRecordBytes == 0 {
		config.MaxRecordBytes = defaultMaxRecordBytes
	}
	return &Executor{
		config:  config,
		signer:  newSigner(),
		claims:  newCache[string, string](claimsCached),
		issued:  newCache[uint64, string](claimsCached),
		stopped: newCache[Life, Records](stoppedLivesKept),
		records: make(chan struct{}, recordsAtOnce),
		ledger:  newLedger(config.MaxRecords, config.MaxRecordBytes),
		ends:    make(map[uint64]*ending),
	}
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	cache, err := lru.New[K, V](size)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return cache
}

// Stats returns the counts so far.
func (d *Executor) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	stats := d.stats
	stats.Issued = d.ledger.issued
	stats.Records = len(d.ledger.entries)
	stats.Running = len(d.ends)
	stats.Floor = d.ledger.floor
	return stats
}

// Issue makes a ticket for one booking of the caller on the route. It takes no
// memory and writes nothing.
func (d *Executor) Issue(caller, route string) string {
	d.mu.Lock()
	sequence := d.ledger.issue()
	d.mu.Unlock()
	t := ticket{host: d.config.Host, incarnation: d.config.Incarnation, sequence: sequence}
	t.mac = d.signer.sign(t, caller, route)
	return t.text()
}

// Book runs the booking, or answers with what became of it, at the latest when
// ctx ends or the request's deadline passes. A run that began goes on when the
// caller goes away, so that a later sending finds its outcome.
func (d *Executor) Book(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	outcome := d.book(ctx, r)
	if outcome.Code.Group() == result.GroupUnknown {
		d.count(&d.stats.Unknown)
	}
	return outcome
}

func (d *Executor) book(ctx context.Context, r Request) Result {
	switch {
	case r.Ticket != "" && r.IdempotencyKey != "":
		return Result{Code: result.BadRequest, Detail: "a booking has a ticket or an idempotency key, not both"}
	case r.Ticket != "":
		return d.bookTicket(ctx, r)
	case r.IdempotencyKey != "":
		return d.bookKey(ctx, r)
	default:
		return Result{Code: result.BadRequest, Detail: "a booking needs a ticket or an idempotency key"}
	}
}

// bookTicket runs a ticket of this life here and sends others to their issuer.
func (d *Executor) bookTicket(ctx context.Context, r Request) Result {
	t, err := parseTicket(r.Ticket)
	if err != nil {
		return Result{Code: result.TicketInvalid, Detail: err.Error()}
	}
	if d.issuedHere(t) {
		return d.bookHere(ctx, t, r)
	}
	return d.forward(ctx, t, r)
}

func (d *Executor) issuedHere(t ticket) bool {
	return t.host == d.config.Host && t.incarnation == d.config.Incarnation
}

// forward sends the booking to its issuer. Nothing that goes wrong on the way
// is "not run": the issuer may have run an earlier sending, or this one.
func (d *Executor) forward(ctx context.Context, t ticket, r Request) Result {
	outcome := Result{Code: result.IssuerGone, Detail: "the entry host that issued the ticket is gone"}
	if address, known := d.config.Peers.Issuer(t.host, t.incarnation); known {
		outcome = d.forwardTo(ctx, address, r)
	}
	if outcome.Code != result.IssuerGone && outcome.Code != result.OutcomeNotKnown {
		return outcome
	}
	// After a planned stop others know more, also while the view still shows
	// the host: its records exist only if it stopped for good.
	if recalled, ok := d.recall(ctx, t, r); ok {
		return recalled
	}
	return outcome
}

func (d *Executor) forwardTo(ctx context.Context, address string, r Request) Result {
	d.count(&d.stats.Forwarded)
	outcome, err := d.config.Peers.Forward(ctx, address, r)
	if err != nil {
		return Result{
			Code:   result.OutcomeNotKnown,
			Detail: "the entry host that issued the ticket gave no answer; ask again with the same ticket",
		}
	}
	return outcome
}

// Forwarded takes a booking that another host sent on. It is never sent on
// again, so no two hosts can pass one to and fro.
func (d *Executor) Forwarded(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	t, err := parseTicket(r.Ticket)
	if err != nil {
		return Result{Code: result.TicketInvalid, Detail: err.Error()}
	}
	if !d.issuedHere(t) {
		// Another life at the same address: it knows nothing of the ticket.
		return Result{Code: result.IssuerGone, Detail: "the entry host that issued the ticket was restarted"}
	}
	return d.bookHere(ctx, t, r)
}

func (d *Executor) bookHere(ctx context.Context, t ticket, r Request) Result {
	if !d.signer.valid(t, r.Caller, r.Route) {
		return Result{Code: result.TicketInvalid, Detail: "the ticket is not for this caller and route"}
	}
	d.mu.Lock()
	next := d.ledger.begin(t.sequence, r.RequestID, contentOf(r.Caller, r.Route, r.Body))
	end := d.prepare(next.action, t.sequence)
	d.mu.Unlock()
	switch next.action {
	case actionRun:
		go d.run(context.WithoutCancel(ctx), t.sequence, end, r)
		return end.await(ctx)
	case actionWait:
		return end.await(ctx)
	default:
		return next.result
	}
}

// prepare counts the step and returns the ending of the run that is on; the
// lock is held.
func (d *Executor) prepare(next action, sequence uint64) *ending {
	switch next {
	case actionRun:
		d.stats.Runs++
		d.work.Add(1)
		d.ends[sequence] = &ending{done: make(chan struct{})}
	case actionWait:
		d.stats.Joined++
	case actionRecord:
		d.stats.Repeated++
	}
	return d.ends[sequence]
}

// await answers with the outcome of the run, or that it is still on.
func (e *ending) await(ctx context.Context) Result {
	select {
	case <-e.done:
		return e.outcome
	case <-ctx.Done():
		return Result{Code: result.BookingInProgress, Detail: "the booking is still running; ask again with the same ticket or key"}
	}
}

// run is the one run of the ticket. It does not end with the caller's
// connection: what began is let finish and recorded.
func (d *Executor) run(ctx context.Context, sequence uint64, end *ending, r Request) {
	defer d.work.Done()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	end.outcome = d.runGuarded(ctx, r)
	d.mu.Lock()
	d.ledger.finish(sequence, end.outcome)
	delete(d.ends, sequence)
	d.mu.Unlock()
	close(end.done)
	d.recordInClaim(sequence, r, end.outcome)
}

// runGuarded makes a panic of the runner an unknown outcome: left without a
// finish, the ticket would answer "in progress" for good.
func (d *Executor) runGuarded(ctx context.Context, r Request) (outcome Result) {
	defer func() {
		if recover() != nil {
			outcome = Result{Code: result.OutcomeNotKnown, Detail: "the run ended abnormally"}
		}
	}()
	return d.config.Run(ctx, r)
}

// Stop starts no booking any more, waits for those that run, at the longest
// until ctx ends, and reports whether all have ended.
func (d *Executor) Stop(ctx context.Context) bool {
	d.mu.Lock()
	d.ledger.stopping = true
	d.mu.Unlock()
	done := make(chan struct{})
	go func() {
		d.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *Executor) count(counter *uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*counter++
}
