// Package member is the gossip membership of entry hosts: which hosts exist, their
// incarnation, state and load. The cost per host does not grow with the fleet.
// Membership is the logic without I/O; Agent runs it over drpc.
//
// No safety property depends on two hosts having the same View.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

// State is the state of an entry host as the local host knows it.
type State uint8

// The states of an entry host. Within one incarnation and refutation a higher
// state overrides a lower one.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
	// StateGone is a confirmed death: the host announced it, or the platform's host
	// list agrees. A View shows it as StateDead.
	StateGone
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead", "gone"}

// String is the state's name in logs, metrics and status.
func (s State) String() string { return stateNames[s] }

// Host is an entry host in a View.
type Host struct {
	ID            ident.HostID
	Incarnation   ident.Incarnation
	PeerAddress   string // IP and port of the peers' listener
	CallerAddress string // IP and port of the callers' listener
	Region        string
	Zone          string // availability zone; its name is unique across regions
	State         State
	// Capacity is the host's capacity in thousandths of a core; 0: unknown.
	Capacity uint32
	// LoadPermille is the load that the host reports, in thousandths.
	LoadPermille uint32
}

// Serving reports whether the host gets new work. A suspect does, since most
// suspicions are refuted.
func (h Host) Serving() bool { return h.State == StateAlive || h.State == StateSuspect }

// View is an immutable snapshot of the membership.
type View struct {
	Self ident.HostID
	// Hosts are sorted by ID and include the local host.
	Hosts []Host
	// LastPeerContact is when a peer last answered; zero: never.
	LastPeerContact time.Time
	// Minority reports that half of the hosts in this host's region or more are dead
	// without confirmation by the platform's host list; see CutOff.
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

// Choose returns the serving host that rendezvous hashing assigns to the key; false if no host
// serves. Hosts with different views may choose different hosts.
func (v *View) Choose(key string) (chosen Host, ok bool) {
	var highest uint64
	var digest xxhash.Digest
	for i := range v.Hosts {
		if !v.Hosts[i].Serving() {
			continue
		}
		digest.Reset()
		_, _ = digest.WriteString(key)
		_, _ = digest.WriteString(string(v.Hosts[i].ID))
		if weight := digest.Sum64(); !ok || weight > highest {
			chosen, highest, ok = v.Hosts[i], weight, true
		}
	}
	return chosen, ok
}

// IsWatcher reports whether the local host is one of the zone's n watchers.
func (v *View) IsWatcher(zone string, n int) bool {
	return slices.Contains(v.Watchers(zone, n), v.Self)
}

// SubstituteRank returns the position of the local host among the serving hosts of the zone that are
// not among its n watchers, and their number; 0 candidates if the local host is none of them. The
// order is that of a hash, which spreads the substitutes over the hosts.
func (v *View) SubstituteRank(zone string, n int) (rank, candidates int) {
	watchers := v.Watchers(zone, n)
	found, own := false, xxhash.Sum64String(string(v.Self))
	for i := range v.Hosts {
		host := &v.Hosts[i]
		if host.Zone != zone || !host.Serving() || slices.Contains(watchers, host.ID) {
			continue
		}
		candidates++
		if host.ID == v.Self {
			found = true
		} else if weight := xxhash.Sum64String(string(host.ID)); weight < own || weight == own && host.ID < v.Self {
			rank++
		}
	}
	if !found {
		return 0, 0
	}
	return rank, candidates
}

// Watchers returns at most n serving hosts of the availability zone that watch the
// platform's store for the others. Rendezvous hashing keeps the choice stable: a
// host that joins or leaves changes at most one watcher. Hosts with different views
// may choose different watchers, which only adds or saves calls to the platform.
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
		watcher := ring.Lookup(zone)
		chosen = append(chosen, ident.HostID(watcher))
		candidates = slices.DeleteFunc(candidates, func(id string) bool { return id == watcher })
	}
	return chosen
}
