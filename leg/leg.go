// Package leg holds the messages between the root of a query and the homes of
// its services: one shard's part of a request, and how it ended.
package leg

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Request asks the home of Service to run one shard's part of a request.
type Request struct {
	Request     ident.RequestID
	Service     string
	Index       string
	Shard       snapshot.ShardID
	Snapshot    snapshot.Version
	Class       string
	Caller      string
	Deadline    time.Time // on the local clock; hops send the time left
	Idempotent  bool
	Fingerprint uint64 // of route, caller and body
	Body        []byte
	// SoftDeadline is when the answer loses most of its worth; zero: at the deadline.
	SoftDeadline time.Time
	// Optional: the query can do without the answer, which would not be in time.
	Optional bool
	// MaxServers bounds the backend servers that may run the leg; 0: no bound.
	MaxServers int
	// Forward is set for a request that is passed on as its caller sent it.
	Forward *forward.Request
	// FailedHome is a home that was lost with the leg, which may have run there; empty: none.
	FailedHome ident.HostID
	// PinnedServer names the one server that the home may send the leg to; empty: any.
	PinnedServer string
	// DirectServer names the one backend server to run the leg at; empty: the home of
	// Service chooses one.
	DirectServer string
	// DirectIncarnation is the start of Server that the sender means; 0: not known.
	DirectIncarnation uint64
	// MaxRecords of the answer of a named server are sent back, the greatest;
	// 0: all.
	MaxRecords int
	// FullAnswer asks for all records of an answer of a named server that was cut.
	FullAnswer bool
}

// Result is how a leg ended. Request and Shard are echoes, which the root
// checks before it believes the rest.
type Result struct {
	Request  ident.RequestID
	Shard    snapshot.ShardID
	Snapshot snapshot.Version // that the backend server answered from
	Outcome  result.Outcome   // of the whole leg: NotRun only if every attempt was
	Code     result.Code      // why there is no answer; 0 when Body is the answer
	Detail   string
	Body     []byte
	Digest   uint64 // of Body, made where the body was first received
	// HeldSnapshots are the index's snapshots that the backend server holds, if it said so.
	HeldSnapshots []snapshot.Version
	// Reply is the backend server's reply to a forwarded request, also one that
	// says that the request failed; nil: there is none.
	Reply    *forward.Reply
	Attempts int // sent to backend servers
	Hedges   int // of these, hedges
	// QueueTime is how long the leg waited at its home before its first attempt
	// began; UnknownWait when none began or the home did not say.
	QueueTime  time.Duration
	RetryAfter time.Duration
	// Attempt is how the attempt at a named server ended; nil: it was not made,
	// or nothing is known of it.
	Attempt *backend.CallResult
	// Truncated: Body holds only the greatest records.
	Truncated bool
	// Forecast is how the next leg would fare at the home; nil: it did not say.
	Forecast *Forecast
}

// Forecast says how a leg that is sent now would fare at its service.
type Forecast struct {
	QueueTime   time.Duration // until a slot is free for it
	ServiceTime time.Duration // from then on, typically
	// Unresponsive: no server of the service answers or takes it.
	Unresponsive bool
}

// String is the forecast in a log line: wait and run in ms.
func (f Forecast) String() string {
	if f.Unresponsive {
		return "silent"
	}
	return fmt.Sprintf("%d+%d", f.QueueTime.Milliseconds(), f.ServiceTime.Milliseconds())
}

// UnknownQueueTime stands for a wait that is not known.
const UnknownQueueTime time.Duration = -1

// HasAnswer reports whether the result carries an answer.
func (r Result) HasAnswer() bool { return r.Code == 0 && r.Outcome == result.OutcomeRan }

// Runner runs legs. It calls done exactly once for each leg, from any
// goroutine and possibly before Run returns; done must not block. The returned
// function cancels the leg; done is still called.
type Runner interface {
	Run(request Request, done func(Result)) (cancel func())
}

// Digest is the checksum of a reply's body, by which a half reply is seen.
func Digest(body []byte) uint64 { return xxhash.Sum64(body) }

// Failed makes the result of a leg without an answer.
func Failed(request Request, code result.Code, outcome result.Outcome, detail string) Result {
	return Result{
		Request:   request.Request,
		Shard:     request.Shard,
		Code:      code,
		Outcome:   outcome,
		Detail:    detail,
		QueueTime: UnknownQueueTime,
	}
}
