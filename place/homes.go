// Package place decides which entry host is the home of each service: the one
// that holds most connections to the service's backend servers, counts their
// slots and keeps their queue. The decision is a pure function of the
// membership view and the services, so hosts with the same view agree without
// a message between them. While views differ two hosts may both act as a home;
// that over-commits the backend servers for a moment, and they shed.
package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// loadBound is how far above the mean number of services one host may be.
//
// Load: 50 services over 7 hosts, where plain rendezvous hashing gives the
// busiest host 1.7 times the mean. Harm prevented: that host's processor and
// connections saturate first and set the tail of every query. Reason for 1.25:
// a lower bound makes more services change home when a host comes or goes.
const loadBound = 1.25

// Location is an availability zone of a region.
type Location struct {
	Region string
	Zone   string
}

// Service is a service and the availability zones of its backend servers.
type Service struct {
	Name      string
	Locations []Location
}

// Services groups backend servers by service, sorted by name.
func Services(servers []backend.Server) []Service {
	byName := make(map[string][]Location)
	for _, server := range servers {
		at := Location{Region: server.Region, Zone: server.Zone}
		if !slices.Contains(byName[server.Service], at) {
			byName[server.Service] = append(byName[server.Service], at)
		}
	}
	services := make([]Service, 0, len(byName))
	for name, locations := range byName {
		slices.SortFunc(locations, compareLocations)
		services = append(services, Service{Name: name, Locations: locations})
	}
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

func compareLocations(a, b Location) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
}

// Homes maps services to entry hosts. It is immutable.
type Homes struct {
	byService map[string]pair
}

type pair struct {
	first, second ident.HostID
}

// New places every service on the serving hosts of the view. The order of
// services does not matter.
func New(view *member.View, services []Service) *Homes {
	return newHomes(newHostIndex(view), services)
}

// Lookup returns the home of the service and the host that takes over when the
// home is lost. The second is in another availability zone than the first
// where there is one, so that losing a zone leaves a host to ask. Both are
// empty for an unknown service, the second also with one serving host.
func (h *Homes) Lookup(service string) (first, second ident.HostID) {
	p := h.byService[service]
	return p.first, p.second
}

// Len is the number of services that have a home.
func (h *Homes) Len() int { return len(h.byService) }

func newHomes(index *hostIndex, services []Service) *Homes {
	homes := &Homes{byService: make(map[string]pair, len(services))}
	if len(index.hosts) == 0 {
		return homes
	}
	held := make([]int, len(index.hosts))
	bound := maxServices(len(services), len(index.hosts))
	for _, s := range byHash(services) {
		ranked := index.rank(s.service, s.hash)
		first := withRoom(ranked, held, bound, index)
		held[first]++
		homes.byService[s.service.Name] = index.pair(first, ranked)
	}
	return homes
}

// maxServices is the most services that one host is the home of.
func maxServices(services, hosts int) int {
	mean := float64(services) / float64(hosts)
	return int(math.Ceil(mean * loadBound))
}

type hashedService struct {
	service Service
	hash    uint64
}

// byHash orders services the same way on every host, whatever the order they
// came in; it decides which of them yields when a host is full.
func byHash(services []Service) []hashedService {
	hashed := make([]hashedService, len(services))
	for i, s := range services {
		hashed[i] = hashedService{service: s, hash: xxhash.Sum64String(s.Name)}
	}
	slices.SortFunc(hashed, func(a, b hashedService) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.service.Name, b.service.Name))
	})
	return hashed
}

// withRoom is the best ranked host below the bound; when all that were ranked
// are full it is the one with the fewest services of the whole fleet.
func withRoom(ranked, held []int, bound int, index *hostIndex) int {
	for _, host := range ranked {
		if held[host] < bound {
			return host
		}
	}
	return index.leastHeld(held)
}
