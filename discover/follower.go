package discover

import (
	"context"
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
	// roleCheck is how often a host that follows its peers looks whether it has
	// to watch the store itself.
	roleCheck = 500 * time.Millisecond
)

// Config is what a Follower needs.
type Config struct {
	Store  metastore.Store
	Relay  *Relay
	Prefix string
	Now    func() time.Time
	Logger *zap.Logger
	// OnChange hears each change, with all objects, on the Follower's goroutine,
	// and the store's revision at which it holds.
	OnChange func(objects []metastore.Object, revision metastore.Revision)
	// IsWatcher tells whether this host watches the store itself; the others
	// follow their peers.
	IsWatcher func() bool
	// WatcherCount tells how many hosts watch it; nil: this one only.
	WatcherCount func() int
	// Joined tells whether a peer has answered this host and so told what it knows;
	// nil: unknown.
	Joined func() bool
	// AllowStaleFirstList lets the first list be seconds old. Each of a fleet that starts reads it,
	// and the first watch brings what it lacks.
	AllowStaleFirstList bool
	// BatchInterval tells how long changes are gathered before the next watch, so that a
	// start of many servers costs each host a few calls; nil or 0: not at all. Where
	// many hosts watch it is longer, see gatherFor.
	BatchInterval func() time.Duration
	// Order tells which of two writes of an object is older where the store's revisions
	// can't, since it was restored from a backup; nil: nothing does.
	Order OrderOf
	// Metrics may be nil.
	Metrics *Metrics
}

// Hint says that peers know the changes up to a revision.
type Hint struct {
	Peers    []string // addresses of peers to ask, in this order
	Revision metastore.Revision
	// HasNewerWrites: they know newer writes than this host by what the writers say, whatever the
	// revisions.
	HasNewerWrites bool
}

// Follower keeps a Mirror of the objects below a prefix: one list, then watches
// of the store or questions to peers, and a new list whenever a watch can't be
// continued.
type Follower struct {
	config   Config
	mirror   *Mirror
	revision atomic.Uint64
	listed   atomic.Bool
	heardAt  atomic.Int64 // nanoseconds since 1970; 0: never
	known    atomic.Pointer[known]
	hints    chan Hint
	// listReason is why the next list is read.
	listReason listReason
}

// NewFollower makes a follower; Run starts it.
func NewFollower(config Config) *Follower {
	return &Follower{config: config, mirror: NewMirror(config.Order), hints: make(chan Hint, 1), listReason: listAtStart}
}

// HasSynced reports whether a whole list is known.
func (f *Follower) HasSynced() bool { return f.listed.Load() }

