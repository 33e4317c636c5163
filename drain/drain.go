// Package drain owns the planned stop of an entry host: it leaves the advice
// at once, serves on for as long as callers may keep old advice, then refuses
// new work as "not run", lets what is in flight finish, and exits in bounded
// time. It is pure; the host passes the time in.
package drain

import "time"

// Phase is how far a planned stop has come.
type Phase uint8

// The phases, in order; none is ever left backwards.
const (
	// PhaseServing: no stop was asked for.
	PhaseServing Phase = iota
	// PhaseLeaving: out of the advice and no home any more, but still serving,
	// since callers keep old advice.
	PhaseLeaving
	// PhaseRefusing: new work is refused as "not run", with other hosts named.
	PhaseRefusing
	// PhaseDone: nothing is in flight, or the limit has passed.
	PhaseDone
)

// String names the phase as status and logs do.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "refusing", "done"}[p]
}

// handover is how long after the advice's time a host goes on serving: one way
// of news to the last peer that still sends legs, and a caller's connection
// that was opened in the advice's last moment.
const handover = time.Second

// Stop is the state of one planned stop.
type Stop struct {
	adviceBy time.Time // the last moment a caller may still follow old advice
	limit    time.Time
}

// Begin starts a planned stop. keep is how long callers may keep advice; limit
// bounds the whole stop, and must be well over keep.
func Begin(now time.Time, keep, limit time.Duration) *Stop {
	return &Stop{adviceBy: now.Add(keep + handover), limit: now.Add(limit)}
}

// Phase tells the phase at now with so many requests and legs in flight.
//
// Failure: a host that closes its listener when it is told to stop cuts off
// callers that were advised to use it a moment ago; they see refused
// connections, and half-sent bookings become unknown. The guard holds because
// no advice names the host from Begin on, old advice lapses before anything is
// refused, and the listener stays open until nothing is in flight.
func (s *Stop) Phase(now time.Time, inFlight int) Phase {
	switch {
	case !now.Before(s.limit):
		return PhaseDone
	case now.Before(s.adviceBy):
		return PhaseLeaving
	case inFlight > 0:
		return PhaseRefusing
	default:
		return PhaseDone
	}
}

// Remaining is how long the stop can still take at most.
func (s *Stop) Remaining(now time.Time) time.Duration { return max(s.limit.Sub(now), 0) }
