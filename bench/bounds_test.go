package bench

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against regressions of the home policy relative to the baselines.
func TestHomePolicyBounds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	bounds, err := LoadBounds()
	is.NoErr(err)
	is.True(len(bounds.Bounds) > 0)
	checker := NewChecker(bounds)
	for _, b := range bounds.Bounds {
		value, err := checker.Check(b)
		if err != nil {
			t.Error(err)
			continue
		}
		t.Logf("%s: %.4f", b, value)
	}
}
