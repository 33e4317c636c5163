package discover

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

const (
	// listTimeout bounds one list, which may come in several pages.
	listTimeout = 3 * time.Second
	// firstRetry doubles up to mostRetry: a store that turns this host away
	// gets a call a second, and a host that is let in again knows it within one.
	firstRetry = 100 * time.Millisecond
	mostRetry  = time.Second
)

// Config is what a Follower needs.
type Config struct {
	Store  metastore.Store
	Prefix string
	Now    func() time.Time
	Logger *zap.Logger
	// Apply hears each change, with all objects, on the Follower's goroutine.
	Apply func(objects []metastore.Object)
}

// Follower keeps a Mirror of the objects below a prefix: one list, then
// watches, and a new list whenever a watch can't be continued.
type Follower struct {
	config   Config
	mirror   *Mirror
	revision uint64
	listed   atomic.Bool
	heardAt  atomic.Int64 // nanoseconds since 1970; 0: never
	again    chan struct{}
}

// NewFollower makes a follower; Run starts it.
func NewFollower(config Config) *Follower {
	return &Follower{config: config, mirror: NewMirror(), again: make(chan struct{}, 1)}
}

// Listed reports whether the store has given a whole list.
func (f *Follower) Listed() bool { return f.listed.Load() }

// HeardAt is when the store last answered; zero: never.
func (f *Follower) HeardAt() time.Time {
	if at := f.heardAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Again makes the follower list anew at once: a peer knows more than the
// watch has told, so the watch has lost its other end.
func (f *Follower) Again() {
	select {
	case f.again <- struct{}{}:
	default:
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	retry := firstRetry
	for ctx.Err() == nil {
		err := f.list(ctx)
		for err == nil {
			retry = firstRetry
			err = f.watch(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, errListAgain) || errors.Is(err, metastore.ErrHistoryGone) {
			f.config.Logger.Info("listing anew", zap.String("prefix", f.config.Prefix), zap.Uint64("revision", f.revision), zap.Error(err))
			continue
		}
		f.mirror.Lost()
		f.config.Logger.Warn("lost the metadata store", zap.String("prefix", f.config.Prefix), zap.Uint64("revision", f.revision), zap.Error(err))
		f.wait(ctx, retry)
		retry = min(2*retry, mostRetry)
	}
	return nil
}

var errListAgain = errors.New("discover: a peer knows of a newer revision")

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, revision, err := f.config.Store.List(ctx, f.config.Prefix)
	if err != nil {
		return err
	}
	regained := f.mirror.lost
	f.heard()
	f.revision = revision
	changed := f.mirror.Replace(f.config.Now(), objects)
	if !f.listed.Swap(true) || regained {
		f.config.Logger.Info("listed from the metadata store", zap.String("prefix", f.config.Prefix), zap.Uint64("revision", revision), zap.Int("objects", len(objects)))
		changed = true
	}
	f.apply(changed)
	return nil
}

type watched struct {
	objects  []metastore.Object
	revision uint64
	err      error
}

// watch waits for the next change, doing what falls due meanwhile.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan watched, 1)
	go func() {
		objects, revision, err := f.config.Store.Watch(ctx, f.config.Prefix, f.revision)
		results <- watched{objects, revision, err}
	}()
	for {
		timer := time.NewTimer(f.untilTick())
		select {
		case w := <-results:
			timer.Stop()
			if w.err != nil {
				return w.err
			}
			f.heard()
			f.revision = max(f.revision, w.revision)
			f.apply(f.mirror.Change(f.config.Now(), w.objects))
			return nil
		case <-timer.C:
			f.apply(f.mirror.Tick(f.config.Now()))
		case <-f.again:
			timer.Stop()
			return errListAgain
		}
	}
}

// idleTick is how long the loop sleeps when nothing is due.
const idleTick = time.Minute

func (f *Follower) untilTick() time.Duration {
	next := f.mirror.NextTick()
	if next.IsZero() {
		return idleTick
	}
	return max(next.Sub(f.config.Now()), 0)
}

// wait pauses before the next list, doing what falls due meanwhile.
func (f *Follower) wait(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-f.again:
	case <-ctx.Done():
	}
	f.apply(f.mirror.Tick(f.config.Now()))
}

func (f *Follower) heard() { f.heardAt.Store(f.config.Now().UnixNano()) }

func (f *Follower) apply(changed bool) {
	if changed {
		f.config.Apply(f.mirror.Objects())
	}
}
