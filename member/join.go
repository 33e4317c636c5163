package member

import "time"

const (
	// initialJoinDelay is the first delay before the seeds are asked again; it
	// doubles up to Config.ReconnectInterval. Hosts of a fleet that starts are up within
	// 0.3 s of each other.
	initialJoinDelay = 150 * time.Millisecond
	// joinRecheckDelay is the delay between the first complete view and the check
	// whether the fleet has grown since.
	joinRecheckDelay = 500 * time.Millisecond
	// joinRecheckGrowth is the growth factor above which the view is requested again.
	joinRecheckGrowth = 1.1
)

// joinState tracks how this host joins the fleet. When a whole fleet starts at
// once, the first seed that answers knows few hosts, so the view is requested again
// if the fleet has grown shortly afterwards.
type joinState struct {
	attempts    int       // requests to the seeds so far
	knownAtJoin int       // hosts in the first complete view
	recheckAt   time.Time // when to check for growth; zero: done
}

// begin records the first complete view.
func (j *joinState) begin(now time.Time, known int) {
	j.knownAtJoin = known
	j.recheckAt = now.Add(joinRecheckDelay)
}

// resyncDue reports, at most once, that the view should be requested again.
func (j *joinState) resyncDue(now time.Time, known int) bool {
	if j.recheckAt.IsZero() || now.Before(j.recheckAt) {
		return false
	}
	j.recheckAt = time.Time{}
	return float64(known) > joinRecheckGrowth*float64(j.knownAtJoin)
}

// reconnectDelay is the delay before the next attempt to reach a dead host or,
// before this host has joined, the seeds.
func (m *Membership) reconnectDelay() time.Duration {
	if m.joined {
		return m.config.ReconnectInterval
	}
	delay := min(initialJoinDelay<<m.joining.attempts, m.config.ReconnectInterval)
	m.joining.attempts = min(m.joining.attempts+1, maxJoinAttempts)
	return delay
}

// maxJoinAttempts keeps the doubled delay from overflowing.
const maxJoinAttempts = 8
