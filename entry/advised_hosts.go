package entry

import (
	"cmp"
	"slices"

	"github.com/goldcrestspan/goldcrestspan/member"
)

const (
	// busyShare is the mean load of the advised hosts, as a share, above which
	// one more is advised: a host that is half busy still takes the callers of
	// another one that is lost.
	busyShare = 0.5
	// leastCarriers are advised however small the load: when one is lost its
	// callers have another to go to before they ask again.
	leastCarriers = 2
	// nearShare: a zone counts as one of the backend servers' if it holds at
	// least this share of those of the fullest zone.
	nearShare = 0.5
)

// AdvisedHosts chooses the few hosts that carry the callers' requests; all others
// stand by. serversIn counts the backend servers of each availability zone.
//
// Load: a fleet whose requests each go to 20 to 92 services of a few slots.
// Harm prevented: each host sees a fraction of a service's load, so all
// choose blindly and collide; a connection is used once a second and costs the
// server a handshake each time; and hosts far from the servers send every part
// of an answer across zones. With few hosts each knows nearly all that runs at
// a server. Reasons for the limits: one host at least in each zone that holds
// servers, two in all, and more as those get busy. The largest hosts are
// taken first, and of these the ones that have served for longest, so that a
// restart moves no callers but its own.
func AdvisedHosts(view *member.View, serversIn map[string]int) []member.Host {
	byZone := servingByZone(view)
	var chosen, rest, spare []member.Host
	well := anyWell(byZone)
	for _, zone := range nearZones(serversIn) {
		hosts := byZone[zone]
		if len(hosts) == 0 || (maybeLost(hosts) && well) {
			continue // those of a zone that may be lost are the last to be advised
		}
		chosen = append(chosen, hosts[0])
		rest = append(rest, hosts[1:]...)
		delete(byZone, zone)
	}
	for _, hosts := range byZone {
		spare = append(spare, hosts...)
	}
	slices.SortFunc(rest, steadiest)
	slices.SortFunc(spare, steadiest)
	rest = append(rest, spare...)
	more := min(max(wanted(chosen)-len(chosen), 0), len(rest))
	return append(chosen, rest[:more]...)
}

// maybeLost reports whether more than half of the hosts of a zone are suspected.
//
// Failure: a zone loses its power. Its hosts are suspected one after the other, and each
// has seconds to refute. It shows as callers that are told a dead host meanwhile. The
// guard holds because all hosts of such a zone are passed by while another zone is well.
func maybeLost(hosts []member.Host) bool {
	suspected := 0
	for _, host := range hosts {
		if host.State == member.StateSuspect {
			suspected++
		}
	}
	return 2*suspected > len(hosts)
}

func anyWell(byZone map[string][]member.Host) bool {
	for _, hosts := range byZone {
		if len(hosts) > 0 && !maybeLost(hosts) {
			return true
		}
	}
	return false
}

// Proxies are the hosts, one of each availability zone, through which hosts of
// other zones reach the backend servers there: those that Carriers takes first.
func Proxies(view *member.View) map[string]member.Host {
	proxies := make(map[string]member.Host)
	for zone, hosts := range servingByZone(view) {
		proxies[zone] = hosts[0]
	}
	return proxies
}

// servingByZone lists the hosts that serve by availability zone, steadiest first.
func servingByZone(view *member.View) map[string][]member.Host {
	byZone := make(map[string][]member.Host)
	for _, host := range view.Hosts {
		if host.Serving() {
			byZone[host.Zone] = append(byZone[host.Zone], host)
		}
	}
	for _, hosts := range byZone {
		slices.SortFunc(hosts, steadiest)
	}
	return byZone
}

// nearZones are the zones that hold many backend servers, fullest first.
func nearZones(serversIn map[string]int) []string {
	most := 0
	for _, n := range serversIn {
		most = max(most, n)
	}
	var zones []string
	for zone, n := range serversIn {
		if float64(n) >= nearShare*float64(most) {
			zones = append(zones, zone)
		}
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(serversIn[b], serversIn[a]), cmp.Compare(a, b))
	})
	return zones
}

// steadiest orders hosts that are not suspected first, then the larger ones,
// then by age.
func steadiest(a, b member.Host) int {
	return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.ID, b.ID))
}

// wanted is how many hosts carry the load of the chosen ones at busyShare.
func wanted(chosen []member.Host) int {
	load := 0.0
	for _, host := range chosen {
		load += float64(host.LoadPermille) / 1000
	}
	return max(leastCarriers, int(load/busyShare+1))
}
