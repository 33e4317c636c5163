package booking

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/result"
)

// "Not run" for a resent request whose earlier request may have run would make
// the caller book twice.
func TestRefusalCodeOfResentRequests(t *testing.T) {
	is := is.New(t)
	is.Equal(RefusalCode(result.Draining, false), result.Draining)
	is.Equal(RefusalCode(result.Draining, true), result.OutcomeNotKnown)
	is.Equal(RefusalCode(result.Overloaded, true), result.OutcomeNotKnown)
	is.Equal(RefusalCode(result.Unauthorized, true), result.Unauthorized)
	is.Equal(RefusalCode(result.BookingInProgress, true), result.BookingInProgress)
}
