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
	// fewestWatchers hosts of a large fleet watch the store, and of each
	// availability zone leastWatchers: one may be lost without the zone going
	// blind, and some watch always is about to end and to hear what the others
	// were not told.
	fewestWatchers = 8
	leastWatchers  = 2
	// watchAllUpTo is the size of a fleet in which all hosts do.
	watchAllUpTo = 8
)

// watches tells whether this host watches the store itself. In a large fleet
// most follow the watchers of their zone: each change would otherwise wake
// every host's watch, and each of these is a call to the store. A host that
// hears no peer, or has lost half of them, watches for itself.
func (g *Gateway) watches() bool {
	view := g.members.View()
	if len(view.Hosts) <= watchAllUpTo || view.Minority || !g.members.Joined() {
		return true
	}
	if g.options.Now().Sub(g.members.LastPeerContact()) > peerSilence {
		return true
	}
	return view.IsWatcher(g.options.Zone, watchersPerZone(view))
}

// watchers is how many hosts watch the store.
func (g *Gateway) watchers() int {
	view := g.members.View()
	if len(view.Hosts) <= watchAllUpTo {
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

// watchersPerZone is how many hosts of each availability zone watch the store.
func watchersPerZone(view *member.View) int {
	zones := make(map[string]bool)
	for _, host := range view.Hosts {
		zones[host.Zone] = true
	}
	count := max(len(zones), 1)
	return max(leastWatchers, (fewestWatchers+count-1)/count)
}

// peerSilence is how long no peer may answer before a host watches itself: two
// of the probes that it sends each half second were lost.
const peerSilence = 1200 * time.Millisecond

// announce tells the peers how new this host's knowledge is.
//
// Failure: a host's watch has lost its other end, or the store turns the host
// away. It shows as nothing at all: the host serves on with what it knew. The
// guard holds because every message between hosts carries these revisions, so
// one host that hears the store makes all others ask.
func (g *Gateway) announce() {
	known := member.StoreRevisions{
		Servers:     metastore.Revision(g.serversAt.Load()),
		Evacuations: metastore.Revision(g.evacuationsAt.Load()),
	}
	if c := g.inForce.Load(); c != nil {
		g.members.AnnounceConfig(uint64(c.revision), nil)
		known.ConfigVersion = c.version()
	}
	g.members.AnnounceStore(known)
}

// heardNews hears what a peer knows; it runs on the members' control loop.
func (g *Gateway) heardNews(news member.ConfigUpdate) {
	peers := g.peersToAsk(news)
	g.servers.Notify(discover.Hint{Peers: peers, Revision: news.Store.Servers})
	if g.evacuationList != nil {
		g.evacuationList.Notify(discover.Hint{Peers: peers, Revision: news.Store.Evacuations})
	}
	g.configs.Notify(discover.Hint{Peers: peers, Revision: metastore.Revision(news.Generation), HasNewerWrites: g.inForce.Load().hasLost(news)})
	// What is known already, without a change, is told on.
	known := noteKnown(g.servers, &g.serversAt, news.Store.Servers)
	known = noteKnown(g.evacuationList, &g.evacuationsAt, news.Store.Evacuations) || known
	if known {
		g.announce()
	}
}

// hasLost reports whether the store that this host has listed has lost the peer's
// configuration: its version is the higher one, and its revision is not. A newer
// configuration that is on its way has a higher revision.
func (c *configuration) hasLost(news member.ConfigUpdate) bool {
	return c != nil && c.version() < news.Store.ConfigVersion && metastore.Revision(news.Generation) <= c.revision
}

// noteKnown raises the revision of the newest change to the one told if the follower
// knows that already.
func noteKnown(f *discover.Follower, newest *atomic.Uint64, told metastore.Revision) bool {
	if f == nil || f.Revision() < told {
		return false
	}
	newest.Store(max(newest.Load(), uint64(told)))
	return true
}

// peersToAsk are the watchers of the own zone, in any order, and last the host
// that told the news: bytes between zones are dear, and a configuration of a
// thousand routes goes to every host.
func (g *Gateway) peersToAsk(news member.ConfigUpdate) []string {
	view := g.members.View()
	watchers := view.Watchers(g.options.Zone, watchersPerZone(view))
	rand.Shuffle(len(watchers), func(i, j int) { watchers[i], watchers[j] = watchers[j], watchers[i] })
	var peers []string
	for _, id := range append(watchers, news.From) {
		host, ok := view.Find(id)
		if ok && id != ident.HostID(g.options.Name) {
			peers = append(peers, host.PeerAddress)
		}
	}
	return peers
}
