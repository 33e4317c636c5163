package result

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestDocumentIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/result-codes.md")
	is.NoErr(err)
	is.Equal(string(page), Markdown()) // run: go run ./cmd/goldcrestspan result-codes > docs/result-codes.md
}

func TestTableIsWhole(t *testing.T) {
	is := is.New(t)
	names := make(map[string]bool)
	last := Code(0)
	for _, info := range Table() {
		is.True(info.Code > last) // ascending, so none stands twice
		last = info.Code
		is.True(groupTitles[info.Code.Group()] != "")
		is.True(!names[info.Name])
		names[info.Name] = true
		is.True(info.Meaning != "")
		is.True(info.Action != "")
	}
}

// A client library meets a code of a newer release. It must not take it for an
// answer, nor for "not run": the caller would book twice.
func TestUnlistedCodeClaimsNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(Code(999).Info().Code, OutcomeNotKnown)
}

func TestOnlyProvenOutcomesAreNotRun(t *testing.T) {
	is := is.New(t)
	var zero Outcome
	is.True(!zero.NotRun()) // of an attempt without a word nothing is claimed
	is.True(!OutcomeRan.NotRun())
	is.True(OutcomeUnsent.NotRun())
	is.True(OutcomeRefused.NotRun())
}
