package result

// Outcome is how far one attempt at a backend server got. A caller is told "not
// run" only if all attempts of its request have not run.
type Outcome uint8

// The outcomes of an attempt. OutcomeUnknown is the zero value, so that an attempt
// without a known outcome counts as one that may have run.
const (
	// OutcomeUnknown: sent, without a valid reply.
	OutcomeUnknown Outcome = iota
	// OutcomeUnsent: nothing was sent.
	OutcomeUnsent
	// OutcomeRefused: the backend server replied that it did not run the request.
	OutcomeRefused
	// OutcomeRan: the backend server ran the request and its whole reply arrived.
	OutcomeRan
)

// NotRun reports whether the attempt certainly did not run.
func (o Outcome) NotRun() bool { return o == OutcomeUnsent || o == OutcomeRefused }

// String is the name in metrics and logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeUnsent:
		return "unsent"
	case OutcomeRefused:
		return "refused"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}
