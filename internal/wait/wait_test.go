package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
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
