// Package entry advises callers which entry hosts to use, with which weights, and how
// long to keep the advice. There is no load balancer in front of the hosts; the advice
// distributes the callers.
//
// The decisions do no I/O: time and randomness are passed in. An Advisor is safe for
// concurrent use.
package entry

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

const (
	// maxHosts is the number of hosts in one answer, enough for a caller to survive the
	// loss of a rack.
	maxHosts = 8
	// otherZoneShare is the total weight of the hosts in other availability zones
	// relative to those of the caller's own zone, while no host is loaded.
	otherZoneShare = 0.1
	// otherRegionShare is the same for other regions.
	otherRegionShare = 0.001
	// ttlJitter is the random fraction of the time to keep advice, so that callers that
	// asked together don't ask again together.
	ttlJitter = 0.25
	// weightSteps is the number of steps that weights are rounded to.
	weightSteps = 1000
)

// AdviceRequest describes the caller that asks for advice.
type AdviceRequest struct {
	// Key identifies the caller's process, such as the caller's name with its address.
	// Each key has its own stable order of hosts.
	Key    string
	Region string
	Zone   string // availability zone; empty if not known
}

// Advice is the answer to a caller.
type Advice struct {
	// Hosts are in the caller's own order: a caller that uses one host takes the first,
	// and the next one when it fails; a caller that distributes its requests uses the
	// weights.
	Hosts []Host `json:"hosts"`
	// TTLMillis is how long the answer may be kept, in milliseconds.
	TTLMillis int64 `json:"keep_ms"`
}

// Host is one entry host to use.
type Host struct {
	Address string  `json:"address"` // IP and port of the callers' listener
	Zone    string  `json:"zone"`
	Weight  float64 `json:"weight"` // the weights add up to about 1
}

type candidate struct {
	host   *member.Host
	weight float64
	score  float64
}

// Advise answers one caller. ttl is the maximum time for which the answer may be kept;
// a stopping host waits that long before it ends.
//
// Hosts are ranked by weighted rendezvous hashing, with most of the weight in the
// caller's own zone. When a host leaves, only its own callers move, and when its weight
// shrinks, only a corresponding part of them.
func (a *Advisor) Advise(view *member.View, request AdviceRequest, ttl time.Duration, rnd *rand.Rand) Advice {
	candidates := a.rank(view, request)
	total := 0.0
	for _, c := range candidates {
		total += c.weight
	}
	advice := Advice{TTLMillis: jitterTTL(ttl, rnd).Milliseconds()}
	for _, c := range candidates {
		weight := math.Ceil(weightSteps*c.weight/total) / weightSteps
		advice.Hosts = append(advice.Hosts, Host{Address: c.host.CallerAddress, Zone: c.host.Zone, Weight: weight})
	}
	return advice
}

func jitterTTL(ttl time.Duration, rnd *rand.Rand) time.Duration {
	return ttl - time.Duration(ttlJitter*rnd.Float64()*float64(ttl))
}

// rank returns the hosts that rank first for the caller, in order. Leaving and dead
// hosts are excluded; suspected ones stay, since most of them are healthy.
func (a *Advisor) rank(view *member.View, request AdviceRequest) []candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := countServing(view, request)
	best := make([]candidate, 0, maxHosts+1)
	for i := range view.Hosts {
		host := &view.Hosts[i]
		if !host.Serving() {
			continue
		}
		c := candidate{host: host, weight: baseWeight(count, distanceOf(host, request)) * a.factor(host.ID)}
		c.score = score(request.Key, host.ID, c.weight)
		at, _ := slices.BinarySearchFunc(best, c, compareCandidates)
		if at == maxHosts {
			continue
		}
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), maxHosts)]
	}
	return best
}

func compareCandidates(x, y candidate) int {
	return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.host.ID, y.host.ID))
}

func countServing(view *member.View, request AdviceRequest) (count [distanceCount]int) {
	for i := range view.Hosts {
		if view.Hosts[i].Serving() {
			count[distanceOf(&view.Hosts[i], request)]++
		}
	}
	return count
}

type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	distanceCount
)

func distanceOf(host *member.Host, request AdviceRequest) distance {
	switch {
	case host.Region != request.Region && request.Region != "":
		return otherRegion
	case host.Zone != request.Zone && request.Zone != "":
		return sameRegion
	default:
		return sameZone
	}
}

// baseWeight divides the share of a distance among its hosts.
func baseWeight(count [distanceCount]int, d distance) float64 {
	shares := [distanceCount]float64{sameZone: 1, sameRegion: otherZoneShare, otherRegion: otherRegionShare}
	return shares[d] / float64(count[d])
}

// score ranks a host for a caller by weighted rendezvous hashing: exponential draws
// with the weights as rates, lowest first.
func score(key string, host ident.HostID, weight float64) float64 {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(key)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(string(host))
	uniform := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / weight
}
