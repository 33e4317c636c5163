package rollout

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Timeouts and backoff of the operators' commands.
const (
	operatorCallTimeout = 5 * time.Second
	refUpdateTimeout    = time.Second
	operatorMinBackoff  = 100 * time.Millisecond
	operatorMaxBackoff  = 2 * time.Second
)

func newBackoff(first, last time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = last
	b.Reset()
	return b
}

// pause sleeps for d, or returns the context's error if that ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
