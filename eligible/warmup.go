package eligible

import "time"

// Warmup is what the backend servers of a service bear while they are cold.
type Warmup struct {
	// Duration is how long a server stays cold after its start.
	Duration time.Duration
	// PerSecond is how many requests a cold server bears a second; 0: no bound.
	PerSecond float64
}

// Bounded reports whether the load of cold servers is bounded.
func (w Warmup) Bounded() bool { return w.PerSecond > 0 && w.Duration > 0 }

// WarmupTolerance are how far all hosts together may go beyond Warmup.PerSecond.
type WarmupTolerance struct {
	Overshoot float64 // factor
	Slack     float64 // requests in a second
}

// warmingHosts is by how many hosts the bound is divided: the one that warms a server,
// and one that still believes to be it, since it is about to be taken for lost.
const warmingHosts = 2

// PerHostRate is how many requests the host that warms a server may send it in any second.
//
// Load: a server comes back cold while hundreds of hosts want to use it. Harm prevented:
// each sends a little, the sum is several times what the server bears, and it crashes
// again. A part for each host would be below one request, and hosts hear of each other's
// sendings too late, so one host sends and the others don't. Limit: half of the bound,
// so that two hosts that both believe to be the one keep it.
func (b WarmupTolerance) PerHostRate(w Warmup) int {
	return int((w.PerSecond*max(b.Overshoot, 1) + b.Slack) / warmingHosts)
}

// handover is how long a host waits before it warms servers after its turn has begun.
//
// Failure: the host that warmed a server before is cut off, and what it has sent in the
// last second, or still sends until it notices, adds to what the next one sends. The
// guard holds because a host that hears no peer for contactWait stops, and the next one
// waits for that and the second that is counted.
const (
	handover    = contactWait + time.Second
	contactWait = 1200 * time.Millisecond
)

// PeerContact is what a host knows of its peers.
type PeerContact struct {
	// Alone: no other host is known.
	Alone bool
	// LastContact is when a peer last answered; zero: never.
	LastContact time.Time
}

// WarmupRole is since when it has been this host's turn to warm servers; zero: it is not.
type WarmupRole struct{ since time.Time }

// SetAssigned notes whether it is this host's turn now.
func (t *WarmupRole) SetAssigned(now time.Time, mine bool) {
	switch {
	case !mine:
		t.since = time.Time{}
	case t.since.IsZero():
		t.since = now
	}
}

// Reset notes that what the turn is for has changed.
func (t *WarmupRole) Reset() { t.since = time.Time{} }

// MayWarm reports whether this host may warm servers now.
func (t *WarmupRole) MayWarm(now time.Time, contact PeerContact) bool {
	if t.since.IsZero() || now.Sub(t.since) < handover {
		return false
	}
	if contact.Alone {
		return contact.LastContact.IsZero() // one that has lost all peers is cut off
	}
	return now.Sub(contact.LastContact) <= contactWait
}

// Starts remembers when requests were sent to a server, as far back as a bound on a
// second needs it. The zero value is ready to use.
type Starts struct {
	at []time.Time // ascending, at most the bound
}

// startsWindow is the span in which starts are counted: the second that the server is
// judged by, and what timers and links may move two sendings against each other.
const startsWindow = 1100 * time.Millisecond

// Note notes a start under the bound.
func (s *Starts) Note(now time.Time, bound int) {
	s.at = append(s.at, now)
	if extra := len(s.at) - max(bound, 1); extra > 0 {
		s.at = append(s.at[:0], s.at[extra:]...)
	}
}

// NextAt is when one more start keeps the bound; the zero time: at once. A bound of 0
// is never kept; see Allows.
func (s *Starts) NextAt(bound int) time.Time {
	if len(s.at) < bound || bound == 0 {
		return time.Time{}
	}
	return s.at[len(s.at)-bound].Add(startsWindow)
}

// Allows reports whether one more start now keeps the bound.
func (s *Starts) Allows(now time.Time, bound int) bool {
	return bound > 0 && !now.Before(s.NextAt(bound))
}
