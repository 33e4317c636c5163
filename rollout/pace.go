package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Pace of an agent. The store's figures bound what a fleet costs the platform:
// only watchers, a few for each zone, follow the store, so the rate at rest is
// watchers x (1/heartbeat + 1/watch) whatever the number of hosts.
const (
	// storeTimeout bounds a call to the store; it answers in milliseconds.
	storeTimeout = time.Second
	// storeHeartbeat is how often a watcher reads the small ref object beside
	// its watch. A watch whose connection went silent would say nothing for
	// good; the heartbeat finds what it missed, well within the 4 s for a
	// rollout. The head itself would be 11 KB/s at the target size.
	storeHeartbeat = 1500 * time.Millisecond
	// headEvery is how many heartbeats apart a watcher reads the head itself,
	// for the submit that died between moving the head and writing the ref.
	headEvery = 40
	// watchWait is how long one watch waits; it ends before any middlebox
	// forgets the connection.
	watchWait = 25 * time.Second
	// watcherCheck is how often a host asks whether it is a watcher.
	watcherCheck = 500 * time.Millisecond
	// Backoff after a failed call to the store. The last value bounds how long
	// after the end of an outage a watcher hears of a change.
	storeFirstBackoff = 200 * time.Millisecond
	storeLastBackoff  = 2 * time.Second
	// storeCallsPerSecond and storeCallBurst bound a host's reads of the head
	// and its watches, whatever goes wrong.
	storeCallsPerSecond = 4
	storeCallBurst      = 8
	// documentsPerSecond bounds a host's reads of documents. A starting watcher
	// of a large bundle has it in seconds; 24 watchers that all start stay
	// below the platform's 2,000 reads a second.
	documentsPerSecond = 60
	// fallbackEvery and fallbackBurst bound the reads of the head by a host that is no
	// watcher and whose peers don't have what they name: 3,400 hosts make 57
	// a second.
	fallbackEvery = time.Minute
	fallbackBurst = 2

	// peerTimeout bounds a call to a peer. Between regions a round trip is
	// tens of milliseconds; a paused peer must not hold a pull up for long.
	peerTimeout = 700 * time.Millisecond
	// notifyFanout is how many peers a host tells when it has applied a
	// configuration: about 70 bytes each. With 8, one host in 3,000 doesn't
	// hear by this way (e^-8) and hears with the next message of membership;
	// with 4 it was one in 55, and one of 7 hosts now and then.
	notifyFanout = 8
	// pullJitter spreads the pulls of hosts that hear at the same moment.
	pullJitter = 30 * time.Millisecond
	// Backoff between failed pulls.
	pullFirstBackoff = 50 * time.Millisecond
	pullLastBackoff  = time.Second
	// pullsBeforeStore is how many peers are tried before the store is. When
	// peers are gone all hosts of a zone would otherwise turn to the store at
	// the same moment.
	pullsBeforeStore = 3
	// pullTries is after how many failed pulls a configuration is forgotten.
	pullTries = 8
	// startPeers is how many peers a starting host asks.
	startPeers = 3
	// startPeersWait is how long a starting host waits for a first peer's
	// address.
	startPeersWait = 500 * time.Millisecond
	// servedAtOnce bounds the pulls that a host serves at once; more are told
	// to try another peer, so that the first host with a new configuration is
	// not swamped.
	servedAtOnce = 32
	// replyDocumentsBytes bounds the documents of one reply between peers.
	replyDocumentsBytes = 512 << 10
	// recentKept is how many earlier configurations a host can compute the
	// difference from.
	recentKept = 8
	// eventBuffer is the length of the control goroutine's queues.
	eventBuffer = 64
)

// lockedRand lets the agent's goroutines share one source of jitter.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newLockedRand(source *rand.Rand) *lockedRand { return &lockedRand{source: source} }

func (r *lockedRand) upTo(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.source.Int64N(int64(limit) + 1))
}

// around spreads d over 80% to 120%.
func (a *Agent) around(d time.Duration) time.Duration {
	return d*4/5 + a.jitter(d*2/5)
}

// tasks are the goroutines of one Run; they all end with it.
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
