package booking

import "github.com/goldcrestspan/goldcrestspan/result"

// RefusalCode is the code that a host may give for a booking that it refuses before
// the desk has seen it: stopping, overloaded, not ready.
//
// Failure: a caller's first sending ran and its answer was lost. It sends again
// to a host that refuses at the door as "not run", takes that for the fate of
// the booking, and books elsewhere: the slot is sold twice. The guard holds
// because a sending that is marked as sent before gets "not run" only from the
// issuer, which knows; anyone else says that the outcome is not known. Faults
// of the request itself keep their code, since sending again mends nothing.
func RefusalCode(code result.Code, resent bool) result.Code {
	if !resent || !code.NotRun() || code.Info().Resend == result.ResendNo {
		return code
	}
	return result.OutcomeNotKnown
}
