package member

import (
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

const (
	// maintenanceInterval is the interval of filling neighbors and removing dead hosts.
	maintenanceInterval = time.Second
	// maxRandomDraws bounds the random draws of one fill; the next fill continues.
	maxRandomDraws = 64
)

// nextProbeTarget returns the priority target or the next neighbor, round-robin. The
// neighbors are shuffled before each round, so that hosts don't probe in step.
func (m *Membership) nextProbeTarget() *record {
	if r := m.priorityTarget; r != nil {
		m.priorityTarget = nil
		return r
	}
	if len(m.neighbors) == 0 {
		return nil
	}
	if m.neighborIndex >= len(m.neighbors) {
		m.neighborIndex = 0
		m.shuffleNeighbors()
	}
	r := m.neighbors[m.neighborIndex]
	m.neighborIndex++
	return r
}

func (m *Membership) shuffleNeighbors() {
	m.rng.Shuffle(len(m.neighbors), func(i, j int) {
		m.neighbors[i], m.neighbors[j] = m.neighbors[j], m.neighbors[i]
	})
}

// randomNeighbors returns up to n neighbors that are not suspect, without the
// excluded one.
func (m *Membership) randomNeighbors(n int, excluded *record) []*record {
	var picked []*record
	for _, i := range m.rng.Perm(len(m.neighbors)) {
		if len(picked) == n {
			break
		}
		r := m.neighbors[i]
		if r != excluded && r.State != StateSuspect {
			picked = append(picked, r)
		}
	}
	return picked
}

// distance is the topological distance of a host.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	distanceCount
)

func (m *Membership) distanceOf(r *record) distance {
	switch {
	case r.Region != m.self.Region:
		return otherRegion
	case r.Zone != m.self.Zone:
		return sameRegion
	default:
		return sameZone
	}
}

// fillNeighbors draws missing neighbors, mostly in this host's zone since cross-zone
// traffic is billed; if that has too few hosts, the rest come from other zones of the
// region. In a fleet no larger than the neighbor count all hosts become neighbors.
func (m *Membership) fillNeighbors() {
	var have [distanceCount]int
	for _, r := range m.neighbors {
		have[m.distanceOf(r)]++
	}
	if len(m.sorted) <= neighborCount+1 {
		m.drawFromAll(neighborCount-remoteNeighborCount-have[sameZone]-have[sameRegion], func(r *record) bool {
			return m.isCandidate(r) && r.Region == m.self.Region
		})
		m.drawNeighbors(remoteNeighborCount-have[otherRegion], otherRegion)
		return
	}
	local := neighborCount - m.crossZoneNeighbors() - remoteNeighborCount
	have[sameZone] += m.drawNeighbors(local-have[sameZone], sameZone)
	m.drawNeighbors(neighborCount-remoteNeighborCount-have[sameZone]-have[sameRegion], sameRegion)
	m.drawNeighbors(remoteNeighborCount-have[otherRegion], otherRegion)
}

// crossZoneNeighbors is the number of neighbors to have in other zones of the region.
func (m *Membership) crossZoneNeighbors() int {
	inZone := 0
	for _, r := range m.sorted {
		if !r.isDead() && m.distanceOf(r) == sameZone {
			inZone++
		}
	}
	return min((crossZoneLinks+inZone-1)/max(inZone, 1), maxCrossZoneNeighbors)
}

// isCandidate reports whether a host may become a neighbor.
func (m *Membership) isCandidate(r *record) bool {
	return !r.isNeighbor && r != m.self && !r.isDead()
}

// drawNeighbors adds up to n random neighbors at the distance and returns how many it added.
func (m *Membership) drawNeighbors(n int, wantedDistance distance) int {
	before := len(m.neighbors)
	wanted := func(r *record) bool { return m.isCandidate(r) && m.distanceOf(r) == wantedDistance }
	if len(m.sorted) <= maxRandomDraws {
		m.drawFromAll(n, wanted)
		return len(m.neighbors) - before
	}
	for try := 0; n > 0 && try < maxRandomDraws; try++ {
		r := m.sorted[m.rng.IntN(len(m.sorted))]
		if wanted(r) {
			m.addNeighbor(r)
			n--
		}
	}
	return len(m.neighbors) - before
}

