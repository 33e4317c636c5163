package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// largeFleet has three large and thirty small hosts in each of seven zones, of which
// a, b and c hold the servers.
func largeFleet() (view *member.View, serversIn map[string]int) {
	view = &member.View{}
	for zone := range 7 {
		name := string(rune('a' + zone))
		for i := range 33 {
			capacity := uint32(192)
			if i < 3 {
				capacity = 800
			}
			view.Hosts = append(view.Hosts, carrier(fmt.Sprintf("%s%02d", name, i), name, ident.Incarnation(i+1), capacity))
		}
	}
	return view, map[string]int{"a": 187, "b": 187, "c": 187, "d": 7, "e": 7, "f": 7, "g": 7}
}

// One host that asks 180 services one after the other is late before the last of them
// is asked. The large hosts near the servers share them; of a root's own zone, where they
// are quick enough, since users pay for each reply that crosses zones.
func TestLargeHostsOfTheOwnZoneShareALargeSearch(t *testing.T) {
	is := is.New(t)
	view, serversIn := largeFleet()
	is.Equal(names(SearchHomes(view, serversIn, 180, "b")), []string{"b00", "b01", "b02"})
	is.Equal(names(SearchHomes(view, serversIn, 270, "a")), []string{"a00", "a01", "a02"})
}

// The same search from a zone without servers, or over more services than three hosts
// can ask in time: the large hosts of all zones that hold servers share it. None goes to
// a small one, for which the search would wait.
func TestLargeHostsOfAllZonesShareWhatOneZoneCannot(t *testing.T) {
	is := is.New(t)
	view, serversIn := largeFleet()
	all := []string{"a00", "a01", "a02", "b00", "b01", "b02", "c00", "c01", "c02"}
	is.Equal(names(SearchHomes(view, serversIn, 180, "d")), all)
	is.Equal(names(SearchHomes(view, serversIn, 450, "a")), all)
	is.Equal(len(SearchHomes(view, serversIn, 70, "d")), 6)
	for i := range view.Hosts {
		view.Hosts[i].Capacity = min(view.Hosts[i].Capacity, 192)
	}
	is.Equal(len(SearchHomes(view, serversIn, 2000, "a")), 99)
}

// A search over a few services costs one host less than the ways between two.
func TestSmallSearchIsNotShared(t *testing.T) {
	is := is.New(t)
	view, serversIn := largeFleet()
	is.Equal(len(SearchHomes(view, serversIn, splitFrom-1, "a")), 0)
	alone := &member.View{Hosts: view.Hosts[:1]}
	is.Equal(len(SearchHomes(alone, serversIn, 180, "a")), 0)
	is.Equal(len(SearchHomes(view, nil, 180, "a")), 0) // no servers are known yet
}

// A home is suspected, or leaves: others of its zone take its services at once. A zone
// that has lost all homes but one gets help from the other zones, and a zone that is lost
// takes a third of the homes with it, not the search.
func TestHomesAreWell(t *testing.T) {
	is := is.New(t)
	view, serversIn := largeFleet()
	view.Hosts[0].State = member.StateLeaving
	is.Equal(names(SearchHomes(view, serversIn, 180, "a")), []string{"a01", "a02"})
	view.Hosts[1].State = member.StateDead
	is.Equal(names(SearchHomes(view, serversIn, 180, "a")), []string{"a02", "b00", "b01", "b02", "c00", "c01", "c02"})
	for i := range view.Hosts {
		if view.Hosts[i].Zone == "b" {
			view.Hosts[i].State = member.StateDead
		}
	}
	is.Equal(names(SearchHomes(view, serversIn, 180, "a")), []string{"a02", "c00", "c01", "c02"})
}

// Guards against a budget that is divided by fewer hosts than spend it: each zone that
// shares searches among its own hosts has a home of its own for each service.
func TestEachZoneThatSharesAloneHasItsOwnHomes(t *testing.T) {
	is := is.New(t)
	view, serversIn := largeFleet()
	is.Equal(HomesPerService(view, serversIn, 180), 3)
	is.Equal(HomesPerService(view, serversIn, 450), 1)
	for zone := range serversIn {
		serversIn[zone] = 187
	}
	is.Equal(HomesPerService(view, serversIn, 180), 7)
	is.Equal(HomesPerService(view, serversIn, splitFrom-1), 0)
}