// LastContact is when the store last answered this host, or the peers that it
// follows; zero: never. A host that has to watch itself from now on, since its
// peers are lost, is not cut off before it has had time to.
func (f *Follower) LastContact() time.Time {
	if at := f.heardAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Revision is the store's revision up to which changes are known.
func (f *Follower) Revision() metastore.Revision { return metastore.Revision(f.revision.Load()) }

// Notify hands in a peer's word. One waits at most: it comes again with each
// message between hosts.
func (f *Follower) Notify(hint Hint) {
	select {
	case f.hints <- hint:
	default:
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	retry := firstRetry
	forgotten := 0 // times in a row that the store did not know what came after the revision
	for ctx.Err() == nil {
		err := f.followOnce(ctx, func() { retry, forgotten = firstRetry, 0 })
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, metastore.ErrHistoryGone) {
			forgotten++
			f.listReason = listWithoutHistory
			f.config.Logger.Info("the store's history is gone, listing anew", f.where(err)...)
			if forgotten == 1 {
				continue
			}
		} else {
			f.listReason = listAfterLoss
			f.mirror.Lost()
			f.config.Logger.Warn("lost the metadata store", f.where(err)...)
		}
		f.pause(ctx, retry)
		retry = min(2*retry, mostRetry)
	}
	return nil
}

func (f *Follower) where(err error) []zap.Field {
	return []zap.Field{zap.String("prefix", f.config.Prefix), observe.Revision("revision", f.Revision()), observe.ErrorText(err)}
}

// followOnce lists and then follows the store or the peers, until an error. It calls well
// whenever a watch was answered or peers were followed: a list alone may be followed by a
// watch that fails.
func (f *Follower) followOnce(ctx context.Context, well func()) error {
	if !f.startFromPeers(ctx) {
		first := !f.HasSynced()
		if err := f.list(ctx); err != nil {
			return err
		}
		if first {
			f.pause(ctx, firstWatchPause)
		}
	}
	for ctx.Err() == nil {
		if f.config.IsWatcher() {
			if err := f.watch(ctx); err != nil {
				return err
			}
			well()
			continue
		}
		f.config.Logger.Info("following peers", f.where(nil)...)
		f.followPeers(ctx)
		well()
		f.config.Logger.Info("watching the metadata store", f.where(nil)...)
	}
	return ctx.Err()
}

// firstWatchPause is how long a host that has listed takes news from peers only.
//
// Load: hundreds of hosts start at once, and until they know each other each takes
// itself for one that has to watch. Harm prevented: 295 hosts made 590 watches for
// nothing, a third of a calm day's calls. Limit: the hosts of such a fleet know each other
// within 0.7 s, and a change of the configuration has seconds to be in force.
const firstWatchPause = 700 * time.Millisecond

const (
	// peersWait is how long a host that starts waits for a peer to let it in.
	//
	// Load: all hosts lost power, and the seeds come back last: who asks them hears
	// nothing, not even a refusal. Harm prevented: callers are turned away while the
	// store could tell all. Limit: a host that starts into a running fleet and is
	// let in later costs the store two calls, some thousand starts a day.
	peersWait = 50 * time.Millisecond
	// joinedWait is how long it waits on for a peer's word after that: one that
	// joins a running fleet is told with the first message. A fleet that starts as
	// a whole asks the store at once: a host whose seeds are up serves 0.15 s after
	// its start in place of 0.29 s.
	joinedWait = 40 * time.Millisecond
	// joinedCheck is how often it looks whether it was let in.
	joinedCheck = 10 * time.Millisecond
)

// startFromPeers takes the first list from peers, and reports whether one gave
// it. Where all hosts start at once none can.
func (f *Follower) startFromPeers(ctx context.Context) bool {
	if f.HasSynced() {
		return false // what follows a loss comes from the store
	}
	over := time.NewTimer(peersWait)
	defer over.Stop()
	check := time.NewTicker(joinedCheck)
	defer check.Stop()
	for {
		select {
		case hint := <-f.hints:
			if f.ask(ctx, hint) {
				f.listed.Store(true)
				return true
			}
		case <-check.C:
			if f.config.Joined != nil && f.config.Joined() {
				check.Stop()
				over.Reset(joinedWait)
			}
		case <-over.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	read := f.config.Store.List
	if f.config.AllowStaleFirstList && !f.HasSynced() {
		read = f.config.Store.ListStale
	}
	objects, revision, err := read(ctx, f.config.Prefix)
	if err != nil {
		return err
	}
	if known := f.Revision(); revision.Era() < known.Era() {
		return errors.Wrapf(metastore.ErrUnavailable, "the list is of revision %s, a peer knows %s", revision, known)
	}
	regained := f.mirror.lost
	f.config.Logger.Info("listed from the metadata store", append(f.where(nil), zap.String("reason", string(f.listReason)),
		observe.Revision("store_revision", revision), zap.Int("objects", len(objects)))...)
	f.config.Metrics.noteList(f.config.Prefix, f.listReason)
	f.config.Metrics.noteRevision(f.config.Prefix, revision)
	f.heard()
	rewound := f.listReason == listWithoutHistory && f.rewind(revision)
	f.advance(revision)
	changed := f.mirror.Replace(f.config.Now(), objects, revision)
	f.apply(changed || rewound || !f.HasSynced() || regained)
	// Only now: a host that is ready before it has applied the list refuses its
	// first requests for lack of servers.
	f.listed.Store(true)
	return nil
}

// rewind takes back a revision that the store refused and that its list does not reach in
// the same era, and reports whether it was one. A first list that was stale may hold what
// a restored store has lost.
func (f *Follower) rewind(listed metastore.Revision) bool {
	known := f.Revision()
	if listed >= known || listed.Era() != known.Era() {
		return false
	}
	f.config.Logger.Warn("the metadata store is behind what is known, its list is taken", append(f.where(nil), observe.Revision("store_revision", listed))...)
	f.revision.Store(uint64(listed))
	f.mirror.Rewind(listed)
	return true
}

type watched struct {
	objects  []metastore.Object
	revision metastore.Revision
	err      error
}

// watch waits for the next change, doing what falls due meanwhile.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchFor(f.watchers()))
	defer cancel()
	results := make(chan watched, 1)
	go func() {
		objects, revision, err := f.config.Store.Watch(ctx, f.config.Prefix, f.Revision())
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
			f.config.Metrics.noteRevision(f.config.Prefix, w.revision)
			f.advance(w.revision)
			f.apply(f.mirror.Change(f.config.Now(), w.objects, w.revision))
			f.settle(ctx, len(w.objects))
			return nil
		case <-timer.C:
			f.tick()
		case hint := <-f.hints:
			timer.Stop()
			if f.ask(ctx, hint) {
				return nil // the watch began before what is known now
			}
		}
	}
}

// followPeers takes changes from peers until this host has to watch itself.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil && !f.config.IsWatcher() {
		timer := time.NewTimer(min(roleCheck, f.untilTick()))
		select {
		case hint := <-f.hints:
			f.ask(ctx, hint)
		case <-timer.C:
			f.heard() // by its peers: Watches would say so otherwise
			f.tick()
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// ask takes what peers know and reports whether that was something new.
func (f *Follower) ask(ctx context.Context, hint Hint) bool {
	own := f.Revision()
	found := false // the newer writes
	for _, address := range hint.Peers {
		after := f.Revision()
		if hint.Revision <= after {
			if !hint.HasNewerWrites || found {
				break
			}
			after = 0 // everything: the newer writes may have revisions below the one known
		}
		got, err := f.config.Relay.ask(ctx, address, f.config.Prefix, after)
		if err != nil {
			f.config.Logger.Warn("a peer did not tell what has changed", append(f.where(err), observe.Revision("peers_revision", hint.Revision))...)
			continue
		}
		if got.revision > f.Revision() {
			f.take(got, address)
			continue
		}
		found = f.takeNewer(got, address) || found
	}
	return f.Revision() > own
}

// takeNewer takes from a peer the writes that are newer than those known, and reports
// whether there were any.
func (f *Follower) takeNewer(got changes, address string) bool {
	changed := f.mirror.TakeNewer(got.objects)
	if changed {
		f.config.Logger.Info("heard from a peer what the store has lost", append(f.where(nil), zap.String("peer", address))...)
	}
	f.apply(changed)
	return changed
}

// take takes a peer's changes in.
func (f *Follower) take(got changes, address string) {
	f.advance(got.revision)
	f.mirror.Doubt(f.config.Now().Add(got.doubt))
	changed := false
	if got.whole {
		changed = f.mirror.Replace(f.config.Now(), got.objects, got.revision)
	} else {
		for _, key := range got.removed {
			got.objects = append(got.objects, metastore.Object{Key: key})
		}
		changed = f.mirror.Change(f.config.Now(), got.objects, got.revision)
	}
	f.config.Logger.Info("heard from a peer", append(f.where(nil), zap.String("peer", address), zap.Bool("changed", changed))...)
	f.apply(changed)
}

// settle lets more changes gather after some have come.
func (f *Follower) settle(ctx context.Context, changes int) {
	if changes == 0 || f.config.BatchInterval == nil {
		return
	}
	if usual := f.config.BatchInterval(); usual > 0 {
		f.pause(ctx, gatherFor(usual, f.watchers()))
	}
}

func (f *Follower) watchers() int {
	if f.config.WatcherCount == nil {
		return 1
	}
	return f.config.WatcherCount()
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

// pause waits, doing what falls due meanwhile.
func (f *Follower) pause(ctx context.Context, wait time.Duration) {
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		select {
		case <-over.C:
			f.tick()
			return
		case hint := <-f.hints:
			f.ask(ctx, hint)
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) tick() { f.apply(f.mirror.Tick(f.config.Now())) }

func (f *Follower) heard() { f.heardAt.Store(f.config.Now().UnixNano()) }

func (f *Follower) advance(revision metastore.Revision) {
	f.revision.Store(uint64(max(revision, f.Revision())))
}

func (f *Follower) apply(changed bool) {
	if !changed {
		return
	}
	revision := f.Revision()
	objects := f.mirror.Objects()
	f.known.Store(f.mirror.known(objects, revision))
	f.config.OnChange(objects, revision)
}
