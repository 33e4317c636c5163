// Package home makes the scheduling decisions of a service's home: the entry host that
// counts the slots of the service's backend servers, queues legs, places each on a
// server, hedges and retries. It does no I/O and reads no clock: the time is passed in,
// and what has to be done is returned as actions.
//
// While membership views differ, two hosts may act as the home of a service at once.
// They overcommit the servers for a moment, and the servers shed the excess;
// correctness doesn't depend on a single home.
package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// LegID identifies a leg at this home.
type LegID uint64

// Leg is one shard's part of a request.
type Leg struct {
	ID          LegID
	Request     ident.RequestID // breaks ties between equal deadlines
	Class       int             // index into Config.Classes
	Caller      string
	Deadline    time.Time
	Idempotent  bool
	Fingerprint uint64
	Bytes       int // size of the body, counted against Config.MaxQueueBytes
	// SoftDeadline is the time after which the answer has lost most of its value; zero
	// means the deadline. Waiting legs are ordered by it, and a leg that can't meet it
	// any more goes behind those that can.
	SoftDeadline time.Time
	// Optional is set if the query can be answered without this leg.
	Optional bool
	// MaxServers limits the number of servers that may run the leg; 0 means no limit.
	MaxServers int
	// ReservedServer names a server that may run the leg for another host. If MaxServers is
	// set, all other servers together may be one less; empty means that there is none.
	ReservedServer string
	// PinnedServer names the only server that may run the leg; empty means any.
	PinnedServer string
	// Regions are the regions whose servers may run the leg; empty means any.
	Regions []string
	// Forwarded is set for requests passed through as received. If idempotent, they are
	// retried on another server even after a server ran them and failed.
	Forwarded bool
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionStart sends the leg to Server as Attempt.
	ActionStart ActionKind = iota
	// ActionCancel cancels Attempt; its end must still be reported through Finish.
	ActionCancel
	// ActionAnswer completes the leg with the reply of Attempt.
	ActionAnswer
	// ActionFail completes the leg without an answer; see Code and Outcome.
	ActionFail
)

// Action is one step for the caller to carry out. Actions are carried out in order.
type Action struct {
	Kind       ActionKind
	Leg        LegID
	Attempt    ident.AttemptID
	Server     string // name of the backend server
	Hedge      bool   // ActionStart: the attempt is a hedge
	Retry      bool   // ActionStart: the attempt is a retry
	Code       result.Code
	Outcome    result.Outcome // of the whole leg; NotRun only if no attempt ran
	RetryAfter time.Duration
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome    result.Outcome
	Fault      backend.Fault
	Load       backend.Load // valid if HasLoad
	HasLoad    bool
	RetryAfter time.Duration
	// NoRetry is set for a request suspected of having crashed the server.
	NoRetry bool
}

// ServerSpec describes a backend server of the home's service.
type ServerSpec struct {
	Name        string
	Incarnation uint64
	SameZone    bool
	Leaving     bool
	Slots       int // 0 means Config.SlotsPerServer
	Region      string
	// ColdUntil is the end of the cold period that the server reported at its start.
	ColdUntil time.Time
	// Warmup limits the requests to the server while it is cold.
	Warmup WarmupLimit
}

// WarmupLimit limits what this home sends to a server while it is cold. The zero value
// is no limit.
type WarmupLimit struct {
	Duration  time.Duration // time for which a server counts as cold after its start; 0 means no limit
	PerSecond int           // attempts in any second; 0 means none, another host warms the server
}

// ClassSpec configures one class of legs.
type ClassSpec struct {
	Name          string
	ReservedShare float64
	MaxQueue      int
	// DefaultHedgeDelay is the hedge delay used until the class's service times are
	// known; 0 disables hedging until then.
	DefaultHedgeDelay time.Duration
}

// Config holds the limits of a home.
type Config struct {
	Service        string
	SlotsPerServer int
	Classes        []ClassSpec
	HedgeBudget    float64 // hedges per leg; 0 disables hedging
	HedgeQuantile  float64 // quantile of the service time after which a leg may be hedged
	RetryBudget    float64 // retries per leg; 0 disables retries
	MaxQueueBytes  int     // total size of the waiting bodies; 0 means defaultMaxQueueBytes
	// HedgeBurst and RetryBurst are the burst sizes of the hedge and retry budgets; 0
	// means defaultHedgeBurst and defaultRetryBurst.
	HedgeBurst, RetryBurst float64
	// HedgeInitialFill and RetryInitialFill are the fractions of the bursts available
	// at the start, from 0 to 1.
	HedgeInitialFill, RetryInitialFill float64
	// HedgesPerSecond and RetriesPerSecond are the hedges and retries per second that
	// are allowed whatever the load.
	HedgesPerSecond, RetriesPerSecond float64
	// ChargeRefusals charges the retry budget also for an attempt after a refusal, for
	// services that count every request they receive.
	ChargeRefusals bool
	// SlowStartReplies is the number of answers after which a new server gets its full
	// concurrency; 0 means defaultSlowStartReplies.
	SlowStartReplies int
	// ReserveReportedLoad leaves the slots that the servers report as used by other
	// hosts to those, for services that several hosts send to at once. At least one
	// slot per server stays usable, so that no host is starved. Otherwise each host would
	// fill the slots under overload, and the servers' own queues, in the order of arrival,
	// use up the time to the soft deadline.
	ReserveReportedLoad bool
	// AvoidStalled sends nothing to a server that seems stalled while another is
	// healthy, and hedges the attempts that run on it.
	AvoidStalled bool
	// LatencyStats holds the service times observed by all homes of this host; nil
	// means that each home uses only its own.
	LatencyStats *LatencyStats
	// CrossZonePenaltySeconds is added to the expected finish time on a server of
	// another availability zone, in seconds; 0 means defaultCrossZonePenaltySeconds.
	CrossZonePenaltySeconds float64
}
