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
	// Due is when the answer loses most of its worth; zero: at the deadline.
	Due time.Time
	// Optional: the query can do without the answer, which would not be in time.
	Optional bool
	// MaxServers bounds the backend servers that may run the leg; 0: no bound.
	MaxServers int
	// Forward is set for a request that is passed on as its caller sent it.
	Forward *forward.Request
	// After is a home that was lost with the leg, which may have run there; empty: none.
	After ident.HostID
	// Only names the one server that the home may send the leg to; empty: any.
	Only string
	// Server names the one backend server to run the leg at; empty: the home of
	// Service chooses one.
	Server string
	// ServerIncarnation is the start of Server that the sender means; 0: not known.
	ServerIncarnation uint64
	// MostRecords of the answer of a named server are sent back, the greatest;
	// 0: all.
	MostRecords int
	// Rest asks for all records of an answer of a named server that was cut.
	Rest bool
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
	// Held are the index's snapshots that the backend server holds, if it said so.
	Held []snapshot.Version
	// Reply is the backend server's reply to a forwarded request, also one that
	// says that the request failed; nil: there is none.
	Reply    *forward.Reply
	Attempts int // sent to backend servers
	Hedges   int // of these, hedges
	// Wait is how long the leg waited at its home before its first attempt
	// began; UnknownWait when none began or the home did not say.
	Wait       time.Duration
	RetryAfter time.Duration
	// Attempt is how the attempt at a named server ended; nil: it was not made,
	// or nothing is known of it.
	Attempt *backend.Attempt
	// Cut: Body holds only the greatest records.
	Cut bool
	// Forecast is how the next leg would fare at the home; nil: it did not say.
	Forecast *Forecast
}

// Forecast says how a leg that is sent now would fare at its service.
type Forecast struct {
	Wait time.Duration // until a slot is free for it
	Run  time.Duration // from then on, typically
	// Silent: no server of the service answers or takes it.
	Silent bool
}

// String is the forecast in a log line: wait and run in ms.
func (f Forecast) String() string {
	if f.Silent {
		return "silent"
	}
	return fmt.Sprintf("%d+%d", f.Wait.Milliseconds(), f.Run.Milliseconds())
}

// UnknownWait stands for a wait that is not known.
const UnknownWait time.Duration = -1

// Usable reports whether the result carries an answer.
func (r Result) Usable() bool { return r.Code == 0 && r.Outcome == result.OutcomeRan }

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
		Request: request.Request,
		Shard:   request.Shard,
		Code:    code,
		Outcome: outcome,
		Detail:  detail,
		Wait:    UnknownWait,
	}
}
