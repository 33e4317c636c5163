// Package retry limits the extra load of retries and hedges. A budget is earned by
// first attempts and spent by extra ones, so the extra load stays a fixed share
// of the callers' load.
package retry

import "time"

// Budget is a token bucket that is filled by first attempts and, if a rate is set,
// by time. The zero value allows nothing. It is not safe for concurrent use.
//
// When every backend server of a service refuses or is slow, each refusal asks
// for a retry, and unlimited retries keep the servers overloaded after the cause
// is gone.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
	// perSecond is the refill by time, up to refilledAt.
	perSecond  float64
	refilledAt time.Time
}

// NewBudget makes a budget that earns ratio tokens for each first attempt and
// holds at most burst. It starts full, so that the first refusal can be retried.
func NewBudget(ratio, burst float64) Budget {
	if ratio <= 0 {
		return Budget{}
	}
	return Budget{ratio: ratio, burst: burst, tokens: burst}
}

// NewPartialBudget makes a budget that starts with a part of its burst, fillRatio
// from 0 to 1, such as that of a host that may have spent its burst just before a
// restart.
func NewPartialBudget(ratio, burst, fillRatio float64) Budget {
	b := NewBudget(ratio, burst)
	b.tokens *= fillRatio
	return b
}

// SetLimits changes the limits and keeps the tokens that still fit.
func (b *Budget) SetLimits(ratio, burst float64) {
	updated := NewBudget(ratio, burst)
	updated.tokens = min(b.tokens, updated.burst)
	updated.perSecond, updated.refilledAt = b.perSecond, b.refilledAt
	*b = updated
}

// Earn adds the tokens of one first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// SetRefillRate sets the refill by time, in attempts a second. It lets a service
// with few requests use an allowance that is defined per time span: in any span,
// the bucket gives at most its burst and what is refilled meanwhile.
func (b *Budget) SetRefillRate(perSecond float64) { b.perSecond = perSecond }

// Refill adds the tokens for the time since the last call.
func (b *Budget) Refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.tokens+b.perSecond*now.Sub(b.refilledAt).Seconds(), b.burst)
	}
	b.refilledAt = now
}

// CanSpend reports whether an extra attempt is within the budget.
func (b *Budget) CanSpend() bool { return b.tokens >= 1 }

// Spend takes a token for one extra attempt, and reports whether there was one.
func (b *Budget) Spend() bool {
	if !b.CanSpend() {
		return false
	}
	b.tokens--
	return true
}

// FillRatio is the fill level of the bucket, 0 to 1.
func (b *Budget) FillRatio() float64 {
	if b.burst <= 0 {
		return 0
	}
	return b.tokens / b.burst
}
