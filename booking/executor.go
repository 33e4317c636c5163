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

const (
	defaultMaxRecords     = 16384
	defaultMaxRecordBytes = 8 << 20
	// claimCacheSize is how many claims a host caches, to save reads of the
	// store.
	claimCacheSize = 16384
	// claimWriteTimeout bounds the write of an outcome to its claim.
	claimWriteTimeout = 2 * time.Second
	// maxConcurrentClaimWrites bounds these writes; beyond it outcomes are not
	// written.
	maxConcurrentClaimWrites = 32
)

// Request is one request for a booking. The caller may send several for the
// same booking, with the same ticket or idempotency key.
type Request struct {
	RequestID      ident.RequestID
	Ticket         string
	IdempotencyKey string
	Caller         string
	Route          string
	Body           []byte
	Deadline       time.Time
	// Resent is set by a caller that sent the booking before. A host that can't
	// know the outcome of the earlier request then answers "unknown" in place
	// of "not run".
	Resent bool
}

// Runner runs a booking on backend servers. It makes one attempt at a time, and
// none after an attempt whose outcome is unknown. It returns a code of the group
// "not run" only if no attempt ran. It returns soon after ctx ends.
type Runner func(ctx context.Context, r Request) Result

// Peers connects an Executor to those of other hosts.
type Peers interface {
	// Issuer returns the peer address of the given incarnation of the host, and
	// whether it is known.
	Issuer(host ident.HostID, incarnation ident.Incarnation) (address string, known bool)
	// Successors returns the addresses of the hosts that hold the records of a
	// stopped incarnation. Hosts with the same view of the members agree on it.
	Successors(host ident.HostID, incarnation ident.Incarnation) []string
	// Forward sends the booking to the host at the address. After an error the
	// outcome is unknown.
	Forward(ctx context.Context, address string, r Request) (Result, error)
	// HandOver sends the records of a stopped incarnation to the host at the
	// address.
	HandOver(ctx context.Context, address string, from HostIncarnation, records Records) error
	// Recall queries the host at the address for the record of a ticket.
	Recall(ctx context.Context, address string, from HostIncarnation, sequence uint64, content Digest) (Result, bool, error)
}

// Config configures an Executor.
type Config struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	Run         Runner
	Peers       Peers
	// Store holds the claims of idempotency keys. If nil, keys are refused.
	Store metastore.Store
	// MaxRecords bounds the records of used tickets; default 16384.
	MaxRecords int
	// MaxRecordBytes bounds the answers in these records; default 8 MiB.
	MaxRecordBytes int
}

// Executor accepts bookings on one entry host. It runs those whose ticket this
// incarnation of the host issued and forwards others to their issuer. Its
// methods are safe for concurrent use.
type Executor struct {
	config          Config
	signer          *signer
	claimedTickets  *lru.Cache[string, string]           // claim key to ticket
	claimKeys       *lru.Cache[uint64, string]           // sequence of own ticket to claim key
	handedOver      *lru.Cache[HostIncarnation, Records] // handed over by stopped hosts
	claimWriteSlots chan struct{}                        // limits writes of outcomes to claims
	running         sync.WaitGroup

	mu          sync.Mutex
	ticketTable *ticketTable
	runs        map[uint64]*pendingRun // runs in progress
	stats       Stats
}

// pendingRun passes the outcome of a run to the requests that wait for it. The
// table's entry may already belong to the next run.
type pendingRun struct {
	done    chan struct{} // closed once outcome is set
	outcome Result
}

// Stats counts events since the start, and current records and runs.
type Stats struct {
	Issued    uint64 // tickets
	Runs      uint64 // runs started
	Repeated  uint64 // requests answered from a record
	Joined    uint64 // requests that waited for a run in progress
	Forwarded uint64 // requests forwarded to the issuer
	Unknown   uint64 // answers of the group "unknown"
	Records   int    // current records of used tickets
	Running   int    // runs in progress
	Floor     uint64 // highest sequence number whose record was evicted
}

// NewExecutor returns the executor of one incarnation of a host.
func NewExecutor(config Config) *Executor {
	if config.MaxRecords == 0 {
		config.MaxRecords = defaultMaxRecords
	}
	if config.MaxRecordBytes == 0 {
		config.MaxRecordBytes = defaultMaxRecordBytes
	}
	return &Executor{
		config:          config,
		signer:          newSigner(),
		claimedTickets:  newCache[string, string](claimCacheSize),
		claimKeys:       newCache[uint64, string](claimCacheSize),
		handedOver:      newCache[HostIncarnation, Records](maxHandedOver),
		claimWriteSlots: make(chan struct{}, maxConcurrentClaimWrites),
		ticketTable:     newTicketTable(config.MaxRecords, config.MaxRecordBytes),
		runs:            make(map[uint64]*pendingRun),
	}
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	cache, err := lru.New[K, V](size)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return cache
}

// Stats returns the current counts.
func (e *Executor) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Issued = e.ticketTable.issued
	stats.Records = len(e.ticketTable.entries)
	stats.Running = len(e.runs)
	stats.Floor = e.ticketTable.floor
	return stats
}

// Issue returns a ticket for one booking of the caller on the route. Unused
// tickets take no memory.
func (e *Executor) Issue(caller, route string) string {
	e.mu.Lock()
	sequence := e.ticketTable.issue()
	e.mu.Unlock()
	t := ticket{host: e.config.Host, incarnation: e.config.Incarnation, sequence: sequence}
	t.mac = e.signer.sign(t, caller, route)
	return t.encode()
}

// Book runs the booking or returns the outcome of its earlier run. It returns
// when ctx ends or the request's deadline passes, at the latest. A run continues
// after the caller disconnects, so that a later request gets its outcome.
func (e *Executor) Book(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	outcome := e.book(ctx, r)
	if outcome.Code.Group() == result.GroupUnknown {
		e.count(&e.stats.Unknown)
	}
	return outcome
}

