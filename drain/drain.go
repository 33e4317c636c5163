// Package drain implements the phases of an entry host's planned stop. The host leaves the advice
// (the entry hosts that callers are told to use) at once, keeps serving while callers may hold
// older advice, then refuses new work as "not run", finishes what is in flight, and stops in
// bounded time. The time is passed in.
package drain

import "time"

// Phase is the progress of a planned stop.
type Phase uint8

// The phases, in order; a stop never goes back.
const (
	// PhaseServing: no stop was requested.
	PhaseServing Phase = iota
	// PhaseLeaving: no longer advised and no longer the home of a service, but still serving
	// callers with older advice.
	PhaseLeaving
	// PhaseRefusing: new work is refused as "not run", with other hosts named.
	PhaseRefusing
	// PhaseDone: nothing is in flight, or the stop has timed out.
	PhaseDone
)

// String returns the phase's name in status and logs.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "refusing", "done"}[p]
}

// adviceGrace is added to the advice's lifetime for peers that hear of the stop late and for
// connections opened with advice about to expire.
const adviceGrace = time.Second

// Stop is the state of one planned stop.
type Stop struct {
	adviceExpiry time.Time // when no caller holds older advice any more
	deadline     time.Time
}

// Begin starts a planned stop. adviceTTL is how long callers may cache advice; timeout bounds
// the whole stop and must be well above adviceTTL.
func Begin(now time.Time, adviceTTL, timeout time.Duration) *Stop {
	return &Stop{adviceExpiry: now.Add(adviceTTL + adviceGrace), deadline: now.Add(timeout)}
}

// Phase returns the phase at now with inFlight requests and legs; a leg is one shard's part of a
// request. Nothing is refused before older advice has expired, and the listener stays open until
// nothing is in flight: callers that were just advised to use this host would otherwise see refused
// connections, and their half-sent bookings would become unknown.
func (s *Stop) Phase(now time.Time, inFlight int) Phase {
	switch {
	case !now.Before(s.deadline):
		return PhaseDone
	case now.Before(s.adviceExpiry):
		return PhaseLeaving
	case inFlight > 0:
		return PhaseRefusing
	default:
		return PhaseDone
	}
}

// Remaining returns the time until the stop times out.
func (s *Stop) Remaining(now time.Time) time.Duration { return max(s.deadline.Sub(now), 0) }
