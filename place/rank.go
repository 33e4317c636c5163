package place

import (
	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// rankedHosts is how many hosts are ranked for a service: enough for the load
// bound to find room on one of them and for a second in another zone.
const rankedHosts = 6

// hostIndex holds the serving hosts by availability zone, so that ranking a
// service looks at the hosts near its backend servers only. At 3,400 hosts in
// 8 zones that is a quarter of them for a service in two zones.
type hostIndex struct {
	hosts    []indexedHost
	byZone   map[Location][]int
	byRegion map[string][]int
	all      []int
}

type indexedHost struct {
	id   ident.HostID
	at   Location
	hash uint64
}

func newHostIndex(view *member.View) *hostIndex {
	index := &hostIndex{
		byZone:   make(map[Location][]int),
		byRegion: make(map[string][]int),
	}
	for i := range view.Hosts {
		host := &view.Hosts[i]
		if host.Serving() {
			index.add(host)
		}
	}
	return index
}

func (x *hostIndex) add(host *member.Host) {
	n := len(x.hosts)
	at := Location{Region: host.Region, Zone: host.Zone}
	x.hosts = append(x.hosts, indexedHost{id: host.ID, at: at, hash: xxhash.Sum64String(string(host.ID))})
	x.byZone[at] = append(x.byZone[at], n)
	x.byRegion[host.Region] = append(x.byRegion[host.Region], n)
	x.all = append(x.all, n)
}

// rank returns up to rankedHosts hosts, best first: hosts in a zone of the
// service's servers, then in their region, then elsewhere; by rendezvous hash
// among equals.
//
// Load: every leg crosses from its entry host to the home and from there to a
// backend server. Harm prevented: a second crossing between zones (0.5 to 1 ms
// today) or between regions on each leg. Locality only orders the choice, the
// load bound still moves services to hosts further away.
func (x *hostIndex) rank(service Service, serviceHash uint64) []int {
	top := topHosts{index: x, serviceHash: serviceHash}
	for _, at := range service.Locations {
		top.offer(x.byZone[at])
	}
	top.closeTier()
	for _, at := range service.Locations {
		top.offer(x.byRegion[at.Region])
	}
	top.closeTier()
	top.offer(x.all)
	return top.ranked
}

// pair adds to a home the best ranked host of another zone, else the best of
// the others.
func (x *hostIndex) pair(first int, ranked []int) pair {
	p := pair{first: x.hosts[first].id}
	for _, host := range ranked {
		if host == first {
			continue
		}
		if p.second == "" {
			p.second = x.hosts[host].id
		}
		if x.hosts[host].at != x.hosts[first].at {
			p.second = x.hosts[host].id
			break
		}
	}
	return p
}

func (x *hostIndex) leastHeld(held []int) int {
	least := 0
	for host := range held {
		if held[host] < held[least] {
			least = host
		}
	}
	return least
}

// topHosts collects the best ranked hosts, one tier of locality after another.
type topHosts struct {
	index       *hostIndex
	serviceHash uint64
	ranked      []int
	scores      []uint64
	closed      int // hosts of earlier tiers, which later ones can't overtake
}

func (t *topHosts) closeTier() { t.closed = len(t.ranked) }

func (t *topHosts) offer(hosts []int) {
	if t.closed >= rankedHosts {
		return
	}
	for _, host := range hosts {
		t.insert(host, mix(t.serviceHash^t.index.hosts[host].hash))
	}
}

func (t *topHosts) insert(host int, score uint64) {
	full := len(t.ranked) == rankedHosts
	if full && score <= t.scores[rankedHosts-1] {
		return
	}
	if t.has(host) {
		return
	}
	if !full {
		t.ranked = append(t.ranked, 0)
		t.scores = append(t.scores, 0)
	}
	i := len(t.ranked) - 1
	for ; i > t.closed && t.scores[i-1] < score; i-- {
		t.ranked[i], t.scores[i] = t.ranked[i-1], t.scores[i-1]
	}
	t.ranked[i], t.scores[i] = host, score
}

func (t *topHosts) has(host int) bool {
	for _, h := range t.ranked {
		if h == host {
			return true
		}
	}
	return false
}

// mix is the finalizer of splitmix64: every bit of x changes half of the bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
