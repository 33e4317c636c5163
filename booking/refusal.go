package booking

import "github.com/goldcrestspan/goldcrestspan/result"

// RefusalCode returns the code for a booking that a host refuses before its
// Executor has seen it, for example because the host is overloaded. For a
// resent request "not run" becomes OutcomeNotKnown: the earlier request may
// have run, and the caller would book a second time. Codes that rule out a
// retry stay.
func RefusalCode(code result.Code, resent bool) result.Code {
	if !resent || !code.NotRun() || code.Info().Resend == result.ResendNo {
		return code
	}
	return result.OutcomeNotKnown
}
