package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a short lull within a burst that moves callers back: the reported load rises
// at once and falls gradually.
func TestReportedLoadRisesAtOnceAndFallsGradually(t *testing.T) {
	is := is.New(t)
	reported := smoothedLoad(0.1, 0.95)
	is.Equal(reported, 0.95)
	reported = smoothedLoad(reported, 0.2)
	is.True(reported > 0.85)
	for range 20 {
		reported = smoothedLoad(reported, 0.2)
	}
	is.True(reported < 0.35)
}
