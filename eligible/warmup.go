package eligible

import "time"

// Warmup describes how much load the cold backend servers of a service can take.
type Warmup struct {
	// Duration is how long a server counts as cold after its start.
	Duration time.Duration
	// PerSecond is the request rate that a cold server can take; 0 means no limit.
	PerSecond float64
}

// Bounded reports whether the load of cold servers is limited.
func (w Warmup) Bounded() bool { return w.PerSecond > 0 && w.Duration > 0 }

// WarmupTolerance is how far all hosts together may exceed Warmup.PerSecond.
type WarmupTolerance struct {
	Overshoot float64 // factor; below 1 counts as 1
	Slack     float64 // additional requests per second
}

// maxWarmingHosts is the number of hosts that may warm a server at once: the current
// one, and a previous one that hasn't noticed the change yet.
const maxWarmingHosts = 2

// PerHostRate returns how many requests the host that warms a server may send it in any
// second. Only one host warms a server, since the limit divided by all hosts would be
// below one request each.
func (t WarmupTolerance) PerHostRate(w Warmup) int {
	return int((w.PerSecond*max(t.Overshoot, 1) + t.Slack) / maxWarmingHosts)
}

// handoverDelay is how long a host waits before it starts to warm servers: long enough
// for the previous host to notice that it is cut off, plus the second over which
// requests are counted.
const (
	handoverDelay  = contactTimeout + time.Second
	contactTimeout = 1200 * time.Millisecond
)

// PeerContact is what a host knows of the reachability of its peers.
type PeerContact struct {
	// Alone is set if no other host is known.
	Alone bool
	// LastContact is when a peer last answered; zero means never.
	LastContact time.Time
}

// WarmupRole is whether, and since when, this host is the one to warm servers.
type WarmupRole struct{ since time.Time }

// SetAssigned records whether this host is the one to warm servers.
func (r *WarmupRole) SetAssigned(now time.Time, assigned bool) {
	switch {
	case !assigned:
		r.since = time.Time{}
	case r.since.IsZero():
		r.since = now
	}
}

// Reset makes the handover delay start anew, for a change of the servers to warm.
func (r *WarmupRole) Reset() { r.since = time.Time{} }

// MayWarm reports whether this host may warm servers now.
func (r *WarmupRole) MayWarm(now time.Time, contact PeerContact) bool {
	if r.since.IsZero() || now.Sub(r.since) < handoverDelay {
		return false
	}
	if contact.Alone {
		return contact.LastContact.IsZero() // a host that has lost all peers is cut off
	}
	return now.Sub(contact.LastContact) <= contactTimeout
}

// SlidingWindow limits the number of requests to a server in any second. The zero value
// is ready to use.
type SlidingWindow struct {
	sent []time.Time // send times, ascending, at most limit many
}

// slidingWindow is the second that a server is judged by, plus a margin for what timers and
// links may move two requests against each other.
const slidingWindow = 1100 * time.Millisecond

// Record adds a request.
func (w *SlidingWindow) Record(now time.Time, limit int) {
	w.sent = append(w.sent, now)
	if extra := len(w.sent) - max(limit, 1); extra > 0 {
		w.sent = append(w.sent[:0], w.sent[extra:]...)
	}
}

// NextAllowed returns when one more request keeps the limit; the zero time means at
// once. It isn't meaningful for a limit of 0.
func (w *SlidingWindow) NextAllowed(limit int) time.Time {
	if len(w.sent) < limit || limit == 0 {
		return time.Time{}
	}
	return w.sent[len(w.sent)-limit].Add(slidingWindow)
}

// Allows reports whether one more request now keeps the limit.
func (w *SlidingWindow) Allows(now time.Time, limit int) bool {
	return limit > 0 && !now.Before(w.NextAllowed(limit))
}
