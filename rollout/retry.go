package rollout

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Pace of an operator's command against the store. An operator waits in front
// of it, so it tries often at first; the store may be down for long, so it
// soon slows down.
const (
	operatorCallTimeout  = 5 * time.Second
	announceTimeout      = time.Second
	operatorFirstBackoff = 100 * time.Millisecond
	operatorLastBackoff  = 2 * time.Second
)

func newBackoff(first, last time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = last
	b.Reset()
	return b
}

// pause waits, or gives the context's error.
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
