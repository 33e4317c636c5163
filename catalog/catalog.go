// Package catalog replicates the platform's backend servers, from its host list, and
// published snapshots, from its object API. A few hosts of each availability zone, the
// watchers, read the platform; the others get changes from one of them, so that the
// platform's load does not grow with the number of hosts.
package catalog

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/internal/wait"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// SnapshotPrefix is the prefix of the keys of published snapshots,
// snapshots/<index>/<version>. The value is the JSON of a snapshot.Snapshot.
const SnapshotPrefix = "snapshots/"

// hostsPrefix is the prefix of the host list's rows in the log.
const hostsPrefix = "hosts/"

const (
	// pollInterval is the interval at which a watcher reads the host list.
	pollInterval = 500 * time.Millisecond
	// followInterval is the interval at which other hosts ask a watcher. With
	// pollInterval it lets all hosts learn of a leaving server well within 3 s.
	followInterval = time.Second
	// callTimeout bounds a call to the platform.
	callTimeout = 2 * time.Second
	// followTimeout bounds a call to a watcher.
	followTimeout = 500 * time.Millisecond
	// watchTimeout bounds one watch.
	watchTimeout = 20 * time.Second
	// maxFailedRounds is the number of consecutive rounds without a reply by a watcher
	// after which a host reads the platform itself.
	maxFailedRounds = 3
)

// Sink receives the catalog after each change. Its methods are called from the agent's
// goroutines.
type Sink interface {
	Servers(rows []metastore.ListedHost)
	Snapshots(all []*snapshot.Snapshot)
}

// Peers connects to other entry hosts, as *peer.Pool does.
type Peers interface {
	Conn(ctx context.Context, address string) drpc.Conn
}

// Config configures an Agent; all fields are required.
type Config struct {
	Store    metastore.Store
	HostList metastore.HostList
	Sink     Sink
	Peers    Peers
	// IsWatcher reports whether this host reads the platform for its zone.
	IsWatcher func() bool
	// Watchers returns the peer addresses of watchers to ask, preferred ones first.
	Watchers func() []string
	// Epoch is this host's incarnation.
	Epoch  uint64
	Logger *zap.Logger
}

// Agent keeps the catalog of one host up to date. While neither the platform nor a
// watcher answers, it keeps the last known servers and snapshots.
type Agent struct {
	config          Config
	lastContact     atomic.Int64 // Unix nanoseconds of the platform's last reply; 0: never
	platformReached atomic.Bool

	mu        sync.Mutex
	changeLog *ChangeLog

	follower follower
}

// NewAgent returns an agent; Run starts it.
func NewAgent(config Config) *Agent {
	return &Agent{config: config, changeLog: NewChangeLog(config.Epoch)}
}

// LastContact is when the platform last replied to this host or to the watcher that it
// follows; zero: never.
func (a *Agent) LastContact() time.Time {
	if unixNanos := a.lastContact.Load(); unixNanos != 0 {
		return time.Unix(0, unixNanos)
	}
	return time.Time{}
}

// Run keeps the catalog up to date until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	go a.watchSnapshots(ctx)
	for ctx.Err() == nil {
		if a.readsPlatform() && a.readHosts(ctx) {
			pause(ctx, pollInterval)
			continue
		}
		a.followWatcher(ctx)
		pause(ctx, followInterval)
	}
	return nil
}

// readsPlatform reports whether this host reads the platform itself: watchers do, and
// hosts that reach no watcher.
func (a *Agent) readsPlatform() bool {
	return a.config.IsWatcher() || a.follower.hasLostWatchers() || len(a.config.Watchers()) == 0
}

// readHosts reads the host list and reports whether the platform replied.
func (a *Agent) readHosts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := a.config.HostList.Hosts(ctx, metastore.KindBackend)
	a.notePlatformReply(err)
	if err != nil {
		return false
	}
	next := make(map[string][]byte, len(rows))
	for _, row := range rows {
		encoded, err := json.Marshal(row)
		if err == nil {
			next[hostsPrefix+row.Name] = encoded
		}
	}
	a.update(func(l *ChangeLog) bool { return l.Replace(hostsPrefix, next) })
	return true
}

// notePlatformReply records whether a call reached the platform, and logs when that changes.
func (a *Agent) notePlatformReply(err error) {
	if err == nil {
		a.lastContact.Store(time.Now().UnixNano())
	}
	if reached := err == nil; a.platformReached.Swap(reached) != reached {
		a.config.Logger.Info("platform reachability changed", zap.Bool("reached", reached), zap.Error(err))
	}
}

// update changes the log and passes the catalog to the sink if anything changed.
func (a *Agent) update(apply func(*ChangeLog) bool) {
	a.mu.Lock()
	if !apply(a.changeLog) {
		a.mu.Unlock()
		return
	}
	hosts, snapshots := a.changeLog.Values(hostsPrefix), a.changeLog.Values(SnapshotPrefix)
	a.mu.Unlock()
	a.config.Sink.Snapshots(decode[*snapshot.Snapshot](snapshots))
	a.config.Sink.Servers(decode[metastore.ListedHost](hosts))
}

// decode skips values that can't be decoded, so that one bad row does not hide the others.
func decode[T any](values [][]byte) []T {
	all := make([]T, 0, len(values))
	for _, value := range values {
		var one T
		if json.Unmarshal(value, &one) == nil {
			all = append(all, one)
		}
	}
	return all
}

func (a *Agent) watchSnapshots(ctx context.Context) {
	revision := metastore.Revision(0)
	for ctx.Err() == nil {
		if !a.readsPlatform() {
			revision = 0
			pause(ctx, followInterval)
			continue
		}
		next, err := a.nextSnapshots(ctx, revision)
		if err != nil {
			pause(ctx, pollInterval)
			continue
		}
		revision = next
	}
}

// nextSnapshots waits for a change after a revision and lists all snapshots. It returns
// the revision to continue from; after revision 0 it lists at once.
func (a *Agent) nextSnapshots(ctx context.Context, after metastore.Revision) (metastore.Revision, error) {
	if after > 0 {
		next, err := a.awaitChange(ctx, after)
		if err != nil || next == after {
			return after, err
		}
		after = next
	}
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := a.config.Store.List(readCtx, SnapshotPrefix)
	a.notePlatformReply(err)
	if err != nil {
		return after, err
	}
	next := make(map[string][]byte, len(objects))
	for _, object := range objects {
		after = max(after, object.Revision)
		next[object.Key] = object.Value
	}
	a.update(func(l *ChangeLog) bool { return l.Replace(SnapshotPrefix, next) })
	return max(after, 1), nil
}

func (a *Agent) awaitChange(ctx context.Context, after metastore.Revision) (metastore.Revision, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	_, next, err := a.config.Store.Watch(watchCtx, SnapshotPrefix, after)
	if errors.Is(err, context.DeadlineExceeded) {
		return after, nil
	}
	return next, err
}

// pause waits for d with jitter, so that hosts don't call the platform in step.
func pause(ctx context.Context, d time.Duration) {
	wait.For(ctx, d*3/4+rand.N(d/2))
}