func (e *Executor) book(ctx context.Context, r Request) Result {
	switch {
	case r.Ticket != "" && r.IdempotencyKey != "":
		return Result{Code: result.BadRequest, Detail: "a booking has a ticket or an idempotency key, not both"}
	case r.Ticket != "":
		return e.bookWithTicket(ctx, r)
	case r.IdempotencyKey != "":
		return e.bookWithKey(ctx, r)
	default:
		return Result{Code: result.BadRequest, Detail: "a booking needs a ticket or an idempotency key"}
	}
}

// bookWithTicket runs bookings with own tickets and forwards others to their
// issuer.
func (e *Executor) bookWithTicket(ctx context.Context, r Request) Result {
	t, err := parseTicket(r.Ticket)
	if err != nil {
		return Result{Code: result.TicketInvalid, Detail: err.Error()}
	}
	if e.issuedHere(t) {
		return e.bookLocally(ctx, t, r)
	}
	return e.forward(ctx, t, r)
}

func (e *Executor) issuedHere(t ticket) bool {
	return t.host == e.config.Host && t.incarnation == e.config.Incarnation
}

// forward sends the booking to the ticket's issuer. A failure is never "not
// run": the issuer may have run this request or an earlier one.
func (e *Executor) forward(ctx context.Context, t ticket, r Request) Result {
	outcome := Result{Code: result.IssuerGone, Detail: "the entry host that issued the ticket is gone"}
	if address, known := e.config.Peers.Issuer(t.host, t.incarnation); known {
		outcome = e.forwardTo(ctx, address, r)
	}
	if outcome.Code != result.IssuerGone && outcome.Code != result.OutcomeNotKnown {
		return outcome
	}
	// After a planned stop the successors have the issuer's records, even while
	// membership still lists the issuer.
	if recalled, ok := e.recall(ctx, t, r); ok {
		return recalled
	}
	return outcome
}

func (e *Executor) forwardTo(ctx context.Context, address string, r Request) Result {
	e.count(&e.stats.Forwarded)
	outcome, err := e.config.Peers.Forward(ctx, address, r)
	if err != nil {
		return Result{
			Code:   result.OutcomeNotKnown,
			Detail: "the entry host that issued the ticket gave no answer; ask again with the same ticket",
		}
	}
	return outcome
}

// Forwarded handles a booking that another host forwarded. It is never forwarded
// again, which rules out loops.
func (e *Executor) Forwarded(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	t, err := parseTicket(r.Ticket)
	if err != nil {
		return Result{Code: result.TicketInvalid, Detail: err.Error()}
	}
	if !e.issuedHere(t) {
		// The ticket is from an earlier incarnation at this address.
		return Result{Code: result.IssuerGone, Detail: "the entry host that issued the ticket was restarted"}
	}
	return e.bookLocally(ctx, t, r)
}

func (e *Executor) bookLocally(ctx context.Context, t ticket, r Request) Result {
	if !e.signer.valid(t, r.Caller, r.Route) {
		return Result{Code: result.TicketInvalid, Detail: "the ticket is not for this caller and route"}
	}
	e.mu.Lock()
	next := e.ticketTable.begin(t.sequence, r.RequestID, contentDigest(r.Caller, r.Route, r.Body))
	current := e.trackRun(next.action, t.sequence)
	e.mu.Unlock()
	switch next.action {
	case actionRun:
		go e.run(context.WithoutCancel(ctx), t.sequence, current, r)
		return current.await(ctx)
	case actionWait:
		return current.await(ctx)
	default:
		return next.result
	}
}

// trackRun counts the action and returns the ticket's run in progress, which it
// adds for actionRun. The caller holds the lock.
func (e *Executor) trackRun(next action, sequence uint64) *pendingRun {
	switch next {
	case actionRun:
		e.stats.Runs++
		e.running.Add(1)
		e.runs[sequence] = &pendingRun{done: make(chan struct{})}
	case actionWait:
		e.stats.Joined++
	case actionReplay:
		e.stats.Repeated++
	}
	return e.runs[sequence]
}

// await returns the outcome of the run, or BookingInProgress if ctx ends first.
func (p *pendingRun) await(ctx context.Context) Result {
	select {
	case <-p.done:
		return p.outcome
	case <-ctx.Done():
		return Result{Code: result.BookingInProgress, Detail: "the booking is still running; ask again with the same ticket or key"}
	}
}

// run runs the booking and records its outcome. It doesn't end with the caller's
// connection.
func (e *Executor) run(ctx context.Context, sequence uint64, current *pendingRun, r Request) {
	defer e.running.Done()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	current.outcome = e.runWithRecovery(ctx, r)
	e.mu.Lock()
	e.ticketTable.finish(sequence, current.outcome)
	delete(e.runs, sequence)
	e.mu.Unlock()
	close(current.done)
	e.recordOutcomeInClaim(sequence, r, current.outcome)
}

// runWithRecovery turns a panic of the runner into an unknown outcome.
// Otherwise the ticket would be in progress forever.
func (e *Executor) runWithRecovery(ctx context.Context, r Request) (outcome Result) {
	defer func() {
		if recover() != nil {
			outcome = Result{Code: result.OutcomeNotKnown, Detail: "the run ended abnormally"}
		}
	}()
	return e.config.Run(ctx, r)
}

// Stop refuses new bookings and waits for the runs in progress until ctx ends.
// It reports whether all runs have ended.
func (e *Executor) Stop(ctx context.Context) bool {
	e.mu.Lock()
	e.ticketTable.stopping = true
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Executor) count(counter *uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*counter++
}
