// Package retry bounds how much extra work retries and hedges may add to what
// callers asked for. A budget is earned by first attempts and spent by extra
// ones, so the extra load stays a fixed share of the load whatever fails.
package retry

import "time"

// Budget is a token bucket that is filled by work, and by time where a limit allows so
// many extra attempts in any span. The zero value allows nothing. It is not safe for
// concurrent use.
//
// Load: a service of which every backend server refuses or is slow. Harm
// prevented: each refusal calls for another attempt, and the attempts keep the
// servers overloaded after the cause is gone. Reason for earning by first
// attempts: the extra load is then at most ratio of the callers' load, also
// when that load is ten times the usual.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
	// perSecond is what is earned without work; passed is until when it was earned.
	perSecond float64
	passed    time.Time
}

// NewBudget makes a budget that earns ratio tokens for each first attempt and
// holds at most burst. It starts full, so that a quiet service can retry its
// first refusal.
func NewBudget(ratio, burst float64) Budget {
	if ratio <= 0 {
		return Budget{}
	}
	return Budget{ratio: ratio, burst: burst, tokens: burst}
}

// NewPartialBudget makes a budget that starts with a part of its burst, 0 to 1: for extra
// work that is not urgent enough to run far ahead of its share, and for hosts that may
// have spent all of it just before they started again.
func NewPartialBudget(ratio, burst, part float64) Budget {
	b := NewBudget(ratio, burst)
	b.tokens *= part
	return b
}

// SetLimits changes the limits and keeps what was earned.
func (b *Budget) SetLimits(ratio, burst float64) {
	next := NewBudget(ratio, burst)
	next.tokens = min(b.tokens, next.burst)
	next.perSecond, next.passed = b.perSecond, b.passed
	*b = next
}

// Earn counts one first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// SetRefillRate sets what is earned by time, in attempts a second.
//
// Load: a service that is asked a few times a second, whose operator allows hundreds
// of extra attempts in any ten seconds. Harm prevented: a budget of work alone hands
// the allowance out once, and then a few attempts a second, while most of it stays
// unused and stragglers are waited for. In any span a bucket gives no more than its
// burst and what is earned meanwhile, so that the two together keep the limit.
func (b *Budget) SetRefillRate(perSecond float64) { b.perSecond = perSecond }

// Refill earns what the time since the last call is worth.
func (b *Budget) Refill(now time.Time) {
	if !b.passed.IsZero() && now.After(b.passed) {
		b.tokens = min(b.tokens+b.perSecond*now.Sub(b.passed).Seconds(), b.burst)
	}
	b.passed = now
}

// CanSpend reports whether one extra attempt could be paid.
func (b *Budget) CanSpend() bool { return b.tokens >= 1 }

// Spend pays for one extra attempt; false: there is nothing to pay it with.
func (b *Budget) Spend() bool {
	if !b.CanSpend() {
		return false
	}
	b.tokens--
	return true
}

// FillRatio is how full the bucket is, from 0 to 1.
func (b *Budget) FillRatio() float64 {
	if b.burst <= 0 {
		return 0
	}
	return b.tokens / b.burst
}
