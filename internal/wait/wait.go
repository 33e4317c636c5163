// Package wait provides waits that end early.
package wait

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHangs is returned by All.
var ErrHangs = errors.New("a part of this process does not end")

// All returns the result of wait, which waits for the parts of a process to end. If it does not
// return within the timeout after stopped has ended, All returns ErrHangs: a part that hangs must not
// keep the process from ending.
func All(stopped context.Context, wait func() error, timeout time.Duration) error {
	ended := make(chan error, 1)
	go func() { ended <- wait() }()
	select {
	case err := <-ended:
		return err
	case <-stopped.Done():
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-ended:
		return err
	case <-timer.C:
		return ErrHangs
	}
}

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
