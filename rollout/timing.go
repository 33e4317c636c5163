package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Timing and limits of an agent. Only the watchers, a few for each zone, poll
// the store, so its load does not grow with the number of hosts.
const (
	storeTimeout = time.Second
	// storeHeartbeatInterval is how often a watcher reads the ref object, which
	// finds changes that a watch on a stalled connection misses.
	storeHeartbeatInterval = 1500 * time.Millisecond
	// heartbeatsPerHeadRead is how many heartbeats apart a watcher reads the
	// head itself: a submit may have crashed before it updated the ref object.
	heartbeatsPerHeadRead = 40
	// watchTimeout is below the usual idle timeouts of proxies and firewalls.
	watchTimeout         = 25 * time.Second
	watcherCheckInterval = 500 * time.Millisecond
	// storeMaxBackoff bounds how late a watcher learns of a change after an
	// outage of the store.
	storeMinBackoff = 200 * time.Millisecond
	storeMaxBackoff = 2 * time.Second
	// storeCallsPerSecond and storeCallBurst limit a host's reads of the head
	// and the ref, and its watches.
	storeCallsPerSecond = 4
	storeCallBurst      = 8
	// documentsPerSecond limits a host's reads of documents, so that watchers
	// that start together don't overload the store.
	documentsPerSecond = 60
	// fallbackInterval and fallbackBurst limit the reads of the head by a host
	// that can't get an announced configuration from its peers.
	fallbackInterval = time.Minute
	fallbackBurst    = 2

	// peerTimeout is several round trips between regions.
	peerTimeout = 700 * time.Millisecond
	// notifyFanout is how many peers a host notifies of a new configuration.
	// Hosts that are missed learn of it from the next membership message.
	notifyFanout = 8
	// pullJitter spreads the pulls of hosts that are notified together.
	pullJitter     = 30 * time.Millisecond
	pullMinBackoff = 50 * time.Millisecond
	pullMaxBackoff = time.Second
	// pullFailuresBeforeStore is after how many failures a pull may read the
	// store, so that a loss of peers doesn't send all hosts there at once.
	pullFailuresBeforeStore = 3
	// maxPullFailures is after how many failed pulls the target is dropped.
	maxPullFailures = 8
	// startupPeers is how many peers a starting host queries.
	startupPeers = 3
	// startupPeersTimeout is how long a starting host waits for the address of a
	// first peer.
	startupPeersTimeout = 500 * time.Millisecond
	// maxConcurrentServes bounds the concurrent requests from peers; the first
	// host with a new configuration would otherwise be overloaded.
	maxConcurrentServes = 32
	// maxReplyDocumentBytes bounds the documents in one reply to a peer.
	maxReplyDocumentBytes = 512 << 10
	// maxRecentConfigs is how many earlier configurations are kept to send
	// differences from.
	maxRecentConfigs = 8
	// eventQueueLength is the capacity of the control loop's queues.
	eventQueueLength = 64
)

// lockedRand makes one source of jitter safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newLockedRand(source *rand.Rand) *lockedRand { return &lockedRand{source: source} }

// upTo returns a random duration from 0 to limit, inclusive.
func (r *lockedRand) upTo(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.source.Int64N(int64(limit) + 1))
}

// withJitter returns d with a jitter of ±20%.
func (a *Agent) withJitter(d time.Duration) time.Duration {
	return d*4/5 + a.jitter(d*2/5)
}

// tasks is a group of goroutines that share a context and end together.
type tasks struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func newTasks(ctx context.Context) *tasks {
	ctx, cancel := context.WithCancel(ctx)
	return &tasks{ctx: ctx, cancel: cancel}
}

func (t *tasks) run(f func(context.Context)) {
	t.group.Go(func() { f(t.ctx) })
}

func (t *tasks) stop() {
	t.cancel()
	t.group.Wait()
}
