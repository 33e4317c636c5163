package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// Gossip announces updates about backend servers and requests only once. A host that was
// not there, was cut off, or joined through hosts that had just started themselves gets
// them by comparing digests with a neighbor from time to time.

const (
	// recentInterval is the interval between comparisons with a random neighbor.
	recentInterval = 5 * time.Second
	// joinRecentInterval is the interval of the first joinRecentCount comparisons: until
	// then the host may send a quarantined request to backend servers.
	joinRecentInterval = 500 * time.Millisecond
	joinRecentCount    = 8
	// agreementAge is for how long a comparison that found no difference counts.
	agreementAge = 2 * recentInterval
	// maxRecentDelay bounds the doubled delay after requests that brought nothing new.
	maxRecentDelay = time.Minute
	// maxFruitless keeps the doubled delay from overflowing.
	maxFruitless = 8
	// recentTimeout is the timeout of one comparison.
	recentTimeout = time.Second
	// recentBuckets is the number of digests that locate a difference, so that a reply
	// carries a small part of the updates that both hosts have.
	recentBuckets = 64
	// recentReserve is the part of the gossip budget that replies leave to new updates.
	recentReserve = gossipBurstBytes / 2
	// recentBytesPerSecond and recentBurstBytes are for replies alone: after a restart of
	// a large fleet the news of hosts takes the whole gossip budget.
	recentBytesPerSecond = 64
	recentBurstBytes     = 32 << 10
)

// recentState schedules the comparisons of one host.
type recentState struct {
	nextAt    time.Time
	joinsLeft int     // comparisons left at joinRecentInterval
	differing *record // whose digest differed, to be sent the digests of the buckets
	agreedAt  time.Time
	fruitless int       // requests for what differs in a row that brought nothing new
	waitUntil time.Time // no further such request before

	tokens     float64 // bytes for replies beyond the gossip budget
	refilledAt time.Time
}

// available refills the tokens and returns them.
func (r *recentState) available(now time.Time) int {
	if r.refilledAt.IsZero() {
		r.tokens = recentBurstBytes
	} else {
		r.tokens = min(recentBurstBytes, r.tokens+max(0, now.Sub(r.refilledAt).Seconds())*recentBytesPerSecond)
	}
	r.refilledAt = now
	return int(r.tokens)
}

// noteResult delays the next request for what differs after one that brought nothing new.
// When there are more updates than a host keeps, hosts differ for long.
func (r *recentState) noteResult(now time.Time, isNew bool) {
	if isNew {
		r.fruitless, r.waitUntil = 0, time.Time{}
		return
	}
	r.waitUntil = now.Add(min(joinRecentInterval<<r.fruitless, maxRecentDelay))
	r.fruitless = min(r.fruitless+1, maxFruitless)
}

func (r *recentState) begin(now time.Time) {
	r.nextAt = now
	r.joinsLeft = joinRecentCount
}

// recentUpdate is an update of either kind with its ages as of sending.
type recentUpdate struct {
	backend *memberpb.BackendNews
	request *memberpb.SuspectRequestNews
}

func (u recentUpdate) addTo(news *memberpb.News) {
	if u.backend != nil {
		news.Backends = append(news.Backends, u.backend)
		return
	}
	news.Suspects = append(news.Suspects, u.request)
}

func (u recentUpdate) size() int {
	if u.backend != nil {
		return proto.Size(u.backend) + fieldOverhead
	}
	return proto.Size(u.request) + fieldOverhead
}

// hash is the same on all hosts.
func (k updateKey) hash() uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, byte(k.kind))
	buffer = binary.LittleEndian.AppendUint64(buffer, k.incarnation)
	buffer = binary.LittleEndian.AppendUint64(buffer, k.request)
	buffer = append(buffer, k.name...)
	return xxhash.Sum64(buffer)
}

// eachRecent calls f for each update that hosts which lack it should get.
func (m *Membership) eachRecent(now time.Time, f func(hash uint64, update recentUpdate)) {
	m.seenBackends.each(now, recentAge, func(key updateKey, announcedAt time.Time, backend *memberpb.BackendNews) {
		held := now.Sub(announcedAt) - time.Duration(backend.HeldMs)*time.Millisecond
		f(key.hash(), recentUpdate{backend: agedBackend(backend, held)})
	})
	m.seenRequests.each(now, recentAge, func(key updateKey, announcedAt time.Time, request *memberpb.SuspectRequestNews) {
		held := now.Sub(announcedAt) - time.Duration(request.HeldMs)*time.Millisecond
		f(key.hash(), recentUpdate{request: agedRequest(request, held)})
	})
}

// recentDigest returns the digest of the recent updates, and that of each bucket.
func (m *Membership) recentDigest(now time.Time) (digest uint64, buckets []uint32) {
	buckets = make([]uint32, recentBuckets)
	add := func(hash uint64) {
		digest ^= hash
		buckets[hash%recentBuckets] ^= uint32(hash >> 32)
	}
	m.seenBackends.each(now, recentAge, func(key updateKey, _ time.Time, _ *memberpb.BackendNews) { add(key.hash()) })
	m.seenRequests.each(now, recentAge, func(key updateKey, _ time.Time, _ *memberpb.SuspectRequestNews) { add(key.hash()) })
	return digest, buckets
}

