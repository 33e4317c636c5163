package booking

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// The answer of a booking that ran was lost, and the host that is asked again
// is stopping: "not run" would have the caller book a second time.
func TestDoorSaysNotRunOnlyOfFirstSendings(t *testing.T) {
	is := is.New(t)
	is.Equal(RefusalCode(result.Draining, false), result.Draining)
	is.Equal(RefusalCode(result.Draining, true), result.OutcomeNotKnown)
	is.Equal(RefusalCode(result.Overloaded, true), result.OutcomeNotKnown)
	is.Equal(RefusalCode(result.Unauthorized, true), result.Unauthorized)
	is.Equal(RefusalCode(result.BookingInProgress, true), result.BookingInProgress)
}
