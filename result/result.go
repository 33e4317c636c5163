// Package result defines the numbered result codes: the result of a request,
// whether the caller may resend it, and what an operator can do about it.
// docs/result-codes.md is generated from the table of this package.
package result

import (
	"fmt"
	"net/http"
	"time"
)

// Code is the numbered result of a request. Its hundreds digit is its Group.
type Code int

// Group is a set of codes with the same consequence for the caller.
type Group int

// The groups of codes.
const (
	// GroupComplete: an answer from every shard.
	GroupComplete Group = 1
	// GroupPartial: an answer that names the shards it lacks.
	GroupPartial Group = 2
	// GroupNotRun: refused; the request ran nowhere.
	GroupNotRun Group = 3
	// GroupUnknown: the request may or may not have run.
	GroupUnknown Group = 4
	// GroupFailed: the request ran, at least in part, without an answer.
	GroupFailed Group = 5
)

// The codes. Numbers are never reused.
const (
	Complete Code = 100

	Partial Code = 200

	BadRequest         Code = 300
	Unauthorized       Code = 301
	RouteNotAllowed    Code = 302
	TooLarge           Code = 303
	DeadlineUnmeetable Code = 304
	Overloaded         Code = 305
	CallerOverShare    Code = 306
	Draining           Code = 307
	NotReady           Code = 308
	CutOff             Code = 309
	Quarantined        Code = 310
	NoSnapshot         Code = 311
	BackendsRefused    Code = 312
	StoreUnavailable   Code = 313
	TicketInvalid      Code = 314
	NoBackend          Code = 315
	RetryBudgetSpent   Code = 316
	HomeUnavailable    Code = 317
	Suspected          Code = 318
	CustomerOverLimit  Code = 319

	OutcomeNotKnown   Code = 400
	IssuerGone        Code = 401
	BookingInProgress Code = 402

	CoverageTooLow   Code = 500
	BackendFailed    Code = 501
	SnapshotGone     Code = 502
	Cancelled        Code = 503
	DeadlineExceeded Code = 504
)

// Resend tells a caller whether it may resend the same request.
type Resend string

// The values of Resend.
const (
	// ResendNo: the same request would get the same result.
	ResendNo Resend = "no"
	// ResendLater: nothing ran; resend it after the retry delay.
	ResendLater Resend = "later"
	// ResendElsewhere: nothing ran; resend it at once to another entry host.
	ResendElsewhere Resend = "elsewhere"
	// ResendIdempotent: it may have run; only an idempotent request may be resent.
	ResendIdempotent Resend = "idempotent-only"
)

// Info is one row of the table of codes.
type Info struct {
	Code    Code
	Name    string // stable identifier in JSON, metrics and logs
	Status  int    // HTTP status
	Resend  Resend
	Meaning string // for the caller
	Action  string // for the operator
}