// drawFromAll adds up to n wanted neighbors, trying all hosts in random order.
func (m *Membership) drawFromAll(n int, wanted func(*record) bool) {
	if n <= 0 {
		return
	}
	for _, i := range m.rng.Perm(len(m.sorted)) {
		if n > 0 && wanted(m.sorted[i]) {
			m.addNeighbor(m.sorted[i])
			n--
		}
	}
}

func (m *Membership) addNeighbor(r *record) {
	r.isNeighbor = true
	m.neighbors = append(m.neighbors, r)
}

func (m *Membership) removeNeighbor(r *record) {
	if !r.isNeighbor {
		return
	}
	r.isNeighbor = false
	i := slices.Index(m.neighbors, r)
	m.neighbors = slices.Delete(m.neighbors, i, i+1)
	if i < m.neighborIndex {
		m.neighborIndex--
	}
}

// maintain rotates and fills the neighbors and removes hosts that died long ago.
func (m *Membership) maintain(now time.Time) {
	if !now.Before(m.nextRotationAt) {
		m.nextRotationAt = now.Add(rotationInterval)
		m.rotateNeighbor()
	}
	m.fillNeighbors()
	m.removeDead(now)
}

// rotateNeighbor removes a random neighbor, so that a host without an incoming
// neighbor link does not stay so. A fleet no larger than the neighbor count needs none.
func (m *Membership) rotateNeighbor() {
	if len(m.neighbors) > 0 && len(m.sorted) > neighborCount+1 {
		m.removeNeighbor(m.neighbors[m.rng.IntN(len(m.neighbors))])
	}
}

func (m *Membership) removeDead(now time.Time) {
	for _, r := range slices.Clone(m.dead) {
		age := now.Sub(r.deadSince)
		if (r.State == StateGone && age > m.config.KeepConfirmedDead) || age > m.config.KeepDead {
			m.remove(r)
		}
	}
}

func (m *Membership) remove(r *record) {
	delete(m.records, r.ID)
	m.sorted = slices.DeleteFunc(m.sorted, func(other *record) bool { return other == r })
	m.dead = slices.DeleteFunc(m.dead, func(other *record) bool { return other == r })
	m.recentLoads = slices.DeleteFunc(m.recentLoads, func(other *record) bool { return other == r })
	m.statesChanged = true
}

// reconnect probes one host that is dead or known from the host list only, which
// heals a partition: a live host refutes its death when the probe reports it.
func (m *Membership) reconnect(now time.Time, calls []Call) []Call {
	if !m.joined || m.isIsolated(now) {
		calls = m.syncFromSeeds(calls)
	}
	unknown := m.unknownAddresses()
	if len(unknown)+len(m.dead) == 0 {
		return calls
	}
	m.trackReconnect(now)
	drawn := m.rng.IntN(len(unknown) + len(m.dead))
	if drawn >= len(unknown) {
		return append(calls, m.probeCall(now, m.dead[drawn-len(unknown)], m.lastSequence))
	}
	return append(calls, m.probeAddress(now, unknown[drawn]))
}

// probeAddress probes a host of which only the address is known and asks it to
// reply with its addresses.
func (m *Membership) probeAddress(now time.Time, address string) Call {
	return Call{
		Address: address,
		Timeout: m.config.ProbeTimeout,
		Probe: &memberpb.ProbeRequest{
			Sender:        m.self.fullUpdate(),
			Sequence:      m.lastSequence,
			WantAddresses: true,
			News:          m.configGossip(now),
		},
	}
}

// syncFromSeeds asks random seeds and unknown listed hosts for their complete view.
func (m *Membership) syncFromSeeds(calls []Call) []Call {
	addresses := slices.Concat(m.config.Seeds, m.unknownAddresses())
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == m.self.PeerAddress })
	m.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(maxConcurrentSyncs, len(addresses))] {
		calls = append(calls, Call{
			Address: address,
			Timeout: syncTimeout,
			Sync:    &memberpb.SyncRequest{Sender: m.self.fullUpdate()},
		})
	}
	return calls
}
