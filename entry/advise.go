// Package entry owns the advice to callers: which entry hosts to use, with
// which weights, and how long to keep the answer. No balancer stands before
// the hosts; this advice is what spreads the callers over them.
//
// The decisions are pure (time and randomness are passed in; no goroutine,
// socket or log). A plain mutex makes an Advisor safe for many goroutines.
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
	// mostHosts is how many hosts an answer names: all of a small fleet; in a
	// large one enough that a caller survives the loss of a rack.
	mostHosts = 8
	// farShare is the weight of all hosts in other availability zones
	// together against those of the caller's own, while nothing is loaded.
	farShare = 0.1
	// awayShare is the same for other regions.
	awayShare = 0.001
	// keepSpread is the random part of the time to keep: callers that asked
	// together do not come back together.
	keepSpread = 0.25
	// weightSteps rounds weights to thousandths.
	weightSteps = 1000
)

// AdviceRequest is who asks for advice.
type AdviceRequest struct {
	// Key tells callers' processes apart, such as the caller's name with its
	// client address: each gets its own, lasting order of hosts.
	Key    string
	Region string
	Zone   string // availability zone; empty: not known
}

// Advice is the answer to a caller.
type Advice struct {
	// Hosts are in the caller's own order: one that uses a single host takes
	// the first, and the next when it fails; one that spreads its requests
	// does so by the weights.
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

// Advise answers one caller. keep is the policy's time; the answer is never
// kept for longer, since a stopping host waits for as long.
//
// Load: thousands of callers, most of them in one zone, and hosts that come
// and go. Harm prevented: a caller reaches across zones without need; a host
// that leaves or restarts moves callers that were not on it. Reasons for the
// limits: the caller's own zone first, by ten to one while nothing is loaded;
// the order is a weighted rendezvous of caller and host, so when a host
// leaves, only its callers move, and as a weight shrinks, just that part.
func (a *Advisor) Advise(view *member.View, asker AdviceRequest, keep time.Duration, rnd *rand.Rand) Advice {
	candidates := a.best(view, asker)
	total := 0.0
	for _, c := range candidates {
		total += c.weight
	}
	advice := Advice{TTLMillis: spreadKeep(keep, rnd).Milliseconds()}
	for _, c := range candidates {
		weight := math.Ceil(weightSteps*c.weight/total) / weightSteps
		advice.Hosts = append(advice.Hosts, Host{Address: c.host.CallerAddress, Zone: c.host.Zone, Weight: weight})
	}
	return advice
}

func spreadKeep(keep time.Duration, rnd *rand.Rand) time.Duration {
	return keep - time.Duration(keepSpread*rnd.Float64()*float64(keep))
}

// best are the hosts that rank first for the asker, in order. Leaving and
// dead hosts are out at once; suspects stay, since most are well.
func (a *Advisor) best(view *member.View, asker AdviceRequest) []candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := countServing(view, asker)
	best := make([]candidate, 0, mostHosts+1)
	for i := range view.Hosts {
		host := &view.Hosts[i]
		if !host.Serving() {
			continue
		}
		c := candidate{host: host, weight: baseWeight(count, distanceOf(host, asker)) * a.factor(host.ID)}
		c.score = score(asker.Key, host.ID, c.weight)
		at, _ := slices.BinarySearchFunc(best, c, compare)
		if at == mostHosts {
			continue
		}
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), mostHosts)]
	}
	return best
}

func compare(x, y candidate) int {
	return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.host.ID, y.host.ID))
}

func countServing(view *member.View, asker AdviceRequest) (count [distances]int) {
	for i := range view.Hosts {
		if view.Hosts[i].Serving() {
			count[distanceOf(&view.Hosts[i], asker)]++
		}
	}
	return count
}

type distance int

const (
	sameZone distance = iota
	sameRegion
	elsewhere
	distances
)

func distanceOf(host *member.Host, asker AdviceRequest) distance {
	switch {
	case host.Region != asker.Region && asker.Region != "":
		return elsewhere
	case host.Zone != asker.Zone && asker.Zone != "":
		return sameRegion
	default:
		return sameZone
	}
}

// baseWeight shares 1 among the hosts of the nearest distance that has any,
// and the shares of the farther ones among theirs.
func baseWeight(count [distances]int, d distance) float64 {
	shares := [distances]float64{sameZone: 1, sameRegion: farShare, elsewhere: awayShare}
	return shares[d] / float64(count[d])
}

// score ranks a host for a caller by weighted rendezvous hashing: the least
// of exponential draws with the weights as rates.
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
