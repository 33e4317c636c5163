package entry

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/member"
)

const (
	// minSplitServices is the number of services from which a search is split. Below it
	// the communication between hosts costs more than the split saves: with 50 services one
	// host of 0.4 cores is through in 12 ms.
	minSplitServices = 60
	// cpuPerLeg is the processor time of one core that a leg costs its host, 0.08 to 0.12 ms.
	cpuPerLeg = 100 * time.Microsecond
	// maxZoneTime is the longest time that one search may keep the hosts of a single
	// zone busy, of targets of 50 ms and more; beyond it hosts of other zones take part, and
	// replies cross zones.
	maxZoneTime = 15 * time.Millisecond
	// legsPerHost is the target number of legs of one search per host when hosts of
	// several zones share it.
	legsPerHost = 20
	// largeHostRatio is the minimum capacity of a large host, relative to the largest
	// one. A search is as slow as the slowest of its hosts.
	largeHostRatio = 0.5
)

// ShouldSplit reports whether a search over this many services is split.
func ShouldSplit(services int) bool { return services >= minSplitServices }

// SearchHomes chooses the hosts that share the services of the largest search, for
// searches coordinated by a host of the availability zone. It returns nil if each host
// runs its searches alone. serversIn is the number of backend servers by zone, services
// the number of services of the search.
//
// Only large hosts take part, since the slowest one decides the latency. Hosts of the
// coordinating host's own zone are preferred, to save traffic between zones, if the zone
// has backend servers and enough capacity; otherwise equally many of each such zone, so
// that the loss of one zone leaves the others.
func SearchHomes(view *member.View, serversIn map[string]int, services int, zone string) []member.Host {
	if !ShouldSplit(services) {
		return nil
	}
	byZone := largeHostsByZone(view, serversIn)
	if own := byZone[zone]; sharesAlone(own, services) {
		return own
	}
	wanted := (services + legsPerHost - 1) / legsPerHost
	perZone := (wanted + len(byZone) - 1) / max(len(byZone), 1)
	var chosen []member.Host
	for _, name := range serverZones(serversIn) {
		hosts := byZone[name]
		chosen = append(chosen, hosts[:min(perZone, len(hosts))]...)
	}
	if len(chosen) < 2 {
		return nil
	}
	return chosen
}

// HomesPerService returns how many hosts are the home of the same service at once: one
// for each availability zone whose hosts share searches alone, and one for all other
// zones. Only zones with many backend servers count, since callers are directed to
// hosts there.
func HomesPerService(view *member.View, serversIn map[string]int, services int) int {
	if !ShouldSplit(services) {
		return 0
	}
	count, others := 0, 0
	for _, hosts := range largeHostsByZone(view, serversIn) {
		if sharesAlone(hosts, services) {
			count++
		} else {
			others = 1
		}
	}
	return count + others
}

// ShareAcrossZones reports whether callers are directed to hosts of some zone that does not
// share searches alone.
func ShareAcrossZones(view *member.View, serversIn map[string]int, services int) bool {
	for _, hosts := range largeHostsByZone(view, serversIn) {
		if !sharesAlone(hosts, services) {
			return true
		}
	}
	return false
}

// sharesAlone reports whether the hosts of one zone can share a search without other
// zones.
func sharesAlone(hosts []member.Host, services int) bool {
	return len(hosts) > 1 && searchTime(hosts, services) <= maxZoneTime
}

// largeHostsByZone returns the large hosts of the zones with many backend servers.
func largeHostsByZone(view *member.View, serversIn map[string]int) map[string][]member.Host {
	serving := servingByZone(view)
	zones := serverZones(serversIn)
	most := uint32(0)
	for _, zone := range zones {
		if hosts := serving[zone]; len(hosts) > 0 {
			most = max(most, hosts[0].Capacity)
		}
	}
	large := make(map[string][]member.Host)
	for _, zone := range zones {
		for _, host := range serving[zone] {
			if float64(host.Capacity) >= largeHostRatio*float64(most) {
				large[zone] = append(large[zone], host)
			}
		}
	}
	return large
}

// searchTime returns how long one search keeps the hosts that share it busy, or 0 if
// their capacity isn't known.
func searchTime(hosts []member.Host, services int) time.Duration {
	milliCores := uint32(0)
	for _, host := range hosts {
		milliCores += host.Capacity
	}
	if milliCores == 0 {
		return 0
	}
	return time.Duration(float64(services) * float64(cpuPerLeg) * 1000 / float64(milliCores))
}
