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

// forecastMargin is how much longer than forecast a request may take that is still let in: times
// scatter, and a request that is given up at the end of the stop may have run for nothing.
const forecastMargin = 1.2

// Admits reports whether a request may start at now although the host stops: it must end before the
// stop does, by its deadline or, with a margin, by its forecast. A refused request is sent elsewhere,
// while one that the stop ends has an unknown outcome. A zero forecast is unknown.
func (s *Stop) Admits(now, deadline time.Time, forecast time.Duration) bool {
	if !deadline.After(s.deadline) {
		return true
	}
	return time.Duration(forecastMargin*float64(forecast)) <= s.Remaining(now)
}

// Remaining returns the time until the stop times out.
func (s *Stop) Remaining(now time.Time) time.Duration { return max(s.deadline.Sub(now), 0) }
