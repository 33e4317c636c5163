package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

func carrier(id, zone string, born ident.Incarnation, capacity uint32) member.Host {
	return member.Host{ID: ident.HostID(id), Zone: zone, Incarnation: born, Capacity: capacity}
}

func names(hosts []member.Host) (ids []string) {
	for _, h := range hosts {
		ids = append(ids, string(h.ID))
	}
	return ids
}

// Two zones hold the servers, a third hardly any: one host in each of the two
// carries the traffic, and none in the third.
func TestCarriersStandWhereTheServersAre(t *testing.T) {
	is := is.New(t)
	view := &member.View{Hosts: []member.Host{
		carrier("a1", "a", 5, 400), carrier("a2", "a", 3, 400), carrier("b1", "b", 4, 400), carrier("c1", "c", 1, 400),
	}}
	is.Equal(names(AdvisedHosts(view, map[string]int{"a": 24, "b": 22, "c": 3})), []string{"a2", "b1"})
}

// A large fleet of small hosts has two large ones a zone. Requests must not go
// to a small one because it started a moment earlier.
func TestLargeHostsCarryFirst(t *testing.T) {
	is := is.New(t)
	view := &member.View{Hosts: []member.Host{
		carrier("small", "a", 1, 90), carrier("large", "a", 9, 800), carrier("other", "a", 2, 90),
	}}
	is.Equal(names(AdvisedHosts(view, map[string]int{"a": 5})), []string{"large", "small"})
}

// Hosts that leave or are dead are never advised; one that is suspected only
// when there is no other.
func TestCarriersAreWell(t *testing.T) {
	is := is.New(t)
	suspected, leaving, dead := carrier("s", "a", 1, 400), carrier("l", "a", 2, 400), carrier("d", "a", 3, 400)
	suspected.State, leaving.State, dead.State = member.StateSuspect, member.StateLeaving, member.StateDead
	view := &member.View{Hosts: []member.Host{suspected, leaving, dead, carrier("w", "a", 9, 400), carrier("x", "b", 8, 400)}}
	is.Equal(names(AdvisedHosts(view, map[string]int{"a": 5})), []string{"w", "s"})
}

// The load of the advised hosts rises above a half: one more takes part before
// any of them is full.
func TestBusyCarriersGetHelp(t *testing.T) {
	is := is.New(t)
	a, b := carrier("a1", "a", 1, 400), carrier("b1", "b", 1, 400)
	a.LoadPermille, b.LoadPermille = 700, 500
	view := &member.View{Hosts: []member.Host{a, carrier("a2", "a", 2, 400), b}}
	is.Equal(names(AdvisedHosts(view, map[string]int{"a": 5, "b": 5})), []string{"a1", "b1", "a2"})
}

// No server is known yet: callers still need addresses.
func TestCarriersWithoutServers(t *testing.T) {
	is := is.New(t)
	view := &member.View{Hosts: []member.Host{carrier("a1", "a", 1, 400), carrier("b1", "b", 2, 400), carrier("b2", "b", 3, 400)}}
	is.Equal(names(AdvisedHosts(view, nil)), []string{"a1", "b1"})
}

// Parts cross into an availability zone through one host there: the one that
// carries traffic, so that it knows what runs at the servers, and never one that
// is leaving.
func TestProxyOfAZoneIsItsFirstCarrier(t *testing.T) {
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

// A zone has lost its power, and all of its hosts are suspected. Callers must not be told
// one of them for the seconds in which they may still refute, unless there is no other.
func TestZoneThatMayBeLostIsAdvisedLast(t *testing.T) {
	is := is.New(t)
	lost, also := carrier("a1", "a", 1, 800), carrier("a2", "a", 2, 400)
	lost.State, also.State = member.StateSuspect, member.StateSuspect
	servers := map[string]int{"a": 5, "b": 5, "c": 5}
	view := &member.View{Hosts: []member.Host{lost, also, carrier("b1", "b", 3, 400), carrier("c1", "c", 4, 400)}}
	is.Equal(names(AdvisedHosts(view, servers)), []string{"b1", "c1"})
	half := carrier("a3", "a", 5, 100)
	view.Hosts = append(view.Hosts, half, carrier("a4", "a", 6, 100))
	is.Equal(names(AdvisedHosts(view, servers)), []string{"a3", "b1", "c1"}) // half of it is well
	alone := &member.View{Hosts: []member.Host{lost, also}}
	is.Equal(names(AdvisedHosts(alone, servers)), []string{"a1", "a2"})
}
