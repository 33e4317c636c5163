package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// largeFleet has three large and thirty small hosts in each of seven zones; zones a, b
// and c have most of the servers.
func largeFleet() (view *member.View, serversIn map[string]int) {
	view = &member.View{}
	for zone := range 7 {
		name := string(rune('a' + zone))
		for i := range 33 {
			capacity := uint32(192)
			if i < 3 {
				capacity = 800
			}
			view.Hosts = append(view.Hosts, newHost(fmt.Sprintf("%s%02d", name, i), name, ident.Incarnation(i+1), capacity))
		}
	}
	return view, map[string]int{"a": 187, "b": 187, "c": 187, "d": 7, "e": 7, "f": 7, "g": 7}
}

// Guards against running a large search on one host, and against crossing zones when
// the coordinating host's own zone has enough capacity.
func TestLargeSearchIsSharedWithinZone(t *testing.T) {
	is := is.New(t)
	view, serversIn := largeFleet()
	is.Equal(hostIDs(SearchHomes(view, serversIn, 180, "b")), []string{"b00", "b01", "b02"})
	is.Equal(hostIDs(SearchHomes(view, serversIn, 270, "a")), []string{"a00", "a01", "a02"})
}

// Guards against overloading the hosts of one zone with a large search, and against
// small hosts that slow it down.
func TestLargeSearchIsSharedAcrossZones(t *testing.T) {
	is := is.New(t)
	view, serversIn := largeFleet()
	all := []string{"a00", "a01", "a02", "b00", "b01", "b02", "c00", "c01", "c02"}
	is.Equal(hostIDs(SearchHomes(view, serversIn, 180, "d")), all)
	is.Equal(hostIDs(SearchHomes(view, serversIn, 450, "a")), all)
	is.Equal(len(SearchHomes(view, serversIn, 70, "d")), 6)
	for i := range view.Hosts {
		view.Hosts[i].Capacity = min(view.Hosts[i].Capacity, 192)
	}
	is.Equal(len(SearchHomes(view, serversIn, 2000, "a")), 99)
}

// Guards against splitting a search that one host runs faster alone.
func TestSmallSearchIsNotSplit(t *testing.T) {
	is := is.New(t)
	view, serversIn := largeFleet()
	is.Equal(len(SearchHomes(view, serversIn, minSplitServices-1, "a")), 0)
	alone := &member.View{Hosts: view.Hosts[:1]}
	is.Equal(len(SearchHomes(alone, serversIn, 180, "a")), 0)
	is.Equal(len(SearchHomes(view, nil, 180, "a")), 0) // no servers known yet
}

// Guards against homes on leaving or dead hosts, and against failing a search with the
// loss of one zone.
func TestSearchHomesAreHealthy(t *testing.T) {
	is := is.New(t)
	view, serversIn := largeFleet()
	view.Hosts[0].State = member.StateLeaving
	is.Equal(hostIDs(SearchHomes(view, serversIn, 180, "a")), []string{"a01", "a02"})
	view.Hosts[1].State = member.StateDead
	is.Equal(hostIDs(SearchHomes(view, serversIn, 180, "a")), []string{"a02", "b00", "b01", "b02", "c00", "c01", "c02"})
	for i := range view.Hosts {
		if view.Hosts[i].Zone == "b" {
			view.Hosts[i].State = member.StateDead
		}
	}
	is.Equal(hostIDs(SearchHomes(view, serversIn, 180, "a")), []string{"a02", "c00", "c01", "c02"})
}

// Guards against dividing a budget by fewer hosts than spend it.
func TestHomesPerService(t *testing.T) {
	is := is.New(t)
	view, serversIn := largeFleet()
	is.Equal(HomesPerService(view, serversIn, 180), 3)
	is.Equal(HomesPerService(view, serversIn, 450), 1)
	for zone := range serversIn {
		serversIn[zone] = 187
	}
	is.Equal(HomesPerService(view, serversIn, 180), 7)
	is.Equal(HomesPerService(view, serversIn, minSplitServices-1), 0)
}
