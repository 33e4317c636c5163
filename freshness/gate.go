package freshness

import (
	"slices"
	"sync/atomic"
	"time"
)

// Reason is why a host must not serve by the versions in force.
type Reason string

// The reasons.
const (
	ReasonNone Reason = ""
	// ReasonBehind: a newer version has been known for too long.
	ReasonBehind Reason = "a newer version is known and not in force here"
	// ReasonStopped: this process did not run for so long that a newer version may be due.
	ReasonStopped Reason = "this host stood still, and its version has not been confirmed since"
	// ReasonHung: a control loop, which would put a newer version in force, makes no progress.
	ReasonHung Reason = "a control loop of this host hangs"
)

// Gate decides whether a host may serve by the versions that it has in force. It may while it
// knows no newer one, since it can't tell a store that nobody reaches, where nothing changes,
// from one that it can't reach itself. Contact with the outside is decided elsewhere.
//
// Gate is safe for concurrent use; its decisions wait for no control loop.
type Gate struct {
	limit     time.Duration
	tickedAt  atomic.Int64 // Unix nanoseconds; 0: never
	resumedAt atomic.Int64 // Unix nanoseconds of the end of the last pause; 0: none
}

// NewGate returns a gate for versions that must be in force within a limit after the store has
// acknowledged them. A limit of 0 lets everything pass.
func NewGate(limit time.Duration) *Gate { return &Gate{limit: limit} }

// tolerance is how long a host serves on with a newer version known, and how long a pause may be
// without a confirmation after it: half of the limit, since the version was acknowledged some
// time before this host heard of it.
func (g *Gate) tolerance() time.Duration { return g.limit / 2 }

// TickInterval is how often Tick must be called.
func (g *Gate) TickInterval() time.Duration {
	const ticksPerTolerance = 8
	if g.limit == 0 {
		return time.Second
	}
	return g.tolerance() / ticksPerTolerance
}

// Tick shows that this process runs.
func (g *Gate) Tick(now time.Time) {
	if last := g.tickedAt.Swap(now.UnixNano()); last != 0 && now.Sub(time.Unix(0, last)) > g.tolerance() {
		g.resumedAt.Store(now.UnixNano())
	}
}

// Check returns why the host must not serve now, given the state of the configuration and of what
// else must be in force.
func (g *Gate) Check(now time.Time, config State, others ...State) Reason {
	if g.limit == 0 {
		return ReasonNone
	}
	if g.Late(now, config) || g.Late(now, others...) {
		return ReasonBehind
	}
	if g.mayHaveMissed(now, config) {
		return ReasonStopped
	}
	return ReasonNone
}

// Late reports whether a newer version than one of those in force has been known for too long.
func (g *Gate) Late(now time.Time, states ...State) bool {
	return g.limit > 0 && slices.ContainsFunc(states, func(s State) bool { return s.Behind(now) > g.tolerance() })
}

// CheckLoops returns why the host must not serve, given for how long its control loops have been
// handling their present events.
func (g *Gate) CheckLoops(busy ...time.Duration) Reason {
	if g.limit > 0 && slices.Max(busy) > g.tolerance() {
		return ReasonHung
	}
	return ReasonNone
}

// mayHaveMissed reports whether this process has stood still, and nothing confirmed since then
// that the versions in force were the newest within the limit. Without any confirmation it ends
// after the tolerance: then no host that is heard has reached the store.
func (g *Gate) mayHaveMissed(now time.Time, config State) bool {
	last, resumed := g.tickedAt.Load(), g.resumedAt.Load()
	stopped := last != 0 && now.Sub(time.Unix(0, last)) > g.tolerance()
	resuming := resumed != 0 && now.Sub(time.Unix(0, resumed)) <= g.tolerance()
	if !stopped && !resuming {
		return false
	}
	confirmed := now.Sub(config.Confirmed.At) <= g.limit && config.BehindSince.IsZero()
	return !confirmed
}
