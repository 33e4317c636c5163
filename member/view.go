// Package member owns the membership of entry hosts: who is there, which life
// of each host, and how much load it carries. It costs each host the same
// whatever the fleet's size.
package member

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

// State is what the local host believes of another.
type State uint8

// The states of an entry host, in the order in which news of one incarnation
// overrides older news.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
)

// Host is one entry host in a View.
type Host struct {
	ID            ident.HostID
	Incarnation   ident.Incarnation
	PeerAddress   string // IP and port of the peers' listener
	CallerAddress string // IP and port of the callers' listener
	Region        string
	Zone          string // availability zone
	State         State
	// LoadPermille is the host's own measure of its load, in thousandths.
	LoadPermille uint32
}

// Serving reports whether the host takes new work: a suspect still does,
// since most suspicions are refuted.
func (h Host) Serving() bool { return h.State == StateAlive || h.State == StateSuspect }

// View is the membership at one moment. It is immutable: the control goroutine
// publishes a new one through an atomic pointer, traffic goroutines read it.
type View struct {
	Self ident.HostID
	// Hosts are sorted by ID and hold the local host.
	Hosts []Host
	// PeerHeardAt is when a peer was last heard; zero: never.
	PeerHeardAt time.Time
}

// Find returns the host with the ID.
func (v *View) Find(id ident.HostID) (Host, bool) {
	for i := range v.Hosts {
		if v.Hosts[i].ID == id {
			return v.Hosts[i], true
		}
	}
	return Host{}, false
}
