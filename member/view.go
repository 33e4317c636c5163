// Package member owns the membership of entry hosts: who is there, which life
// of each host, and how much load it carries. It costs each host the same
// whatever the fleet's size. Membership is the pure logic; Agent runs it over drpc.
//
// No safety property leans on two hosts having the same View.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

// State is what the local host believes of another.
type State uint8

// The states of an entry host, in the order in which news of one incarnation
// and refutation overrides older news.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
	// StateGone: dead, and not by the word of probes alone: the host said so
	// itself, or the platform's host list agrees. A View shows it as StateDead.
	StateGone
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead", "gone"}

// String is the state's name in logs, metrics and status.
func (s State) String() string { return stateNames[s] }

// Host is one entry host in a View.
type Host struct {
	ID            ident.HostID
	Incarnation   ident.Incarnation
	PeerAddress   string // IP and port of the peers' listener
	CallerAddress string // IP and port of the callers' listener
	Region        string
	Zone          string // availability zone; its name is unique across regions
	State         State
	// Capacity is what the host can carry, in thousandths of a core; 0: not said.
	Capacity uint32
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
	// PeerHeardAt is when a peer last answered; zero: never.
	PeerHeardAt time.Time
	// Minority reports that half or more of the own region's hosts were lost
	// without the platform's host list confirming it; see CutOff.
	Minority bool
	// Replaced reports that another process runs under this host's ID.
	Replaced bool
}

// Find returns the host with the ID.
func (v *View) Find(id ident.HostID) (Host, bool) {
	i, found := slices.BinarySearchFunc(v.Hosts, id, func(h Host, id ident.HostID) int {
		return strings.Compare(string(h.ID), string(id))
	})
	if !found {
		return Host{}, false
	}
	return v.Hosts[i], true
}

// IsWatcher reports whether the local host is one of the zone's n watchers.
func (v *View) IsWatcher(zone string, n int) bool {
	return slices.Contains(v.Watchers(zone, n), v.Self)
}

// Watchers returns the at most n serving hosts of the availability zone that
// watch the platform's store for the others. Rendezvous hashing keeps the
// choice stable: one host that comes or goes changes at most one watcher.
// While hosts disagree on the members a zone has a few watchers more or
// less, which costs the platform some calls and no promise.
func (v *View) Watchers(zone string, n int) []ident.HostID {
	var candidates []string
	for i := range v.Hosts {
		if v.Hosts[i].Zone == zone && v.Hosts[i].Serving() {
			candidates = append(candidates, string(v.Hosts[i].ID))
		}
	}
	var chosen []ident.HostID
	for len(chosen) < n && len(candidates) > 0 {
		ring := rendezvous.New(candidates, xxhash.Sum64String)
		winner := ring.Lookup(zone)
		chosen = append(chosen, ident.HostID(winner))
		candidates = slices.DeleteFunc(candidates, func(id string) bool { return id == winner })
	}
	return chosen
}
