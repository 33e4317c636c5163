// Package wait provides a sleep that ends early with its context.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether d passed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
