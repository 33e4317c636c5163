// Package catalog owns what the platform says exists: the backend servers of
// its host list and the published snapshots of its object API. A few hosts of
// each availability zone, the watchers, read the platform; the others ask one
// of them what has changed, so that the platform's load does not grow with the
// number of hosts.
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

// SnapshotPrefix is where index builders publish snapshots:
// snapshots/<index>/<version>, the JSON of a snapshot.Snapshot.
const SnapshotPrefix = "snapshots/"

// hostsPrefix is where the log keeps the rows of the host list.
const hostsPrefix = "hosts/"

const (
	// pollEvery is how often a watcher reads the host list.
	pollEvery = 500 * time.Millisecond
	// followEvery is how often the others ask a watcher. Together with
	// pollEvery it keeps the news of a leaving server well under 3 s.
	followEvery = time.Second
	// callTimeout bounds one read of the platform, followTimeout one question
	// to a watcher.
	callTimeout   = 2 * time.Second
	followTimeout = 500 * time.Millisecond
	// watchFor bounds one waiting watch; then it is asked again.
	watchFor = 20 * time.Second
	// lostWatchers rounds without a watcher's reply make a host read the
	// platform itself.
	lostWatchers = 3
)

// Sink takes what is new. Its methods are called from the agent's goroutines.
type Sink interface {
	Servers(rows []metastore.ListedHost)
	Snapshots(all []*snapshot.Snapshot)
}

// Peers connects to other entry hosts; *peer.Pool does.
type Peers interface {
	Conn(ctx context.Context, address string) drpc.Conn
}

// Config is what an Agent works with; every field is required.
type Config struct {
	Store    metastore.Store
	HostList metastore.HostList
	Sink     Sink
	Peers    Peers
	// IsWatcher tells whether this host reads the platform for its zone.
	IsWatcher func() bool
	// Watchers are the peers' listeners of hosts to ask, best first.
	Watchers func() []string
	// Epoch is this host's incarnation.
	Epoch uint64
	Log   *zap.Logger
}

// Agent keeps the catalogue of one host. When platform and watchers are gone
// the last known servers and snapshots stay.
type Agent struct {
	config  Config
	heardAt atomic.Int64 // Unix nanoseconds of the platform's last word; 0: never
	reached atomic.Bool

	mu  sync.Mutex
	log *Log

	follow follower
}

// NewAgent makes an agent; Run starts it.
func NewAgent(config Config) *Agent {
	return &Agent{config: config, log: NewLog(config.Epoch)}
}

// LastContact is when the platform last replied, to this host or to the watcher
// that it follows; zero: never.
func (a *Agent) LastContact() time.Time {
	if ns := a.heardAt.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// Run keeps the catalogue until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	go a.watchSnapshots(ctx)
	for ctx.Err() == nil {
		if a.readsPlatform() && a.readHosts(ctx) {
			pause(ctx, pollEvery)
			continue
		}
		a.followWatcher(ctx)
		pause(ctx, followEvery)
	}
	return nil
}

// readsPlatform: the watchers do, and hosts that have lost theirs.
func (a *Agent) readsPlatform() bool {
	return a.config.IsWatcher() || a.follow.lost() || len(a.config.Watchers()) == 0
}

// readHosts reports whether the platform replied. If it did not, a peer may
// know more: a host that starts in an outage knows nothing at all.
func (a *Agent) readHosts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := a.config.HostList.Hosts(ctx, metastore.KindBackend)
	a.note(err)
	if err != nil {
		return false
	}
	next := make(map[string][]byte, len(rows))
	for _, row := range rows {
		raw, err := json.Marshal(row)
		if err == nil {
			next[hostsPrefix+row.Name] = raw
		}
	}
	a.change(func(l *Log) bool { return l.Replace(hostsPrefix, next) })
	return true
}

// note logs only the change between reached and not reached.
func (a *Agent) note(err error) {
	if err == nil {
		a.heardAt.Store(time.Now().UnixNano())
	}
	if reached := err == nil; a.reached.Swap(reached) != reached {
		a.config.Log.Info("platform reached changed", zap.Bool("reached", reached), zap.Error(err))
	}
}

// change changes the log and hands on what is there now, if anything changed.
func (a *Agent) change(change func(*Log) bool) {
	a.mu.Lock()
	if !change(a.log) {
		a.mu.Unlock()
		return
	}
	hosts, snapshots := a.log.Below(hostsPrefix), a.log.Below(SnapshotPrefix)
	a.mu.Unlock()
	a.config.Sink.Snapshots(decode[*snapshot.Snapshot](snapshots))
	a.config.Sink.Servers(decode[metastore.ListedHost](hosts))
}

// decode leaves out what can't be read: one bad row must not hide the others.
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
			pause(ctx, followEvery)
			continue
		}
		next, err := a.nextSnapshots(ctx, revision)
		if err != nil {
			pause(ctx, pollEvery)
			continue
		}
		revision = next
	}
}

// nextSnapshots lists all snapshots after each change. The list is small: an
// index keeps a few versions.
func (a *Agent) nextSnapshots(ctx context.Context, after metastore.Revision) (metastore.Revision, error) {
	if after > 0 {
		next, err := a.awaitChange(ctx, after)
		if err != nil || next == after {
			return after, err
		}
		after = next
	}
	read, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := a.config.Store.List(read, SnapshotPrefix)
	a.note(err)
	if err != nil {
		return after, err
	}
	next := make(map[string][]byte, len(objects))
	for _, object := range objects {
		after = max(after, object.Revision)
		next[object.Key] = object.Value
	}
	a.change(func(l *Log) bool { return l.Replace(SnapshotPrefix, next) })
	return max(after, 1), nil
}

func (a *Agent) awaitChange(ctx context.Context, after metastore.Revision) (metastore.Revision, error) {
	watch, cancel := context.WithTimeout(ctx, watchFor)
	defer cancel()
	_, next, err := a.config.Store.Watch(watch, SnapshotPrefix, after)
	if errors.Is(err, context.DeadlineExceeded) {
		return after, nil
	}
	return next, err
}

// pause waits for about d, so that hosts that lost the platform together do
// not come back to it in step.
func pause(ctx context.Context, d time.Duration) {
	wait.For(ctx, d*3/4+rand.N(d/2))
}
