// Package place decides which entry host is the home of each service. The decision is a
// pure function of the membership view and the services, so hosts with the same view
// agree without communication. While views differ, two hosts may both act as the home
// of a service; they overcommit its backend servers for a moment, and the servers shed
// the excess.
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

// maxLoadRatio limits the number of services of one host relative to the mean. Without
// a limit rendezvous hashing overloads some hosts; a lower one moves more services when
// a host joins or leaves.
const maxLoadRatio = 1.25

// Location is an availability zone of a region.
type Location struct {
	Region string
	Zone   string
}

// Service is a service with the availability zones of its backend servers.
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
	byService map[string]assignment
}

type assignment struct {
	home, fallback ident.HostID
}

// New places every service on the serving hosts of the view. The order of
// services does not matter.
func New(view *member.View, services []Service) *Homes {
	return newHomes(newHostIndex(view), services)
}

// Lookup returns the home of the service and the host that takes over when the home is
// lost, in another availability zone if possible. Both are empty for an unknown
// service; the second is also empty if only one host is serving.
func (h *Homes) Lookup(service string) (home, fallback ident.HostID) {
	a := h.byService[service]
	return a.home, a.fallback
}

// Len returns the number of services that have a home.
func (h *Homes) Len() int { return len(h.byService) }

func newHomes(index *hostIndex, services []Service) *Homes {
	homes := &Homes{byService: make(map[string]assignment, len(services))}
	if len(index.hosts) == 0 {
		return homes
	}
	counts := make([]int, len(index.hosts))
	limit := maxServices(len(services), len(index.hosts))
	for _, s := range byHash(services) {
		ranked := index.rank(s.service, s.hash)
		home := firstWithRoom(ranked, counts, limit, index)
		counts[home]++
		homes.byService[s.service.Name] = index.assign(home, ranked)
	}
	return homes
}

// maxServices returns the maximum number of services of one home.
func maxServices(services, hosts int) int {
	mean := float64(services) / float64(hosts)
	return int(math.Ceil(mean * maxLoadRatio))
}

type hashedService struct {
	service Service
	hash    uint64
}

// byHash returns the services in an order that is the same on every host. It decides
// which services are moved elsewhere when a host is full.
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

// firstWithRoom returns the best ranked host below the limit, or the host with the
// fewest services if all ranked ones are full.
func firstWithRoom(ranked, counts []int, limit int, index *hostIndex) int {
	for _, host := range ranked {
		if counts[host] < limit {
			return host
		}
	}
	return index.leastLoaded(counts)
}
