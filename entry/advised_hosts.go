package entry

import (
	"cmp"
	"slices"

	"github.com/goldcrestspan/goldcrestspan/member"
)

const (
	// maxMeanLoad is the mean load of the advised hosts above which one more is added,
	// so that one can take over the callers of another.
	maxMeanLoad = 0.5
	// minAdvisedHosts is the minimum number of advised hosts, so that callers have
	// another one when theirs is lost.
	minAdvisedHosts = 2
	// minZoneShare is the minimum number of backend servers in a zone, relative to the
	// zone with the most, for the zone to have advised hosts.
	minZoneShare = 0.5
)

// AdvisedHosts chooses the few hosts that callers are directed to; the others stand by.
// serversIn is the number of backend servers by availability zone.
//
// With few advised hosts each sees most of the load of a backend server, so that its
// decisions are good and its connections are reused. With all hosts advised they choose
// blindly and collide, and each connection is used once a second. There is at least one in each zone
// with many servers, at least minAdvisedHosts in all, and more under load. Larger hosts
// are preferred, then those that have run longest, so that a restart moves no other
// callers.
func AdvisedHosts(view *member.View, serversIn map[string]int) []member.Host {
	byZone := servingByZone(view)
	var chosen, rest, spare []member.Host
	haveHealthyZone := anyHealthy(byZone)
	for _, zone := range serverZones(serversIn) {
		hosts := byZone[zone]
		if len(hosts) == 0 || (likelyLost(hosts) && haveHealthyZone) {
			continue // added last, with the spare hosts
		}
		chosen = append(chosen, hosts[0])
		rest = append(rest, hosts[1:]...)
		delete(byZone, zone)
	}
	for _, hosts := range byZone {
		spare = append(spare, hosts...)
	}
	slices.SortFunc(rest, compareHosts)
	slices.SortFunc(spare, compareHosts)
	rest = append(rest, spare...)
	more := min(max(hostsForLoad(chosen)-len(chosen), 0), len(rest))
	return append(chosen, rest[:more]...)
}

// likelyLost reports whether more than half of a zone's hosts are suspected. The hosts
// of a zone that lost power are suspected one after the other, and callers shouldn't be
// directed to the remaining ones.
func likelyLost(hosts []member.Host) bool {
	suspected := 0
	for _, host := range hosts {
		if host.State == member.StateSuspect {
			suspected++
		}
	}
	return 2*suspected > len(hosts)
}

func anyHealthy(byZone map[string][]member.Host) bool {
	for _, hosts := range byZone {
		if len(hosts) > 0 && !likelyLost(hosts) {
			return true
		}
	}
	return false
}

// Proxies returns one host of each availability zone, through which hosts of other
// zones reach the backend servers there. AdvisedHosts prefers the same hosts.
func Proxies(view *member.View) map[string]member.Host {
	proxies := make(map[string]member.Host)
	for zone, hosts := range servingByZone(view) {
		proxies[zone] = hosts[0]
	}
	return proxies
}

// servingByZone returns the serving hosts by availability zone, preferred ones first.
func servingByZone(view *member.View) map[string][]member.Host {
	byZone := make(map[string][]member.Host)
	for _, host := range view.Hosts {
		if host.Serving() {
			byZone[host.Zone] = append(byZone[host.Zone], host)
		}
	}
	for _, hosts := range byZone {
		slices.SortFunc(hosts, compareHosts)
	}
	return byZone
}

// serverZones returns the zones with many backend servers, those with most first.
func serverZones(serversIn map[string]int) []string {
	most := 0
	for _, n := range serversIn {
		most = max(most, n)
	}
	var zones []string
	for zone, n := range serversIn {
		if float64(n) >= minZoneShare*float64(most) {
			zones = append(zones, zone)
		}
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(serversIn[b], serversIn[a]), cmp.Compare(a, b))
	})
	return zones
}

// compareHosts orders hosts by preference: not suspected, larger, running longer.
func compareHosts(a, b member.Host) int {
	return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.ID, b.ID))
}

// hostsForLoad returns how many hosts carry the load of the chosen ones at maxMeanLoad.
func hostsForLoad(chosen []member.Host) int {
	load := 0.0
	for _, host := range chosen {
		load += float64(host.LoadPermille) / 1000
	}
	return max(minAdvisedHosts, int(load/maxMeanLoad+1))
}
