package entry

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/member"
)

const (
	// splitFrom is the number of services from which a search is split. Below it the
	// ways between hosts cost more than a second pair of hands saves: with 50 services
	// one host of 0.4 cores is through in 12 ms.
	splitFrom = 60
	// legTime is what a leg costs its host, in time of a whole core: 0.08 to 0.12 ms as
	// the users' hosts are charged.
	legTime = 100 * time.Microsecond
	// zoneTime is the longest that the legs of one search may keep the hosts of the
	// root's own availability zone busy, of targets of 50 ms and more. Beyond it hosts of
	// other zones help, and the replies cross zones.
	zoneTime = 15 * time.Millisecond
	// legsPerHome is how many legs of one search a host should run at most where hosts
	// of all zones share it.
	legsPerHome = 20
	// largeShare: a host counts as large if it can carry at least this part of what
	// the largest can. A search waits for the slowest of its hosts.
	largeShare = 0.5
)

// ShouldSplit reports whether a search over so many services is split.
func ShouldSplit(services int) bool { return services >= splitFrom }

// SearchHomes chooses the hosts that share the services of the largest search among them, for
// roots in the availability zone; nil: each host asks all of them itself. serversIn counts
// the backend servers of each zone, services those of the search.
//
// Load: searches over 90 to 270 services, from hosts of a fifth to four fifths of a
// core. Harm prevented: one host that does all of a search spends some 0.1 ms on each
// service one after the other, 20 to 150 ms of targets of 50 to 100 ms. Reasons for the
// limits: the large hosts only, since the slowest decides; those of the root's own zone,
// if it holds servers and they are quick enough, since each reply that crosses zones costs
// the users some 150 bytes; else of all such zones equally many, so that the loss of one
// leaves the others.
func SearchHomes(view *member.View, serversIn map[string]int, services int, zone string) []member.Host {
	if !ShouldSplit(services) {
		return nil
	}
	byZone := largeByZone(view, serversIn)
	if own := byZone[zone]; sharesAlone(own, services) {
		return own
	}
	wanted := (services + legsPerHome - 1) / legsPerHome
	perZone := (wanted + len(byZone) - 1) / max(len(byZone), 1)
	var chosen []member.Host
	for _, name := range nearZones(serversIn) {
		hosts := byZone[name]
		chosen = append(chosen, hosts[:min(perZone, len(hosts))]...)
	}
	if len(chosen) < 2 {
		return nil
	}
	return chosen
}

// HomesPerService is how many hosts are the home of the same service at once: one for the
// roots of each availability zone that shares searches among its own hosts, and one for
// all others. Only zones that hold servers count: callers are advised hosts there.
func HomesPerService(view *member.View, serversIn map[string]int, services int) int {
	if !ShouldSplit(services) {
		return 0
	}
	byZone := largeByZone(view, serversIn)
	count, others := 0, 0
	for _, hosts := range byZone {
		if sharesAlone(hosts, services) {
			count++
		} else {
			others = 1
		}
	}
	return count + others
}

// sharesAlone reports whether the hosts of one zone share a search without help.
func sharesAlone(hosts []member.Host, services int) bool {
	return len(hosts) > 1 && timeOf(hosts, services) <= zoneTime
}

// largeByZone lists the large hosts of the zones that hold many backend servers.
func largeByZone(view *member.View, serversIn map[string]int) map[string][]member.Host {
	serving := servingByZone(view)
	zones := nearZones(serversIn)
	most := uint32(0)
	for _, zone := range zones {
		if hosts := serving[zone]; len(hosts) > 0 {
			most = max(most, hosts[0].Capacity)
		}
	}
	large := make(map[string][]member.Host)
	for _, zone := range zones {
		for _, host := range serving[zone] {
			if float64(host.Capacity) >= largeShare*float64(most) {
				large[zone] = append(large[zone], host)
			}
		}
	}
	return large
}

// timeOf is how long one search keeps the hosts busy that share it.
func timeOf(hosts []member.Host, services int) time.Duration {
	milliCores := uint32(0)
	for _, host := range hosts {
		milliCores += host.Capacity
	}
	if milliCores == 0 {
		return 0 // not said
	}
	return time.Duration(float64(services) * float64(legTime) * 1000 / float64(milliCores))
}
