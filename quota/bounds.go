// Package quota limits the requests of customers over all hosts. Each customer has one grantor,
// the host that holds the token bucket of its limit; each host has an account for each active
// customer, which spends what the grantor issued ahead. The package is pure: the time is passed
// in, and the caller carries the messages.
package quota

import (
	"math"
	"time"
)

const (
	// MaxAhead bounds the whole requests of one grant.
	MaxAhead = 1 << 12
	// CallInterval is the least time between two reports of a host to the same grantor.
	CallInterval = 100 * time.Millisecond
	// CallTimeout bounds a call to a grantor; a request may wait for one.
	CallTimeout = 50 * time.Millisecond
	// minGrantLifetime lets a grant reach the host that asked for it where no overshoot is
	// allowed.
	minGrantLifetime = CallTimeout + 10*time.Millisecond
	// viewDelay is how long hosts may have different views of which host grants: a second until all
	// have learned that a host is lost, and another one if it was not.
	viewDelay = 2 * time.Second
	// maxStall is how long a grantor may have been stopped without losing its place: other hosts
	// need longer to replace it.
	maxStall = time.Second
	// returnHistory is how many peaks of a bucket's level are remembered for returns.
	returnHistory = 24
)

// Bounds are how far all hosts together may exceed a limit: in any window, the requests that run
// are at most (rate x window + burst) x (1 + overshoot) + slack.
//
// The slack is divided: half for the credit of all hosts, a tenth for a deeper bucket, and a
// tenth for each of at most four starts of a grantor within a window. The overshoot is divided
// between the lifetime of grants and two such starts.
type Bounds struct {
	Window    time.Duration
	Overshoot float64 // fraction of the limit
	Slack     float64 // requests
}

// GrantLifetime is how long a grant is valid after the host has asked for it.
func (b Bounds) GrantLifetime() time.Duration {
	return max(time.Duration(b.Overshoot/2*float64(b.Window)), minGrantLifetime)
}

// credit is how many requests a host may admit that no grantor has issued for the moment, if
// that many hosts have credit.
func (b Bounds) credit(hosts int) int {
	if hosts <= 0 {
		return 0
	}
	return int(b.Slack / 2 / float64(hosts))
}

// depth is the capacity of a customer's bucket. The part of the slack makes up for whole
// requests that were issued to other hosts and are not used yet.
func (b Bounds) depth(limit Limit) float64 {
	return max(limit.Burst*(1+b.Overshoot)+b.Slack/10, 1)
}

// startAllowance is the level of a bucket whose grantor has just taken over.
func (b Bounds) startAllowance(limit Limit) float64 {
	extra := limit.PerSecond * b.Overshoot * b.Window.Seconds() / 4
	return min(b.Slack/10+extra, b.depth(limit))
}

// creditDelay is how long a host must have been entitled to credit before it uses some: a window
// then never contains the credit of two sets of hosts.
func (b Bounds) creditDelay() time.Duration { return b.Window + viewDelay }

// retryHorizon bounds how far ahead callers are told to come back.
func (b Bounds) retryHorizon() time.Duration { return 2 * b.Window }

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
