package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

func newHost(id, zone string, incarnation ident.Incarnation, capacity uint32) member.Host {
	return member.Host{ID: ident.HostID(id), Zone: zone, Incarnation: incarnation, Capacity: capacity}
}

func hostIDs(hosts []member.Host) (ids []string) {
	for _, h := range hosts {
		ids = append(ids, string(h.ID))
	}
	return ids
}

// Guards against advised hosts in a zone with hardly any backend servers.
func TestAdvisedHostsAreNearServers(t *testing.T) {
	is := is.New(t)
	view := &member.View{Hosts: []member.Host{
		newHost("a1", "a", 5, 400), newHost("a2", "a", 3, 400), newHost("b1", "b", 4, 400), newHost("c1", "c", 1, 400),
	}}
	is.Equal(hostIDs(AdvisedHosts(view, map[string]int{"a": 24, "b": 22, "c": 3})), []string{"a2", "b1"})
}

// Guards against preferring a small host because it started earlier.
func TestLargeHostsArePreferred(t *testing.T) {
	is := is.New(t)
	view := &member.View{Hosts: []member.Host{
		newHost("small", "a", 1, 90), newHost("large", "a", 9, 800), newHost("other", "a", 2, 90),
	}}
	is.Equal(hostIDs(AdvisedHosts(view, map[string]int{"a": 5})), []string{"large", "small"})
}

// Guards against directing callers to leaving or dead hosts, or to a suspected one
// while there is another.
func TestAdvisedHostsAreHealthy(t *testing.T) {
	is := is.New(t)
	suspected, leaving, dead := newHost("s", "a", 1, 400), newHost("l", "a", 2, 400), newHost("d", "a", 3, 400)
	suspected.State, leaving.State, dead.State = member.StateSuspect, member.StateLeaving, member.StateDead
	view := &member.View{Hosts: []member.Host{suspected, leaving, dead, newHost("w", "a", 9, 400), newHost("x", "b", 8, 400)}}
	is.Equal(hostIDs(AdvisedHosts(view, map[string]int{"a": 5})), []string{"w", "s"})
}

// Guards against advised hosts that get full before another one is added.
func TestAdvisedHostsAreAddedUnderLoad(t *testing.T) {
	is := is.New(t)
	a, b := newHost("a1", "a", 1, 400), newHost("b1", "b", 1, 400)
	a.LoadPermille, b.LoadPermille = 700, 500
	view := &member.View{Hosts: []member.Host{a, newHost("a2", "a", 2, 400), b}}
	is.Equal(hostIDs(AdvisedHosts(view, map[string]int{"a": 5, "b": 5})), []string{"a1", "b1", "a2"})
}

// Guards against advising no hosts while no backend server is known.
func TestAdvisedHostsWithoutServers(t *testing.T) {
	is := is.New(t)
	view := &member.View{Hosts: []member.Host{newHost("a1", "a", 1, 400), newHost("b1", "b", 2, 400), newHost("b2", "b", 3, 400)}}
	is.Equal(hostIDs(AdvisedHosts(view, nil)), []string{"a1", "b1"})
}

// Guards against a proxy that isn't the zone's first advised host, or that is leaving.
func TestProxyIsFirstAdvisedHostOfZone(t *testing.T) {
	is := is.New(t)
	view := &member.View{Hosts: []member.Host{
		{ID: "a1", Zone: "a", Capacity: 100, Incarnation: 1},
		{ID: "a2", Zone: "a", Capacity: 400, Incarnation: 2},
		{ID: "a3", Zone: "a", Capacity: 800, Incarnation: 3, State: member.StateLeaving},
		{ID: "b1", Zone: "b", Capacity: 100, Incarnation: 1, State: member.StateLeaving},
	}}
	proxies := Proxies(view)
	is.Equal(len(proxies), 1)
	is.Equal(proxies["a"].ID, AdvisedHosts(view, map[string]int{"a": 1})[0].ID)
	is.Equal(string(proxies["a"].ID), "a2")
}

// Guards against directing callers to a zone whose hosts are all suspected.
func TestLikelyLostZoneIsAdvisedLast(t *testing.T) {
	is := is.New(t)
	lost, also := newHost("a1", "a", 1, 800), newHost("a2", "a", 2, 400)
	lost.State, also.State = member.StateSuspect, member.StateSuspect
	servers := map[string]int{"a": 5, "b": 5, "c": 5}
	view := &member.View{Hosts: []member.Host{lost, also, newHost("b1", "b", 3, 400), newHost("c1", "c", 4, 400)}}
	is.Equal(hostIDs(AdvisedHosts(view, servers)), []string{"b1", "c1"})
	half := newHost("a3", "a", 5, 100)
	view.Hosts = append(view.Hosts, half, newHost("a4", "a", 6, 100))
	is.Equal(hostIDs(AdvisedHosts(view, servers)), []string{"a3", "b1", "c1"}) // half of its hosts are healthy
	alone := &member.View{Hosts: []member.Host{lost, also}}
	is.Equal(hostIDs(AdvisedHosts(alone, servers)), []string{"a1", "a2"})
}
