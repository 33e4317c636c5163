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

func TestTableIsComplete(t *testing.T) {
	is := is.New(t)
	names := make(map[string]bool)
	previous := Code(0)
	for _, info := range Table() {
		is.True(info.Code > previous) // ascending, so there is no duplicate
		previous = info.Code
		is.True(groupTitles[info.Code.Group()] != "")
		is.True(!names[info.Name])
		names[info.Name] = true
		is.True(info.Meaning != "")
		is.True(info.Action != "")
	}
}

// Guards against reading a code of a newer release as an answer or as "not run",
// which could cause a double booking.
func TestUnlistedCodeReadsAsUnknownOutcome(t *testing.T) {
	is := is.New(t)
	is.Equal(Code(999).Info().Code, OutcomeNotKnown)
}

func TestOnlyUnsentAndRefusedAreNotRun(t *testing.T) {
	is := is.New(t)
	var zero Outcome
	is.True(!zero.NotRun()) // without a reply, the attempt may have run
	is.True(!OutcomeRan.NotRun())
	is.True(OutcomeUnsent.NotRun())
	is.True(OutcomeRefused.NotRun())
}
