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
// can't learn of a newer configuration: within the timeout neither the store nor a
// peer has answered its calls, or only peers have while it is in a minority. Requests
// from peers are no contact, since they also arrive over a one-way link.
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
