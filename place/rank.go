package place

import (
	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// maxRankedHosts is the number of hosts ranked for a service: enough to find one below
// the load limit and a fallback in another zone.
const maxRankedHosts = 6

// hostIndex indexes the serving hosts by availability zone and region, so that ranking
// a service considers only the hosts near its backend servers.
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

// rank returns up to maxRankedHosts hosts, best first: hosts in a zone of the service's
// servers, then in their region, then elsewhere, each tier by rendezvous hash. Locality
// saves a second hop between zones or regions on each leg.
func (x *hostIndex) rank(service Service, serviceHash uint64) []int {
	top := topHosts{index: x, serviceHash: serviceHash}
	for _, at := range service.Locations {
		top.addHosts(x.byZone[at])
	}
	top.completeTier()
	for _, at := range service.Locations {
		top.addHosts(x.byRegion[at.Region])
	}
	top.completeTier()
	top.addHosts(x.all)
	return top.ranked
}

// assign returns the home with its fallback: the best ranked host of another zone, else
// the best of the others.
func (x *hostIndex) assign(home int, ranked []int) assignment {
	a := assignment{home: x.hosts[home].id}
	for _, host := range ranked {
		if host == home {
			continue
		}
		if a.fallback == "" {
			a.fallback = x.hosts[host].id
		}
		if x.hosts[host].at != x.hosts[home].at {
			a.fallback = x.hosts[host].id
			break
		}
	}
	return a
}

func (x *hostIndex) leastLoaded(counts []int) int {
	least := 0
	for host := range counts {
		if counts[host] < counts[least] {
			least = host
		}
	}
	return least
}

// topHosts collects the best ranked hosts, tier by tier.
type topHosts struct {
	index       *hostIndex
	serviceHash uint64
	ranked      []int
	scores      []uint64
	completed   int // number of hosts of completed tiers, which keep their ranks
}

func (t *topHosts) completeTier() { t.completed = len(t.ranked) }

func (t *topHosts) addHosts(hosts []int) {
	if t.completed >= maxRankedHosts {
		return
	}
	for _, host := range hosts {
		t.insert(host, mix64(t.serviceHash^t.index.hosts[host].hash))
	}
}

func (t *topHosts) insert(host int, score uint64) {
	full := len(t.ranked) == maxRankedHosts
	if full && score <= t.scores[maxRankedHosts-1] {
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
	for ; i > t.completed && t.scores[i-1] < score; i-- {
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

// mix64 is the finalizer of splitmix64: every bit of x changes half of the bits.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
