package member

import "time"

// Contact is what a host last heard of the world around it.
type Contact struct {
	StartedAt    time.Time // of this process
	PeerHeardAt  time.Time // a peer answered a probe; zero: never
	StoreHeardAt time.Time // the platform's store answered; zero: never
	// Minority is View.Minority.
	Minority bool
}

// CutOff decides whether the host has to refuse new requests as not run.
//
// The failure: a host behind a dead link goes on with the configuration it
// had, while the rest of the fleet has moved on; callers see answers by old
// rules. A host that hears neither the store nor a peer for the time after
// (seconds) can't learn of a newer configuration, so it stops. Only answers
// to own calls count as heard: on a one-way link the peers' probes still come
// in, yet nothing that this host asks for is ever answered.
//
// A store outage alone stops nothing, since the peers are heard. A small island
// of hosts that hear each other but not the store is another matter: it
// would keep each other company for an hour with an old configuration. So
// without the store the peers only count while less than half of the own
// region is lost; a tie stops both halves, and the half that hears the store
// serves on. Hosts of other regions don't count, so that two regions which lose
// each other both serve on.
//
// A process that was paused for longer than after finds itself cut off when it
// resumes, and refuses until the first answer to a call of its own.
func CutOff(now time.Time, contact Contact, after time.Duration) bool {
	fresh := func(heard time.Time) bool { return now.Sub(heard) <= after }
	if fresh(contact.StoreHeardAt) {
		return false
	}
	if fresh(contact.PeerHeardAt) && !contact.Minority {
		return false
	}
	return !fresh(contact.StartedAt)
}
