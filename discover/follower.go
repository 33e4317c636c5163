package discover

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

const (
	// listTimeout bounds one list, which may come in several pages.
	listTimeout = 3 * time.Second
	// firstRetry doubles up to mostRetry: a store that turns this host away
	// gets a call a second, and a host that is let in again knows it within one.
	firstRetry = 100 * time.Millisecond
	mostRetry  = time.Second
	// leastWait and mostWait bound how long one watch waits in a small fleet.
	//
	// Failure: the store drops its history, or loses track of the watches, and
	// they hear nothing of a change that was made meanwhile. The guard holds
	// because watches end at random times: the first host of the fleet to watch
	// again is told, and the others hear of it from their peers.
	leastWait = 2 * time.Second
	mostWait  = 4 * time.Second
	// smallFleet is the number of hosts up to which these hold; in a larger one
	// each host waits longer in proportion, so that the calls of all together
	// stay the same, and so does the time until the first one is told.
	smallFleet = 8
	// longestWait bounds the wait: the store takes no more than 30 s.
	longestWait = 25 * time.Second
)

// Config is what a Follower needs.
type Config struct {
	Store  metastore.Store
	Prefix string
	Now    func() time.Time
	Logger *zap.Logger
	// Apply hears each change, with all objects, on the Follower's goroutine,
	// and the store's revision at which it holds.
	Apply func(objects []metastore.Object, revision uint64)
	// Hosts is how many hosts follow the same store; nil: this one only.
	Hosts func() int
	// Settle is how long changes are gathered before the next watch, so that a
	// start of many servers costs each host a few calls; 0: not at all.
	Settle time.Duration
}

// Follower keeps a Mirror of the objects below a prefix: one list, then
// watches, and a new list whenever a watch can't be continued.
type Follower struct {
	config   Config
	mirror   *Mirror
	revision atomic.Uint64
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

// Revision is the store's revision up to which changes are known.
func (f *Follower) Revision() uint64 { return f.revision.Load() }

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
			f.config.Logger.Info("listing anew", zap.String("prefix", f.config.Prefix), zap.Uint64("revision", f.revision.Load()), observe.Reason(err))
			continue
		}
		f.mirror.Lost()
		f.config.Logger.Warn("lost the metadata store", zap.String("prefix", f.config.Prefix), zap.Uint64("revision", f.revision.Load()), observe.Reason(err))
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
	f.revision.Store(max(revision, f.revision.Load()))
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
	wait := f.nextWait()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		objects, revision, err := f.config.Store.Watch(ctx, f.config.Prefix, f.revision.Load())
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
			f.revision.Store(max(f.revision.Load(), w.revision))
			f.apply(f.mirror.Change(f.config.Now(), w.objects))
			f.settle(ctx, len(w.objects))
			return nil
		case <-timer.C:
			f.apply(f.mirror.Tick(f.config.Now()))
		case <-f.again:
			timer.Stop()
			return errListAgain
		}
	}
}

// nextWait draws how long the next watch waits.
func (f *Follower) nextWait() time.Duration {
	wait := leastWait + rand.N(mostWait-leastWait)
	if f.config.Hosts != nil {
		wait = wait * time.Duration(max(f.config.Hosts(), smallFleet)) / smallFleet
	}
	return min(wait, longestWait)
}

// settle lets more changes gather after some have come.
func (f *Follower) settle(ctx context.Context, changes int) {
	if changes > 0 && f.config.Settle > 0 {
		f.wait(ctx, f.config.Settle)
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
		f.config.Apply(f.mirror.Objects(), f.revision.Load())
	}
}
