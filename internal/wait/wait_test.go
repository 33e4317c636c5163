package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestForEndsAfterDurationOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		is.True(For(ctx, time.Second))
		is.Equal(time.Since(start), time.Second)
		is.True(!For(ctx, time.Hour))
		is.Equal(time.Since(start), time.Minute)
		is.True(!For(ctx, 0)) // the context has ended
		is.True(For(t.Context(), 0))
	})
}

// Guards against a process that does not end on SIGTERM because one of its control loops hangs.
func TestAllEndsAlthoughAPartHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stopped, stop := context.WithCancel(t.Context())
		hangs := make(chan struct{})
		defer close(hangs)
		time.AfterFunc(time.Minute, stop)
		start := time.Now()
		err := All(stopped, func() error { <-hangs; return nil }, time.Second)
		is.Equal(err, ErrHangs)
		is.Equal(time.Since(start), time.Minute+time.Second)
		failure := errors.New("failed")
		is.Equal(All(t.Context(), func() error { return failure }, time.Second), failure)
	})
}
