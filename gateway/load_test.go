package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// A burst fills a host's processor within a moment, and a lull within it must not
// send the callers back: the load that others hear rises at once and falls slowly.
func TestLoadRisesAtOnceAndFallsSlowly(t *testing.T) {
	is := is.New(t)
	told := easedLoad(0.1, 0.95)
	is.Equal(told, 0.95)
	told = easedLoad(told, 0.2)
	is.True(told > 0.85)
	for range 20 {
		told = easedLoad(told, 0.2)
	}
	is.True(told < 0.35)
}
