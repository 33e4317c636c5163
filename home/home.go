// Package home owns the decisions of a service's home: the one entry host that
// counts the slots of the service's backend servers exactly, keeps the queue
// of legs, places each on a server, hedges and retries. It is pure: time is
// passed in, and what is to be done comes back as actions, so that all of it
// runs in tests without sockets.
//
// Two hosts may believe to be the home at once while their views differ. That
// over-commits the servers for a moment, and they shed; no promise leans on it.
package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// LegID names a leg at this home.
type LegID uint64

// Leg is one shard's part of a request.
type Leg struct {
	ID          LegID
	Request     ident.RequestID // breaks ties between equal deadlines
	Class       int             // position in the bundle's classes
	Caller      string
	Deadline    time.Time
	Idempotent  bool
	Fingerprint uint64
	Bytes       int // of the body, for the bound of the queue
	// SoftDeadline is when the answer loses most of its worth; zero: at the deadline.
	// Waiting legs go in the order of what they are due, and one that has
	// missed it stands behind those that can still make it.
	SoftDeadline time.Time
	// Optional: the query can do without this leg's answer.
	Optional bool
	// MaxServers bounds the servers that may run the leg; 0: no bound.
	MaxServers int
	// PinnedServer names the one server that may run the leg; empty: any.
	PinnedServer string
	// Regions are those whose servers may run the leg; empty: any.
	Regions []string
	// Forwarded requests are tried again on another server also after one that
	// ran them has failed, if they are idempotent.
	Forwarded bool
}

// ActionKind says what the shell has to do.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionStart: send the leg to Server as Attempt.
	ActionStart ActionKind = iota
	// ActionCancel: cancel Attempt; its end is still reported through Finish.
	ActionCancel
	// ActionAnswer: Attempt's reply is the leg's answer; the leg is done.
	ActionAnswer
	// ActionFail: the leg is done without an answer, see Code and Outcome.
	ActionFail
)

// Action is one thing for the shell to do, in the order given.
type Action struct {
	Kind       ActionKind
	Leg        LegID
	Attempt    ident.AttemptID
	Server     string // name of the backend server
	Hedge      bool   // ActionStart: the attempt is a hedge
	Retry      bool   // ActionStart: the attempt is a retry
	Code       result.Code
	Outcome    result.Outcome // of the whole leg: NotRun only if every attempt was
	RetryAfter time.Duration
}

// AttemptResult is how an attempt ended, as its reply or its failure told.
type AttemptResult struct {
	Outcome    result.Outcome
	Fault      backend.Fault
	Load       backend.Load // valid when HasLoad
	HasLoad    bool
	RetryAfter time.Duration
	// NoRetry: the request may have crashed the server, and would crash the next.
	NoRetry bool
}

// ServerSpec is a backend server of the home's service.
type ServerSpec struct {
	Name        string
	Incarnation uint64
	SameZone    bool
	Leaving     bool
	Slots       int // 0: Config.SlotsPerServer
	Region      string
	// ColdUntil is until when the server has said to be cold after its start.
	ColdUntil time.Time
	// Warmup bounds what the server gets while it is cold.
	Warmup WarmupLimit
}

// WarmupLimit bounds what this home may send to a server while it is cold; the zero value:
// no bound.
type WarmupLimit struct {
	Duration  time.Duration // a server is cold for so long after a start; 0: no bound
	PerSecond int           // starts in any second; 0: none, another host warms it
}

// ClassSpec is a class as the home needs it.
type ClassSpec struct {
	Name          string
	ReservedShare float64
	MaxQueue      int
	// DefaultHedgeDelay is the age at which an attempt is hedged while too little is
	// known of the class's service times; 0: not at all.
	DefaultHedgeDelay time.Duration
}

// Config holds the limits of one home.
type Config struct {
	Service        string
	SlotsPerServer int
	Classes        []ClassSpec
	HedgeBudget    float64 // extra attempts per leg; 0: no hedging
	HedgeQuantile  float64 // of the service time, past which a leg may be hedged
	RetryBudget    float64 // retries per leg; 0: no retries
	MaxQueueBytes  int     // of waiting bodies of all classes; 0: defaultMaxQueueBytes
	// HedgeBurst and RetryBurst are how many hedges and retries may be sent
	// beyond the budgets' rates; 0: hedgeBurst and retryBurst.
	HedgeBurst, RetryBurst float64
	// HedgeInitialFill and RetryStart are the parts of the bursts that are there at the start,
	// 0 to 1.
	HedgeInitialFill, RetryInitialFill float64
	// HedgesPerSecond and RetryRate are how many may be sent a second whatever the load.
	HedgesPerSecond, RetriesPerSecond float64
	// ChargeRefusals makes an attempt after a refusal cost a retry: for
	// services whose operator counts each arrival beyond the first.
	ChargeRefusals bool
	// SlowStartReplies is how many answers a new server gives before it gets as much at
	// once as the others; 0: warmAfter.
	SlowStartReplies int
	// ReserveReportedLoad leaves the slots that the servers report as used by others to
	// them: for services that several hosts send to at once. With a home on one
	// host the report only lags behind what the home knows itself.
	//
	// Load: three hosts send to servers of two slots, above their capacity. Harm
	// prevented: each fills the slots and sends one ahead, and a server's own
	// queue of seven, in the order of arrival, uses up a target of 200 ms. Each
	// host keeps one, so that none is starved by the others.
	ReserveReportedLoad bool
	// AvoidStalled sends nothing to a server that seems stalled while
	// another is healthy, and hedges what runs there.
	AvoidStalled bool
	// LatencyStats is what all homes of this host know together; nil: each learns alone.
	LatencyStats *LatencyStats
	// CrossZonePenaltySeconds is what a hop to another availability zone counts for, in
	// seconds of finish time; 0: zoneCost.
	CrossZonePenaltySeconds float64
}
