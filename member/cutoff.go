package member

import "time"

// Contact says when a host last had contact with its peers and the store.
type Contact struct {
	StartedAt        time.Time // of this process
	LastPeerContact  time.Time // a peer answered a call; zero: never
	LastStoreContact time.Time // the platform's store answered; zero: never
	// Minority is View.Minority.
	Minority bool
}

// CutOff reports whether the host must refuse new requests as not run, because it
// can't learn of a newer configuration. That is so if for the timeout neither the
// store nor a peer has answered a call of this host, or only peers have and half
// of the own region's hosts or more are lost. Requests of peers don't count as
// contact, since they still arrive over a link that works in one direction only.
func CutOff(now time.Time, contact Contact, timeout time.Duration) bool {
	recent := func(at time.Time) bool { return now.Sub(at) <= timeout }
	if recent(contact.LastStoreContact) {
		return false
	}
	if recent(contact.LastPeerContact) && !contact.Minority {
		return false
	}
	return !recent(contact.StartedAt)
}
