package result

// Outcome says how far one attempt at a backend server got. Whether a caller
// may be told "not run" follows from the outcomes of all attempts.
type Outcome uint8

// The outcomes of an attempt. OutcomeUnknown is the zero value: an attempt of
// which nothing is known must be taken as one that may have run.
const (
	// OutcomeUnknown: sent, and no trustworthy reply came back.
	OutcomeUnknown Outcome = iota
	// OutcomeUnsent: nothing of the attempt left this host.
	OutcomeUnsent
	// OutcomeRefused: the backend server said that it did not start the work.
	OutcomeRefused
	// OutcomeRan: the backend server ran the work and its whole reply arrived.
	OutcomeRan
)

// NotRun reports whether the attempt surely ran nowhere.
func (o Outcome) NotRun() bool { return o == OutcomeUnsent || o == OutcomeRefused }

// String names the outcome as metrics and logs do.
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
