// Package backend is the client for backend servers: it sends calls, validates
// the replies and classifies failures by whether the server may have run the call.
package backend

import (
	"context"
	"time"

	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Server identifies one backend server.
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
	// Forward is set for a request that is forwarded unchanged.
	Forward *forward.Request
}

// Load is the load that a backend server reports in a reply. It may be outdated
// or wrong, so the host's own observations take precedence.
type Load struct {
	Running  int // requests in service
	Queued   int // requests waiting at the server
	Slots    int // requests that the server runs concurrently
	Draining bool
}

// Reply is a complete reply whose echoed ids, length and digest were verified.
type Reply struct {
	Body        []byte
	Snapshot    snapshot.Version
	Load        Load
	Incarnation uint64
	// HeldSnapshots lists the snapshots of the call's index that the server holds, newest
	// first; nil if the server doesn't report them.
	HeldSnapshots []snapshot.Version
	// Forwarded is the reply to a forwarded request, or nil.
	Forwarded *forward.Reply
}

// Fault says why an attempt produced no usable reply.
type Fault uint8

// The faults of an attempt. Metrics and peers identify them by number. Each comment
// ends with the usual outcome; a call of which nothing was sent is always unsent.
const (
	FaultNone             Fault = iota
	FaultUnreachable            // no connection could be opened: unsent
	FaultConnectionLimit        // the server's connection limit is reached: unsent, or refused by the server
	FaultShed                   // the server is overloaded: refused
	FaultDraining               // the server is leaving: refused
	FaultSnapshotNotHeld        // the server doesn't hold the snapshot: refused
	FaultDeadline               // no reply before the deadline: unknown, or refused by the server
	FaultCancelled              // cancelled by this host: unknown
	FaultUnresponsive           // no data arrived, and a probe failed or didn't find the call: unknown
	FaultConnectionLost         // the connection was lost after sending, or the HTTP status is unexpected: unknown
	FaultCorruptReply           // the body's length or digest is wrong: unknown
	FaultMisroutedReply         // the echoed ids are another request's: unknown
	FaultSnapshotMismatch       // answered from another snapshot: ran, not usable
	FaultServerError            // the server reported a failure: ran
	FaultPeerLost               // the peer that forwarded the call was lost: unknown
	FaultNotAllowed             // the eligibility rules exclude the server: unsent
	FaultKeyRefused             // the customer's key may not be used any more: unsent
)

// faultNames are the names in logs; they are stable and may differ from the constants'.
var faultNames = [...]string{
	"none", "unreachable", "connection_limit", "shed", "draining", "snapshot_not_held", "deadline", "cancelled",
	"silent", "broken", "half_reply", "crossed", "snapshot_mismatch", "server", "peer_lost", "not_allowed", "key_refused",
}

// String returns the fault's name as it appears in logs.
func (f Fault) String() string {
	if int(f) >= len(faultNames) {
		return "unknown"
	}
	return faultNames[f]
}

// CallResult is the result of one Call: its outcome, and the reply if there is one.
type CallResult struct {
	Outcome result.Outcome
	Fault   Fault
	Reply   Reply // set when Fault is FaultNone
	// KeepAliveTimeout is how long the server keeps an idle connection open; zero if unknown.
	KeepAliveTimeout time.Duration
	// Unidentified is set if the reply echoes no ids. Its connection is closed, as a copy of it could
	// not be told from the reply to a later call.
	Unidentified bool
	// RetryAfter is the retry delay that the server asks for; zero if none.
	RetryAfter time.Duration
	// Connection is the number of the connection that the call was sent on, unique in this
	// process, and ConnectionCalls how many calls it carried before; zero if there was none.
	Connection      uint64
	ConnectionCalls int
}

// Usable reports whether the reply can be part of an answer.
func (r CallResult) Usable() bool { return r.Outcome == result.OutcomeRan && r.Fault == FaultNone }

// Runner runs calls on backend servers. Run returns when ctx ends at the latest.
// It reports OutcomeUnsent or OutcomeRefused only if the call certainly didn't run.
type Runner interface {
	Run(ctx context.Context, server Server, call Call) CallResult
}
