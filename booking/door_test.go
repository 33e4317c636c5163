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
	is.Equal(AtDoor(result.Draining, false), result.Draining)
	is.Equal(AtDoor(result.Draining, true), result.OutcomeNotKnown)
	is.Equal(AtDoor(result.Overloaded, true), result.OutcomeNotKnown)
	is.Equal(AtDoor(result.Unauthorized, true), result.Unauthorized)
	is.Equal(AtDoor(result.BookingInProgress, true), result.BookingInProgress)
}
