package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	adviceTTL = 10 * time.Second
	timeout   = 45 * time.Second
)

// Guards against refusing callers while they may hold advice that names this host.
func TestServesWhileOldAdviceIsValid(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	stop := Begin(start, adviceTTL, timeout)
	for at := time.Duration(0); at <= adviceTTL; at += 100 * time.Millisecond {
		is.Equal(stop.Phase(start.Add(at), 0), PhaseLeaving)
	}
	is.Equal(stop.Phase(start.Add(adviceTTL+adviceGrace), 0), PhaseDone)
}

// Guards against a stop that cuts off work in flight, or never ends because of it.
func TestWaitsForWorkInFlightUntilTimeout(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	stop := Begin(start, adviceTTL, timeout)
	is.Equal(stop.Phase(start.Add(20*time.Second), 1), PhaseRefusing)
	is.Equal(stop.Phase(start.Add(21*time.Second), 0), PhaseDone)
	is.Equal(stop.Phase(start.Add(timeout), 1), PhaseDone)
	is.Equal(stop.Remaining(start.Add(timeout+time.Second)), time.Duration(0))
}

// Guards against requests that are taken late in a stop and ended with it, although another host
// could run them.
func TestRequestsThatOutlastAStopAreNotAdmitted(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	stop := Begin(start, adviceTTL, timeout)
	end := start.Add(timeout)
	late := end.Add(time.Second) // deadline of a request
	is.True(stop.Admits(start, late, 10*time.Second))
	is.True(stop.Admits(end.Add(-3*time.Second), late, 2*time.Second))
	is.True(!stop.Admits(end.Add(-2300*time.Millisecond), late, 2*time.Second))
	is.True(stop.Admits(end.Add(-time.Second), end, 2*time.Second)) // its deadline ends it in time
	is.True(stop.Admits(end.Add(-time.Second), late, 0))            // nothing is known of its time
	is.True(!stop.Admits(end.Add(time.Second), late, time.Millisecond))
}
