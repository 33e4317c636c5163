// Package leg defines the messages between the coordinating host of a query, which gathers
// the answer, and the homes of its services. A leg is one shard's part of a request.
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

// Request asks the home of Service to run a leg.
type Request struct {
	Request     ident.RequestID
	Service     string
	Index       string
	Shard       snapshot.ShardID
	Snapshot    snapshot.Version
	Class       string
	Caller      string
	Deadline    time.Time // on the local clock; the remaining time is sent between hosts
	Idempotent  bool
	Fingerprint uint64 // hash of route, caller and body
	Body        []byte
	// SoftDeadline is the time after which the answer has lost most of its value; zero
	// means the deadline.
	SoftDeadline time.Time
	// Optional is set if the query can be answered without this leg.
	Optional bool
	// MaxServers limits the number of backend servers that may run the leg; 0 means no
	// limit.
	MaxServers int
	// Forward is set for a request passed through as its caller sent it.
	Forward *forward.Request
	// FailedHome is the home that was lost while it had the leg, which may have run
	// there; empty if none.
	FailedHome ident.HostID
	// ReservedServer names the backend server on which another host runs the leg if its home
	// is lost; empty if no host does. With a limit on the servers, the home may use one server
	// less beside it, so that the limit holds for both hosts together.
	ReservedServer string
	// PinnedServer names the only server that the home may send the leg to; empty means
	// any.
	PinnedServer string
	// DirectServer names a backend server to send the leg to directly; empty means that
	// the home of Service chooses one.
	DirectServer string
	// DirectIncarnation is the expected incarnation of DirectServer; 0 if not known.
	DirectIncarnation uint64
	// MaxRecords limits the records in the answer of a directly addressed server to
	// the greatest; 0 means all.
	MaxRecords int
	// FullAnswer asks for all records of an answer that was truncated before.
	FullAnswer bool
}

// Result is how a leg ended. The coordinating host checks the echoed Request and Shard
// before it uses the rest.
type Result struct {
	Request  ident.RequestID
	Shard    snapshot.ShardID
	Snapshot snapshot.Version // used for the answer
	Outcome  result.Outcome   // of the whole leg; NotRun only if no attempt ran
	Code     result.Code      // why there is no answer; 0 if Body is the answer
	Detail   string
	Body     []byte
	Digest   uint64 // of Body, computed on the host that received it from the server
	// HeldSnapshots are the index's snapshots on the backend server, if reported.
	HeldSnapshots []snapshot.Version
	// Reply is the backend server's reply to a forwarded request, including error
	// replies; nil if there is none.
	Reply    *forward.Reply
	Attempts int // number sent to backend servers
	Hedges   int // number of attempts that were hedges
	// QueueTime is the time in the home's queue before the first attempt, or
	// UnknownQueueTime.
	QueueTime  time.Duration
	RetryAfter time.Duration
	// Attempt is how the attempt at a directly addressed server ended; nil if none was
	// made or its end isn't known.
	Attempt *backend.CallResult
	// Truncated is set if Body holds only the greatest records.
	Truncated bool
	// Forecast is the home's forecast for the next leg; nil if it sent none.
	Forecast *Forecast
}

// Forecast predicts the queueing and service time of a leg that is sent now.
type Forecast struct {
	QueueTime   time.Duration // time until a slot is free
	ServiceTime time.Duration // typical service time after that
	// PreferredServer is the server that the home prefers to the one that was reserved for the
	// leg; empty if it prefers none.
	PreferredServer string
	// Unresponsive is set if no server of the service answers or accepts legs.
	Unresponsive bool
}

// String formats the forecast for logs: queue and service time in milliseconds.
func (f Forecast) String() string {
	if f.Unresponsive {
		return "silent"
	}
	return fmt.Sprintf("%d+%d", f.QueueTime.Milliseconds(), f.ServiceTime.Milliseconds())
}

// UnknownQueueTime stands for a queue time that isn't known.
const UnknownQueueTime time.Duration = -1

// HasAnswer reports whether the result carries an answer.
func (r Result) HasAnswer() bool { return r.Code == 0 && r.Outcome == result.OutcomeRan }

// Runner runs legs. It calls done exactly once for each leg, from any goroutine and
// possibly before Run returns; done must not block. The returned function cancels the
// leg; done is still called.
type Runner interface {
	Run(request Request, done func(Result)) (cancel func())
}

// Digest returns the checksum of a reply's body, which detects truncated replies.
func Digest(body []byte) uint64 { return xxhash.Sum64(body) }

// Failed returns the result of a leg without an answer.
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
