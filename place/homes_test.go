package place

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

var zones = []Location{{"jadran", "split-a"}, {"jadran", "split-b"}, {"jadran", "rijeka-c"}}

func viewOf(hosts int) *member.View {
	view := &member.View{Self: "entry-00"}
	for i := range hosts {
		at := zones[i%len(zones)]
		view.Hosts = append(view.Hosts, member.Host{
			ID: ident.HostID(fmt.Sprintf("entry-%02d", i)), Region: at.Region, Zone: at.Zone,
		})
	}
	return view
}

func servicesOf(n int) []Service {
	services := make([]Service, n)
	for i := range services {
		services[i] = Service{
			Name:      fmt.Sprintf("booking-desk-%02d", i),
			Locations: []Location{zones[i%3], zones[(i+1)%3]},
		}
	}
	return services
}

func TestHomesPerHostAreLimited(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{1, 2, 6, 7, 40} {
		homes := New(viewOf(hosts), servicesOf(50))
		counts := make(map[ident.HostID]int)
		for _, s := range servicesOf(50) {
			first, _ := homes.Lookup(s.Name)
			counts[first]++
		}
		for host, n := range counts {
			is.True(n <= maxServices(50, hosts)) // limit per host
			is.True(host != "")
		}
	}
}

// Guards against a home and its fallback that fail together with one zone.
func TestFallbackIsInAnotherZone(t *testing.T) {
	is := is.New(t)
	view := viewOf(7)
	homes := New(view, servicesOf(50))
	for _, s := range servicesOf(50) {
		first, second := homes.Lookup(s.Name)
		a, _ := view.Find(first)
		b, _ := view.Find(second)
		is.True(a.Zone != b.Zone)
	}
}

func TestHomesAreMostlyNearServers(t *testing.T) {
	is := is.New(t)
	view := viewOf(7)
	homes := New(view, servicesOf(50))
	near := 0
	for _, s := range servicesOf(50) {
		first, _ := homes.Lookup(s.Name)
		host, _ := view.Find(first)
		if host.Zone == s.Locations[0].Zone || host.Zone == s.Locations[1].Zone {
			near++
		}
	}
	is.True(near >= 45) // of 50 services
}

// Guards against moving services, with their warm connections and measurements, of
// hosts that weren't lost.
func TestLosingAHostMovesFewOtherServices(t *testing.T) {
	is := is.New(t)
	services := servicesOf(50)
	full := viewOf(7)
	before := New(full, services)
	for lost := range full.Hosts {
		view := viewOf(7)
		view.Hosts[lost].State = member.StateDead
		after := New(view, services)
		others := 0
		for _, s := range services {
			oldHome, _ := before.Lookup(s.Name)
			newHome, _ := after.Lookup(s.Name)
			is.True(newHome != full.Hosts[lost].ID)
			if oldHome != full.Hosts[lost].ID && newHome != oldHome {
				others++
			}
		}
		is.True(others <= 10) // of 50
	}
}

func TestOrderOfServicesDoesNotMatter(t *testing.T) {
	is := is.New(t)
	services := servicesOf(50)
	reversed := make([]Service, len(services))
	for i, s := range services {
		reversed[len(services)-1-i] = s
	}
	a, b := New(viewOf(7), services), New(viewOf(7), reversed)
	is.Equal(a.byService, b.byService)
}

func TestLeavingHostsAreNotHomes(t *testing.T) {
	is := is.New(t)
	view := viewOf(3)
	view.Hosts[1].State = member.StateLeaving
	homes := New(view, servicesOf(20))
	for _, s := range servicesOf(20) {
		first, second := homes.Lookup(s.Name)
		is.True(first != "entry-01" && second != "entry-01")
	}
	first, second := New(&member.View{}, servicesOf(1)).Lookup("booking-desk-00")
	is.Equal(first, ident.HostID(""))
	is.Equal(second, ident.HostID(""))
}

func TestCacheReplacesHomesOnlyWhenHostsChange(t *testing.T) {
	is := is.New(t)
	var cache Cache
	services := servicesOf(20)
	homes := cache.Homes(viewOf(5), services)

	busier := viewOf(5)
	busier.Hosts[2].LoadPermille = 900
	is.True(cache.Homes(busier, services) == homes)

	fewer := viewOf(5)
	fewer.Hosts[2].State = member.StateDead
	is.True(cache.Homes(fewer, services) != homes)
}

func BenchmarkNew(b *testing.B) {
	view := &member.View{}
	for i := range 3400 {
		at := Location{Region: fmt.Sprint(i % 2), Zone: fmt.Sprint(i % 8)}
		view.Hosts = append(view.Hosts, member.Host{ID: ident.HostID(fmt.Sprintf("entry-%04d", i)), Region: at.Region, Zone: at.Zone})
	}
	services := make([]Service, 10500)
	for i := range services {
		services[i].Name = fmt.Sprintf("service-%05d", i)
		for _, zone := range []int{i % 8, (i + 2) % 8} {
			services[i].Locations = append(services[i].Locations, Location{Region: fmt.Sprint(zone % 2), Zone: fmt.Sprint(zone)})
		}
	}
	for b.Loop() {
		New(view, services)
	}
}
