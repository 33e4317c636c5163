package entry

import (
	"slices"

	"github.com/goldcrestspan/goldcrestspan/member"
)

const (
	// legsPerHome is how many legs of one search a host should run at most: at some
	// 0.1 ms of a core each they keep a host of a fifth of a core busy for 10 ms, of
	// targets of 50 ms and more.
	legsPerHome = 20
	// splitFrom is the number of services from which a search is split. Below it the
	// ways between hosts cost more than a second pair of hands saves: with 50 services
	// one host of 0.4 cores is through in 12 ms.
	splitFrom = 60
	// largeShare: a host counts as large if it can carry at least this part of what
	// the largest can. A search waits for the slowest of its hosts.
	largeShare = 0.5
)

// Splits reports whether a search over so many services is split.
func Splits(services int) bool { return services >= splitFrom }

// Homes chooses the hosts that share the services of the largest search among them;
// nil: each host asks all of them itself. serversIn counts the backend servers of each
// availability zone, services those of the search.
//
// Load: searches over 90 to 270 services, from hosts of a fifth to four fifths of a
// core. Harm prevented: one host that does all of a search spends some 0.1 ms on each
// service one after the other, 20 to 150 ms of targets of 50 to 100 ms, and several of
// them send to the same servers without knowing of each other's work. Reasons for the
// limits: hosts near the servers only; of each such zone equally many, so that the
// loss of a zone leaves the others; the large ones, since the slowest host decides.
func Homes(view *member.View, serversIn map[string]int, services int) []member.Host {
	if !Splits(services) {
		return nil
	}
	byZone := servingByZone(view)
	zones := nearZones(serversIn)
	most := uint32(0)
	for _, zone := range zones {
		if hosts := byZone[zone]; len(hosts) > 0 {
			most = max(most, hosts[0].Capacity)
		}
	}
	wanted := (services + legsPerHome - 1) / legsPerHome
	perZone := (wanted + len(zones) - 1) / max(len(zones), 1)
	var chosen []member.Host
	for _, zone := range zones {
		large := slices.DeleteFunc(byZone[zone], func(h member.Host) bool {
			return float64(h.Capacity) < largeShare*float64(most)
		})
		chosen = append(chosen, large[:min(perZone, len(large))]...)
	}
	if len(chosen) < 2 {
		return nil
	}
	return chosen
}
