package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	keep  = 10 * time.Second
	limit = 45 * time.Second
)

// A screen asked for hosts just before this host was told to stop, and sends
// its query nine seconds later. It must be served: the host may refuse only
// once no caller can still hold advice that names it.
func TestServesWhileOldAdviceIsKept(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	stop := Begin(start, keep, limit)
	for at := time.Duration(0); at <= keep; at += 100 * time.Millisecond {
		is.Equal(stop.Phase(start.Add(at), 0), PhaseLeaving)
	}
	is.Equal(stop.Phase(start.Add(keep+handover), 0), PhaseDone)
}

// An archive export is still running when old advice has lapsed. The host
// refuses new work and waits for it; if it never ends, the stop still does.
func TestWaitsForWorkInFlightButNotForever(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	stop := Begin(start, keep, limit)
	is.Equal(stop.Phase(start.Add(20*time.Second), 1), PhaseRefusing)
	is.Equal(stop.Phase(start.Add(21*time.Second), 0), PhaseDone)
	is.Equal(stop.Phase(start.Add(limit), 1), PhaseDone)
	is.Equal(stop.Remaining(start.Add(limit+time.Second)), time.Duration(0))
}
