// Package backend is the boundary to the users' backend servers: one call, its
// reply, and the checks that decide whether a reply may be believed.
package backend

import (
	"context"
	"time"

	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Server is one backend server as an entry host knows it.
type Server struct {
	Name        string
	Address     string // IP and port
	Service     string
	Region      string
	Zone        string // availability zone
	Incarnation uint64
}

// Call is one attempt to run one shard's part of a request.
type Call struct {
	Request    ident.RequestID
	Attempt    ident.AttemptID
	Service    string
	Index      string
	Shard      snapshot.ShardID
	Snapshot   snapshot.Version
	Class      string
	Deadline   time.Time
	Idempotent bool
	Body       []byte
	// Forward is set for a request that is passed on as its caller sent it.
	Forward *forward.Request
}

// Load is what a backend server says of itself on a reply. It may lag or
// mislead: own observations outrank it.
type Load struct {
	Running  int // requests in service
	Queued   int // requests waiting at the server
	Slots    int // requests it serves at once
	Draining bool
}

// Reply is a whole reply whose echoes, length and digest were checked.
type Reply struct {
	Body        []byte
	Snapshot    snapshot.Version
	Load        Load
	Incarnation uint64
	// HeldSnapshots are the snapshots of the call's index that the server holds, newest
	// first, if it says so.
	HeldSnapshots []snapshot.Version
	// Forwarded is the reply to a forwarded request; nil: there is none.
	Forwarded *forward.Reply
}

// Fault says why an attempt gave no reply to use.
type Fault uint8

// The faults of an attempt.
const (
	FaultNone             Fault = iota
	FaultUnreachable            // no connection could be had: unsent
	FaultConnectionLimit        // the server's connection limit is used up: unsent
	FaultShed                   // refused before run: overloaded
	FaultDraining               // refused before run: leaving
	FaultSnapshotNotHeld        // refused before run: the replica lacks the snapshot
	FaultDeadline               // no reply by the deadline: unknown
	FaultCancelled              // cancelled by us while it ran: unknown
	FaultUnresponsive           // the connection went silent: unknown
	FaultConnectionLost         // the connection broke after sending: unknown
	FaultCorruptReply           // length or digest is wrong: unknown
	FaultMisroutedReply         // the echoes are another request's: unknown
	FaultSnapshotMismatch       // answered from another snapshot: ran, not usable
	FaultServerError            // ran and failed
	FaultPeerLost               // the host that passed the call on was lost: unknown
	FaultNotAllowed             // the rules of this moment keep it from the server: unsent
)

var faultNames = [...]string{
	"none", "unreachable", "connection_limit", "shed", "draining", "snapshot_not_held", "deadline", "cancelled",
	"silent", "broken", "half_reply", "crossed", "snapshot_mismatch", "server", "peer_lost", "not_allowed",
}

// String is the fault's name in logs.
func (f Fault) String() string {
	if int(f) >= len(faultNames) {
		return "unknown"
	}
	return faultNames[f]
}

// CallResult is the end of one Call: what is known of it, and the reply if any.
type CallResult struct {
	Outcome result.Outcome
	Fault   Fault
	Reply   Reply // set when Fault is FaultNone
	// KeepAliveTimeout is how long the server keeps the idle connection; zero: not said.
	KeepAliveTimeout time.Duration
	// RetryAfter is the server's own word on when to come back; zero: none.
	RetryAfter time.Duration
}

// Usable reports whether the attempt's reply may go into an answer.
func (a CallResult) Usable() bool { return a.Outcome == result.OutcomeRan && a.Fault == FaultNone }

// Runner runs calls on backend servers. It returns at the latest when ctx
// ends, and never claims OutcomeUnsent or OutcomeRefused without proof.
type Runner interface {
	Run(ctx context.Context, server Server, call Call) CallResult
}
