package metastore

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against changes after a restore that are ordered before those from before it.
func TestRevisionsOrderChangesAcrossRestores(t *testing.T) {
	is := is.New(t)
	before, err := NewRevision(1, 63)
	is.NoErr(err)
	after, err := NewRevision(2, 50)
	is.NoErr(err)
	is.True(after > before)
	is.Equal(after.Era(), uint64(2))
	is.Equal(after.Counter(), uint64(50))
	is.Equal(after.String(), "2/50")
}

// Guards against a counter that overflows into the era.
func TestRevisionOutOfRangeIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := NewRevision(0, maxCounter+1)
	is.True(err != nil)
	_, err = NewRevision(maxEra+1, 0)
	is.True(err != nil)
}
