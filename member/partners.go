package member

import (
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

const (
	// choresEvery is how often partners are filled and dead hosts forgotten.
	choresEvery = time.Second
	// randomTries bounds drawing hosts at random; the next chores try again.
	randomTries = 64
)

// nextPartner is the next host to probe: the partners in turn, in an order
// that is shuffled anew in each round, so that every partner is probed within
// a bounded time and no two hosts stay in step.
func (m *Membership) nextPartner() *record {
	if r := m.urgentProbe; r != nil {
		m.urgentProbe = nil
		return r
	}
	if len(m.partners) == 0 {
		return nil
	}
	if m.turn >= len(m.partners) {
		m.turn = 0
		m.shufflePartners()
	}
	r := m.partners[m.turn]
	m.turn++
	return r
}

func (m *Membership) shufflePartners() {
	m.rng.Shuffle(len(m.partners), func(i, j int) {
		m.partners[i], m.partners[j] = m.partners[j], m.partners[i]
	})
}

// pickPartners draws up to n partners at random, without the one excluded.
func (m *Membership) pickPartners(n int, without *record) []*record {
	var picked []*record
	for _, i := range m.rng.Perm(len(m.partners)) {
		if len(picked) == n {
			break
		}
		r := m.partners[i]
		if r != without && r.State != StateSuspect {
			picked = append(picked, r)
		}
	}
	return picked
}

// distance is how far a partner is.
type distance int

const (
	sameZone distance = iota
	sameRegion
	elsewhere
	distances
)

func (m *Membership) distanceOf(r *record) distance {
	switch {
	case r.Region != m.self.Region:
		return elsewhere
	case r.Zone != m.self.Zone:
		return sameRegion
	default:
		return sameZone
	}
}

// fillPartners draws partners up to their number, mostly in the own zone, where
// probes cost no bytes between zones; what the zone can't fill comes from the
// others of the region.
//
// A fleet no larger than the partners has nothing to choose: all its hosts are
// drawn in one go.
func (m *Membership) fillPartners() {
	var have [distances]int
	for _, r := range m.partners {
		have[m.distanceOf(r)]++
	}
	if len(m.sorted) <= partnerCount+1 {
		m.drawFromAll(partnerCount-remotePartnerCount-have[sameZone]-have[sameRegion], func(r *record) bool {
			return m.isCandidate(r) && r.Region == m.self.Region
		})
		m.drawPartners(remotePartnerCount-have[elsewhere], elsewhere)
		return
	}
	near := partnerCount - m.crossPartners() - remotePartnerCount
	have[sameZone] += m.drawPartners(near-have[sameZone], sameZone)
	m.drawPartners(partnerCount-remotePartnerCount-have[sameZone]-have[sameRegion], sameRegion)
	m.drawPartners(remotePartnerCount-have[elsewhere], elsewhere)
}

// crossPartners is how many partners this host has in other zones of its region.
func (m *Membership) crossPartners() int {
	hosts := 0
	for _, r := range m.sorted {
		if !r.lost() && m.distanceOf(r) == sameZone {
			hosts++
		}
	}
	return min((zoneLinks+hosts-1)/max(hosts, 1), zonePartnerCount)
}

// isCandidate reports whether a host may become a partner.
func (m *Membership) isCandidate(r *record) bool {
	return !r.partner && r != m.self && !r.lost()
}

// drawPartners draws up to n partners and returns how many it found.
func (m *Membership) drawPartners(n int, at distance) int {
	before := len(m.partners)
	wanted := func(r *record) bool { return m.isCandidate(r) && m.distanceOf(r) == at }
	if len(m.sorted) <= randomTries {
		m.drawFromAll(n, wanted)
		return len(m.partners) - before
	}
	for try := 0; n > 0 && try < randomTries; try++ {
		r := m.sorted[m.rng.IntN(len(m.sorted))]
		if wanted(r) {
			m.addPartner(r)
			n--
		}
	}
	return len(m.partners) - before
}

// drawFromAll looks at every host of a small fleet, in random order.
func (m *Membership) drawFromAll(n int, wanted func(*record) bool) {
	if n <= 0 {
		return
	}
	for _, i := range m.rng.Perm(len(m.sorted)) {
		if n > 0 && wanted(m.sorted[i]) {
			m.addPartner(m.sorted[i])
			n--
		}
	}
}

func (m *Membership) addPartner(r *record) {
	r.partner = true
	m.partners = append(m.partners, r)
}

func (m *Membership) dropPartner(r *record) {
	if !r.partner {
		return
	}
	r.partner = false
	i := slices.Index(m.partners, r)
	m.partners = slices.Delete(m.partners, i, i+1)
	if i < m.turn {
		m.turn--
	}
}

// chores fills and rotates the partners and forgets hosts that died long ago.
func (m *Membership) chores(now time.Time) {
	if !now.Before(m.nextRotate) {
		m.nextRotate = now.Add(rotateEvery)
		m.rotatePartner()
	}
	m.fillPartners()
	m.forget(now)
}

// rotatePartner drops one partner, so that the graph of partners mixes over
// time and a host that is nobody's partner does not stay so. In a fleet no
// larger than the partners there is nothing to rotate.
func (m *Membership) rotatePartner() {
	if len(m.partners) > 0 && len(m.sorted) > partnerCount+1 {
		m.dropPartner(m.partners[m.rng.IntN(len(m.partners))])
	}
}

func (m *Membership) forget(now time.Time) {
	for _, r := range slices.Clone(m.dead) {
		kept := now.Sub(r.deadSince)
		if (r.State == StateGone && kept > m.config.ForgetConfirmed) || kept > m.config.ForgetAnyway {
			m.remove(r)
		}
	}
}

func (m *Membership) remove(r *record) {
	delete(m.records, r.ID)
	m.sorted = slices.DeleteFunc(m.sorted, func(o *record) bool { return o == r })
	m.dead = slices.DeleteFunc(m.dead, func(o *record) bool { return o == r })
	m.recentLoads = slices.DeleteFunc(m.recentLoads, func(o *record) bool { return o == r })
	m.changed = true
}

// reconnect tries one host that is lost or that only the host list names.
// That heals a fleet that was split: a host believed dead hears of it in the
// probe and refutes. One try each interval is a constant cost.
func (m *Membership) reconnect(now time.Time, calls []Call) []Call {
	if !m.joined || m.isolated(now) {
		calls = m.syncAnywhere(calls)
	}
	strangers := m.strangers()
	if len(strangers)+len(m.dead) == 0 {
		return calls
	}
	m.awaitReconnect(now)
	pick := m.rng.IntN(len(strangers) + len(m.dead))
	if pick >= len(strangers) {
		return append(calls, m.probeCall(now, m.dead[pick-len(strangers)], m.sequence))
	}
	return append(calls, m.greet(strangers[pick]))
}

// greet probes whoever has the address and asks for its addresses.
func (m *Membership) greet(address string) Call {
	return Call{
		Address: address,
		Timeout: m.config.VerdictAfter,
		Probe: &memberpb.ProbeRequest{
			Sender:        m.self.full(),
			Sequence:      m.sequence,
			WantAddresses: true,
			News:          m.configOnly(),
		},
	}
}

// syncAnywhere asks seeds and listed hosts for their view, at random.
func (m *Membership) syncAnywhere(calls []Call) []Call {
	addresses := slices.Concat(m.config.Seeds, m.strangers())
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == m.self.PeerAddress })
	m.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(syncsAtOnce, len(addresses))] {
		calls = append(calls, Call{
			Address: address,
			Timeout: syncTimeout,
			Sync:    &memberpb.SyncRequest{Sender: m.self.full()},
		})
	}
	return calls
}
