// Package catalog owns what the platform says exists: the backend servers of
// its host list and the published snapshots of its object API.
package catalog

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/platform"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// SnapshotPrefix is where index builders publish snapshots:
// snapshots/<index>/<version>, the JSON of a snapshot.Snapshot.
const SnapshotPrefix = "snapshots/"

const (
	// pollEvery is how often the host list is read.
	pollEvery = 500 * time.Millisecond
	// callTimeout bounds one read of the platform.
	callTimeout = 2 * time.Second
	// watchFor bounds one waiting watch; then it is asked again.
	watchFor = 20 * time.Second
)

// Sink takes what is new. Its methods are called from the agent's goroutines.
type Sink interface {
	Servers(rows []platform.ListedHost)
	Snapshots(all []*snapshot.Snapshot)
}

// Agent reads the platform and hands on what changed. When the platform is
// down the last known servers and snapshots stay.
type Agent struct {
	store   platform.Store
	list    platform.HostList
	sink    Sink
	log     *zap.Logger
	heardAt atomic.Int64 // Unix nanoseconds of the platform's last reply
	reached atomic.Bool
}

// NewAgent makes an agent; Run starts it.
func NewAgent(store platform.Store, list platform.HostList, sink Sink, log *zap.Logger) *Agent {
	return &Agent{store: store, list: list, sink: sink, log: log}
}

// HeardAt is when the platform last replied; zero: never.
func (a *Agent) HeardAt() time.Time {
	if ns := a.heardAt.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// Run reads until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	go a.watchSnapshots(ctx)
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		a.pollHosts(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (a *Agent) pollHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := a.list.Hosts(ctx, platform.KindBackend)
	a.note(err)
	if err == nil {
		a.sink.Servers(rows)
	}
}

// note logs only the change between reached and not reached.
func (a *Agent) note(err error) {
	if err == nil {
		a.heardAt.Store(time.Now().UnixNano())
	}
	if reached := err == nil; a.reached.Swap(reached) != reached {
		a.log.Info("platform reached changed", zap.Bool("reached", reached), zap.Error(err))
	}
}

// watchSnapshots lists all snapshots after each change. The list is small: an
// index keeps a few versions.
func (a *Agent) watchSnapshots(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		next, err := a.nextSnapshots(ctx, revision)
		if err != nil {
			pause(ctx, pollEvery)
			continue
		}
		revision = next
	}
}

func (a *Agent) nextSnapshots(ctx context.Context, after uint64) (uint64, error) {
	if after > 0 {
		watch, cancel := context.WithTimeout(ctx, watchFor)
		defer cancel()
		_, next, err := a.store.Watch(watch, SnapshotPrefix, after)
		if errors.Is(err, context.DeadlineExceeded) {
			return after, nil
		}
		if err != nil {
			return after, err
		}
		if next == after {
			return after, nil
		}
		after = next
	}
	read, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, err := a.store.List(read, SnapshotPrefix)
	a.note(err)
	if err != nil {
		return after, err
	}
	all, newest := decode(objects)
	a.sink.Snapshots(all)
	return max(after, newest, 1), nil
}

func decode(objects []platform.Object) (all []*snapshot.Snapshot, newest uint64) {
	for _, object := range objects {
		newest = max(newest, object.Revision)
		s := &snapshot.Snapshot{}
		if json.Unmarshal(object.Value, s) == nil {
			all = append(all, s)
		}
	}
	return all, newest
}

// pause waits for about d, so that hosts that lost the platform together do
// not come back to it in step.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
