package gateway

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/goldcrestspan/goldcrestspan/discover"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

const (
	// minWatchers is how many hosts of a large fleet watch the store, minWatchersPerZone how
	// many of each availability zone: one may be lost without the zone missing changes, and
	// some watch is always about to end and hear what the others were not told.
	minWatchers        = 8
	minWatchersPerZone = 2
	// allWatchMaxHosts is the largest fleet in which all hosts watch the store.
	allWatchMaxHosts = 8
)

// isWatcher reports whether this host watches the store itself. In a large fleet most hosts
// follow the watchers of their zone, since each watch is billed as a store call. A host that
// hears no peer, or has lost half of them, watches for itself.
func (g *Gateway) isWatcher() bool {
	view := g.members.View()
	if len(view.Hosts) <= allWatchMaxHosts || view.Minority || !g.members.Joined() {
		return true
	}
	if g.options.Now().Sub(g.members.LastPeerContact()) > maxPeerSilence {
		return true
	}
	return view.IsWatcher(g.options.Zone, watchersPerZone(view))
}

// newRole returns this host's part in watching a list.
func (g *Gateway) newRole(list member.StoreList, prefix string) *discover.Role {
	return discover.NewRole(discover.RoleConfig{
		List: prefix, Designated: g.isWatcher,
		Rank: func() (rank, candidates int) {
			view := g.members.View()
			return view.SubstituteRank(g.options.Zone, watchersPerZone(view))
		},
		Hosts:        func() int { return len(g.members.View().Hosts) },
		PeersContact: func() time.Time { return g.members.PeersStoreContact(list) },
		OnContact:    func(at time.Time) { g.members.NoteStoreContact(list, at) },
		Now:          g.options.Now, Logger: g.log,
	})
}

// watchLimit bounds the next watch of a list; 0: no bound.
func (g *Gateway) watchLimit(role *discover.Role, list member.StoreList) time.Duration {
	if limit := role.WatchLimit(); limit > 0 || list != member.ListConfig {
		return limit
	}
	return g.configWatchLimit()
}

// watcherCount returns how many hosts watch the store.
func (g *Gateway) watcherCount() int {
	view := g.members.View()
	if len(view.Hosts) <= allWatchMaxHosts {
		return len(view.Hosts)
	}
	zones := make(map[string]int)
	for i := range view.Hosts {
		if view.Hosts[i].Serving() {
			zones[view.Hosts[i].Zone]++
		}
	}
	count, perZone := 0, watchersPerZone(view)
	for _, hosts := range zones {
		count += min(hosts, perZone)
	}
	return count
}

// watchersPerZone returns how many hosts of each availability zone watch the store.
func watchersPerZone(view *member.View) int {
	zones := make(map[string]bool)
	for _, host := range view.Hosts {
		zones[host.Zone] = true
	}
	count := max(len(zones), 1)
	return max(minWatchersPerZone, (minWatchers+count-1)/count)
}

// maxPeerSilence is how long a host goes without an answer of any peer before it watches the
// store itself; it covers two lost probes.
const maxPeerSilence = 1200 * time.Millisecond

// announce tells the peers the store revisions that this host has. Every message between
// hosts carries them, so that a host whose watch silently broke fetches what it missed.
func (g *Gateway) announce() {
	revisions := member.StoreRevisions{
		Servers:     metastore.Revision(g.serversRevision.Load()),
		Evacuations: metastore.Revision(g.evacuationsRevision.Load()),
	}
	if c := g.inForce.Load(); c != nil {
		g.members.AnnounceConfig(uint64(c.revision), nil)
		revisions.ConfigVersion = c.version()
	}
	g.members.AnnounceStore(revisions)
}

// handleConfigUpdate handles the revisions that a peer has announced. It runs on the membership
// control loop.
func (g *Gateway) handleConfigUpdate(update member.ConfigUpdate) {
	if version := update.Store.ConfigVersion; version > 0 {
		g.trackers.config.Announced(g.options.Now(), version, string(update.From))
	}
	peers := g.peersToAsk(update)
	g.servers.Notify(discover.Hint{Peers: peers, Revision: update.Store.Servers})
	if g.evacuationList != nil {
		g.evacuationList.Notify(discover.Hint{Peers: peers, Revision: update.Store.Evacuations})
	}
	g.configs.Notify(discover.Hint{Peers: peers, Revision: metastore.Revision(update.Generation), HasNewerWrites: g.inForce.Load().hasLost(update)})
	// Pass on revisions that are known already without a change.
	raised := raiseIfKnown(g.servers, &g.serversRevision, update.Store.Servers)
	raised = raiseIfKnown(g.evacuationList, &g.evacuationsRevision, update.Store.Evacuations) || raised
	if raised {
		g.announce()
	}
}

// hasLost reports whether the store that this host has listed has lost the peer's
// configuration: the peer's version is higher and its revision is not. A newer configuration
// that has not arrived yet has a higher revision.
func (c *configuration) hasLost(update member.ConfigUpdate) bool {
	return c != nil && c.version() < update.Store.ConfigVersion && metastore.Revision(update.Generation) <= c.revision
}

// raiseIfKnown raises newest to the announced revision if the follower has reached it.
func raiseIfKnown(f *discover.Follower, newest *atomic.Uint64, announced metastore.Revision) bool {
	if f == nil || f.Revision() < announced {
		return false
	}
	newest.Store(max(newest.Load(), uint64(announced)))
	return true
}

// peersToAsk returns the watchers of this host's zone in random order and, last, the sender of
// the update: traffic between zones is billed, and large configurations go to every host.
func (g *Gateway) peersToAsk(update member.ConfigUpdate) []string {
	view := g.members.View()
	watchers := view.Watchers(g.options.Zone, watchersPerZone(view))
	rand.Shuffle(len(watchers), func(i, j int) { watchers[i], watchers[j] = watchers[j], watchers[i] })
	var peers []string
	for _, id := range append(watchers, update.From) {
		host, ok := view.Find(id)
		if ok && id != ident.HostID(g.options.Name) {
			peers = append(peers, host.PeerAddress)
		}
	}
	return peers
}