var table = []Info{
	{Complete, "complete", http.StatusOK, ResendNo, "The whole answer: every shard of the pinned snapshot is in it.", "None."},
	{Partial, "partial", http.StatusOK, ResendIdempotent, "A true partial answer: the shards that are missing are named.", "Look at the missing shards' backend servers if the rate rises."},
	{BadRequest, "bad_request", http.StatusBadRequest, ResendNo, "The request can't be read; the message says what is wrong and where.", "None; the caller mends its request."},
	{Unauthorized, "unauthorized", http.StatusUnauthorized, ResendNo, "The bearer token, key or client certificate is missing, malformed or of no known caller or customer; nothing ran.", "Find the reason by request id in the log; check the key in the configuration in force."},
	{RouteNotAllowed, "route_not_allowed", http.StatusNotFound, ResendNo, "There is no such route for this caller.", "Check the route's callers in the bundle in force."},
	{TooLarge, "too_large", http.StatusRequestEntityTooLarge, ResendNo, "The request's body is over the limit.", "Raise limits.max_body_bytes if such bodies are wanted."},
	{DeadlineUnmeetable, "deadline_unmeetable", http.StatusServiceUnavailable, ResendLater, "From the measured queues, the answer can't be had by the deadline.", "Add backend capacity if it lasts; see the saturation page."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, ResendLater, "The queues of this class are full.", "Add backend capacity if it lasts; see the saturation page."},
	{CallerOverShare, "caller_over_share", http.StatusTooManyRequests, ResendLater, "The caller is over its share while others wait.", "Check the caller's weight, or speak with the caller."},
	{Draining, "draining", http.StatusServiceUnavailable, ResendElsewhere, "This entry host is stopping; use the hosts named.", "None; expected during a planned stop."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, ResendElsewhere, "This entry host has no configuration yet, or can't tell that the one it has is still the newest.", "Check that it reaches the platform or its peers, and its log for a newer version that is not in force."},
	{CutOff, "cut_off", http.StatusServiceUnavailable, ResendElsewhere, "This entry host hears neither the platform nor its peers.", "Check the host's network; replace the host."},
	{Quarantined, "quarantined", http.StatusUnprocessableEntity, ResendNo, "Requests like this one crashed backend servers and are refused.", "See the quarantine page; release it there if it is innocent."},
	{NoSnapshot, "no_snapshot", http.StatusServiceUnavailable, ResendLater, "No snapshot of the index is held by replicas of every shard.", "Check the publishing of the index and its backend servers."},
	{BackendsRefused, "backends_refused", http.StatusServiceUnavailable, ResendLater, "Every backend server that was asked refused before it ran anything.", "Add backend capacity; look at shedding servers."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, ResendLater, "The idempotency key can't be claimed while the platform's store is down.", "See the store outage page."},
	{TicketInvalid, "ticket_invalid", http.StatusConflict, ResendNo, "The ticket was not issued by this fleet, or is not for this request.", "None; the caller asks for a new ticket."},
	{NoBackend, "no_backend", http.StatusServiceUnavailable, ResendLater, "No backend server of a needed service takes work.", "Check the host list and the servers' state."},
	{RetryBudgetSpent, "retry_budget_spent", http.StatusServiceUnavailable, ResendLater, "Backend servers refused, and the retry budget is spent.", "Find what makes the service refuse; budgets guard it."},
	{HomeUnavailable, "home_unavailable", http.StatusServiceUnavailable, ResendElsewhere, "The entry host that serves the shard can't be reached; nothing was sent.", "Check the link between the entry hosts."},
	{Suspected, "suspected", http.StatusServiceUnavailable, ResendLater, "A request like this one was running when a backend server died; such are tried again one at a time.", "None, unless it lasts; see the quarantine page."},
	{CustomerOverLimit, "customer_over_limit", http.StatusTooManyRequests, ResendLater, "The customer is over its limit of requests.", "Compare the customer's rate with its limit; raise the limit if the rate is wanted."},
	{OutcomeNotKnown, "outcome_unknown", http.StatusBadGateway, ResendIdempotent, "The request was sent, and whether it ran is not known.", "Follow the page on unknown bookings."},
	{IssuerGone, "issuer_gone", http.StatusGone, ResendIdempotent, "The entry host that issued the ticket is gone; whether the booking ran is not known.", "Follow the page on unknown bookings."},
	{BookingInProgress, "booking_in_progress", http.StatusConflict, ResendIdempotent, "The first sending of this booking is still running; ask again for its outcome.", "None, unless it lasts."},
	{CoverageTooLow, "coverage_too_low", http.StatusGatewayTimeout, ResendIdempotent, "Fewer shards answered than the route demands.", "Look at the missing shards' backend servers."},
	{BackendFailed, "backend_failed", http.StatusBadGateway, ResendIdempotent, "A backend server ran the request and failed.", "Look at that server's log by request id."},
	{SnapshotGone, "snapshot_gone", http.StatusServiceUnavailable, ResendIdempotent, "The pinned snapshot was withdrawn, and there was no time to start again.", "Keep old snapshots for longer than the longest deadline."},
	{Cancelled, "cancelled", 499, ResendIdempotent, "The caller went away.", "None."},
	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, ResendIdempotent, "The deadline passed before enough shards answered.", "Compare with the saturation and straggler pages."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, info := range table {
		m[info.Code] = info
	}
	return m
}()

// Table returns every code in ascending order.
func Table() []Info { return append([]Info(nil), table...) }

// Info returns the row of the code. An unlisted code reads as OutcomeNotKnown,
// which makes no claim about the request.
func (c Code) Info() Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[OutcomeNotKnown]
}

// Group is the hundreds digit of the code.
func (c Code) Group() Group { return Group(c / 100) }

// NotRun reports whether the code claims that the request ran nowhere.
func (c Code) NotRun() bool { return c.Group() == GroupNotRun }

// String is the code's stable name.
func (c Code) String() string { return c.Info().Name }

// Error is a result code with its detail. It is shown to callers, so it must not
// hold secrets or addresses of backend servers.
type Error struct {
	Code   Code
	Detail string
	// Reason is a short name of the cause for logs and metrics; empty if the code says it.
	Reason string
	// RetryAfter is the delay before a retry; zero: not stated.
	RetryAfter time.Duration
	// Hosts are the addresses of other entry hosts to use.
	Hosts []string
}

// Errorf makes an Error with a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error returns number, name and detail on one line.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", int(e.Code), e.Code)
	}
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Detail)
}
