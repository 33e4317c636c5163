package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

const (
	// gossipBytesPerSecond is the sustained rate of a host's queued updates. It keeps all
	// membership traffic of a host under 3 KB/s, sent and received together.
	gossipBytesPerSecond = 512
	// gossipBurstBytes allows for the loss of a large availability zone, about 50 bytes
	// for each state change of a host, sent several times.
	gossipBurstBytes = 128 << 10
	// maxGossipBytes bounds the queued updates in one message.
	maxGossipBytes = 8 << 10
	// minGossipBytes is available even when the budget is spent, so that a host's
	// updates about itself are never starved.
	minGossipBytes = 128
)

// updateKey identifies the subject of an update; a newer update replaces an older one
// with the same key.
type updateKey struct {
	kind        updateKind
	name        string
	incarnation uint64
	request     uint64
}

type updateKind uint8

const (
	hostUpdate updateKind = iota
	backendUpdate
	requestUpdate
)

// broadcast is a queued update. The host's state is read when the update is sent, so
// that it is never older than the sender's record.
type broadcast struct {
	key           updateKey
	host          *record
	backend       *memberpb.BackendNews
	request       *memberpb.SuspectRequestNews
	receivedAt    time.Time // of backend or request; their ages on the wire grow from here
	transmissions int
	superseded    bool // replaced by a newer update
}

// broadcastQueue holds the updates to send, least often sent first. Each is sent a
// bounded number of times, and all share a token bucket of bytes.
type broadcastQueue struct {
	levels     [][]*broadcast // by the number of transmissions
	items      map[updateKey]*broadcast
	tokens     float64
	refilledAt time.Time
}

func newBroadcastQueue(now time.Time) *broadcastQueue {
	return &broadcastQueue{items: make(map[updateKey]*broadcast), tokens: gossipBurstBytes, refilledAt: now}
}

func (q *broadcastQueue) put(b *broadcast) {
	if old := q.items[b.key]; old != nil {
		old.superseded = true
	}
	q.items[b.key] = b
	q.push(b)
}

func (q *broadcastQueue) push(b *broadcast) {
	for len(q.levels) <= b.transmissions {
		q.levels = append(q.levels, nil)
	}
	q.levels[b.transmissions] = append(q.levels[b.transmissions], b)
}

// fill adds updates to the message as far as the budget allows. An update is dropped
// after limit transmissions.
func (q *broadcastQueue) fill(now time.Time, gossip *memberpb.News, limit int) {
	budget := q.available(now)
	var sent []*broadcast
	for level := range q.levels {
		pending := q.levels[level]
		for len(pending) > 0 {
			b := pending[0]
			if b.superseded {
				pending = pending[1:]
				continue
			}
			size := b.addTo(gossip, now)
			if size > budget {
				b.removeFrom(gossip)
				q.levels[level] = pending
				q.requeue(sent, limit)
				return
			}
			budget -= size
			q.spend(size)
			pending = pending[1:]
			sent = append(sent, b)
		}
		q.levels[level] = q.levels[level][:0]
	}
	q.requeue(sent, limit)
}

// requeue counts one transmission of each update and queues it again, or drops it
// at the limit.
func (q *broadcastQueue) requeue(sent []*broadcast, limit int) {
	for _, b := range sent {
		b.transmissions++
		if b.transmissions >= limit {
			delete(q.items, b.key)
			continue
		}
		q.push(b)
	}
}

func (q *broadcastQueue) available(now time.Time) int {
	q.refill(now)
	return min(maxGossipBytes, max(int(q.tokens), minGossipBytes))
}

func (q *broadcastQueue) refill(now time.Time) {
	elapsed := now.Sub(q.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	q.tokens = min(gossipBurstBytes, q.tokens+elapsed*gossipBytesPerSecond)
	q.refilledAt = now
}

func (q *broadcastQueue) spend(bytes int) { q.tokens = max(0, q.tokens-float64(bytes)) }

// fieldOverhead is the size of the tag and length of an embedded message, in bytes.
const fieldOverhead = 2

func (b *broadcast) addTo(gossip *memberpb.News, now time.Time) int {
	var size int
	switch b.key.kind {
	case hostUpdate:
		entry := b.host.update(now)
		gossip.Hosts = append(gossip.Hosts, entry)
		size = proto.Size(entry)
	case backendUpdate:
		entry := agedBackend(b.backend, now.Sub(b.receivedAt))
		gossip.Backends = append(gossip.Backends, entry)
		size = proto.Size(entry)
	case requestUpdate:
		entry := agedRequest(b.request, now.Sub(b.receivedAt))
		gossip.Suspects = append(gossip.Suspects, entry)
		size = proto.Size(entry)
	}
	return size + fieldOverhead
}

// agedBackend is the update as sent after it was held for a time.
func agedBackend(update *memberpb.BackendNews, held time.Duration) *memberpb.BackendNews {
	return &memberpb.BackendNews{
		Server: update.Server, Incarnation: update.Incarnation,
		HeldMs: update.HeldMs + uint32(held.Milliseconds()),
	}
}

// agedRequest is the update as sent after it was held for a time.
func agedRequest(update *memberpb.SuspectRequestNews, held time.Duration) *memberpb.SuspectRequestNews {
	ms := uint32(held.Milliseconds())
	return &memberpb.SuspectRequestNews{
		Fingerprint: update.Fingerprint, Server: update.Server, ServerIncarnation: update.ServerIncarnation,
		InFlight: update.InFlight, Canary: update.Canary, AgeMs: update.AgeMs + ms, HeldMs: update.HeldMs + ms,
	}
}

func (b *broadcast) removeFrom(gossip *memberpb.News) {
	switch b.key.kind {
	case hostUpdate:
		gossip.Hosts = gossip.Hosts[:len(gossip.Hosts)-1]
	case backendUpdate:
		gossip.Backends = gossip.Backends[:len(gossip.Backends)-1]
	case requestUpdate:
		gossip.Suspects = gossip.Suspects[:len(gossip.Suspects)-1]
	}
}