// compareRecentIfDue starts the comparison that is due, and the second step of one that
// found a difference.
func (m *Membership) compareRecentIfDue(now time.Time, calls []Call) []Call {
	if r := m.recent.differing; r != nil {
		m.recent.differing = nil
		digest, buckets := m.recentDigest(now)
		calls = append(calls, m.recentCall(now, r.PeerAddress, digest, buckets))
	}
	if m.joined && !now.Before(m.recent.nextAt) {
		calls = m.compareRecent(now, calls)
	}
	return calls
}

// compareRecent sends the digest to a neighbor. The first comparison after joining goes to
// the neighbor that started first, because the others may have just started too.
func (m *Membership) compareRecent(now time.Time, calls []Call) []Call {
	interval := recentInterval
	targets := m.randomNeighbors(1, nil)
	if m.recent.joinsLeft > 0 {
		if m.recent.joinsLeft == joinRecentCount {
			targets = oldestOf(m.randomNeighbors(neighborCount, nil))
		}
		m.recent.joinsLeft--
		interval = joinRecentInterval
	}
	m.recent.nextAt = now.Add(interval)
	if len(targets) == 0 {
		return calls
	}
	digest, _ := m.recentDigest(now)
	return append(calls, m.recentCall(now, targets[0].PeerAddress, digest, nil))
}

// oldestOf returns the host that started first, by its incarnation.
func oldestOf(hosts []*record) []*record {
	if len(hosts) == 0 {
		return nil
	}
	oldest := hosts[0]
	for _, r := range hosts[1:] {
		if r.Incarnation < oldest.Incarnation {
			oldest = r
		}
	}
	return []*record{oldest}
}

func (m *Membership) recentCall(now time.Time, address string, digest uint64, buckets []uint32) Call {
	return Call{
		Address: address,
		Timeout: recentTimeout,
		Recent:  &memberpb.RecentRequest{Sender: m.senderUpdate(now), Digest: digest, Buckets: buckets},
	}
}

// ServeRecent answers a comparison. It returns nil if this process has departed or was
// replaced.
func (m *Membership) ServeRecent(now time.Time, request *memberpb.RecentRequest) *memberpb.RecentReply {
	m.detectPause(now)
	if !m.accepts("") {
		return nil
	}
	m.merge(now, request.Sender, nil)
	digest, buckets := m.recentDigest(now)
	reply := &memberpb.RecentReply{Sender: m.senderUpdate(now), Differs: digest != request.Digest}
	if reply.Differs && len(request.Buckets) == recentBuckets {
		reply.News = m.differingUpdates(now, buckets, request.Buckets)
		return reply
	}
	// The sender may be no neighbor of any host that lacks its updates.
	m.noteComparison(now, reply.Differs, request.Sender)
	return reply
}

// noteComparison has the other host asked for what differs.
func (m *Membership) noteComparison(now time.Time, differs bool, other *memberpb.HostNews) {
	if !differs {
		m.recent.agreedAt = now
		return
	}
	if !now.Before(m.recent.waitUntil) {
		m.recent.differing = m.records[ident.HostID(other.GetHost())]
	}
}

// differingUpdates returns updates of the buckets that differ, as far as the gossip
// budget allows. Where they exceed it, the next comparisons get others.
func (m *Membership) differingUpdates(now time.Time, own, other []uint32) *memberpb.News {
	var updates []recentUpdate
	m.eachRecent(now, func(hash uint64, update recentUpdate) {
		if bucket := hash % recentBuckets; own[bucket] != other[bucket] {
			updates = append(updates, update)
		}
	})
	news := &memberpb.News{}
	reserved := m.recent.available(now)
	shared := max(0, min(m.broadcasts.available(now), int(m.broadcasts.tokens)-recentReserve))
	budget := min(maxGossipBytes, reserved+shared)
	spent := 0
	for _, i := range m.rng.Perm(len(updates)) {
		size := updates[i].size()
		if size > budget {
			break
		}
		budget -= size
		spent += size
		updates[i].addTo(news)
	}
	m.broadcasts.spend(min(spent, shared))
	m.recent.tokens -= float64(spent - min(spent, shared))
	return news
}

// RecentDone handles the result of a comparison; a nil reply means that it failed.
func (m *Membership) RecentDone(now time.Time, request *memberpb.RecentRequest, reply *memberpb.RecentReply) {
	m.detectPause(now)
	if reply == nil {
		return
	}
	m.notePeerContact(now)
	m.merge(now, reply.Sender, nil)
	if len(request.Buckets) == 0 {
		m.noteComparison(now, reply.Differs, reply.Sender)
		return
	}
	// A host that agreed with this one lacks the updates too, as after a restart of most
	// of the fleet. Otherwise most hosts have them, and gossip would only cost.
	isNew := m.mergeRecent(now, reply.News, now.Sub(m.recent.agreedAt) <= agreementAge)
	m.recent.noteResult(now, isNew)
}
