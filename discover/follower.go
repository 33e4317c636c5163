package discover

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/freshness"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

const (
	// listTimeout bounds one list, which may be paginated.
	listTimeout = 3 * time.Second
	// The retry delay doubles from minRetryDelay to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// roleCheckInterval is the interval at which a host that follows its peers checks
	// whether it has become a watcher, also in place of one that fails.
	roleCheckInterval = 500 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Store  metastore.Store
	Relay  *Relay
	Prefix string
	Now    func() time.Time
	Logger *zap.Logger
	// OnChange is called on the Follower's goroutine after each change, with all objects
	// and the store's revision.
	OnChange func(objects []metastore.Object, revision metastore.Revision)
	// OnConfirmed is called on the Follower's goroutine after OnChange with the time at which the
	// store said that nothing newer exists; nil: not called.
	OnConfirmed func(at time.Time)
	// IsWatcher reports whether this host watches the store itself; other hosts
	// follow their peers.
	IsWatcher func() bool
	// OnContact is called on the Follower's goroutine when the store has answered; nil: not called.
	OnContact func(at time.Time)
	// PeersContact returns when the store last answered any host that peers have told of; nil:
	// unknown.
	PeersContact func() time.Time
	// WatcherCount returns how many hosts watch the store; nil: this one only.
	WatcherCount func() int
	// WatchLimit bounds the next watch, whose end tells that the store still answers; nil or 0:
	// no further bound.
	WatchLimit func() time.Duration
	// Joined reports whether a peer has answered this host, and so sent its
	// revisions; nil: unknown.
	Joined func() bool
	// AllowStaleFirstList allows a stale read for the first list, which every host reads
	// when a fleet starts. The first watch brings later changes.
	AllowStaleFirstList bool
	// BatchInterval returns how long changes are batched before the next watch, which limits
	// the calls while many servers start; nil or 0: not at all. It is longer where
	// many hosts watch; see batchDelay.
	BatchInterval func() time.Duration
	// Order reads the order of writes of an object across restores of the store, where
	// revisions don't order them; nil: unknown.
	Order WriteOrderFunc
	// Metrics may be nil.
	Metrics *Metrics
}

// Hint says that peers have the changes up to a revision.
type Hint struct {
	Peers    []string // addresses of peers to ask, in this order
	Revision metastore.Revision
	// HasNewerWrites reports that the peers have newer writes by WriteOrder, whatever the
	// revisions.
	HasNewerWrites bool
}

// Follower keeps a Mirror of the objects below a prefix. It lists them once, then
// watches the store or asks peers, and lists again when a watch can't be continued.
type Follower struct {
	config      Config
	mirror      *Mirror
	revision    atomic.Uint64
	synced      atomic.Bool
	lastContact atomic.Int64 // Unix nanoseconds; 0: never
	peerState   atomic.Pointer[peerState]
	hints       chan Hint
	listReason  listReason // of the next list
	source      string     // of the last change, on Run's goroutine
}

// Source is where the objects that OnChange gets come from: the store, or a peer's address. It
// may be called in OnChange only.
func (f *Follower) Source() string { return f.source }

// NewFollower returns a follower; Run starts it.
func NewFollower(config Config) *Follower {
	return &Follower{config: config, mirror: NewMirror(config.Order), hints: make(chan Hint, 1), listReason: listAtStart}
}

// HasSynced reports whether a complete list has been applied.
func (f *Follower) HasSynced() bool { return f.synced.Load() }

// LastContact is when the store last answered this host, or any host that peers have told of; zero:
// never. An answer to this host has been passed to OnChange by then.
func (f *Follower) LastContact() time.Time {
	var own time.Time
	if at := f.lastContact.Load(); at != 0 {
		own = time.Unix(0, at)
	}
	if f.config.PeersContact != nil {
		if at := f.config.PeersContact(); at.After(own) {
			return at
		}
	}
	return own
}

// Revision is the store's revision up to which changes have been applied.
func (f *Follower) Revision() metastore.Revision { return metastore.Revision(f.revision.Load()) }

// Notify queues a hint, or drops it if one is queued already: peers repeat it with each
// message.
func (f *Follower) Notify(hint Hint) {
	select {
	case f.hints <- hint:
	default:
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	delay := minRetryDelay
	historyGone := 0 // consecutive watches that failed with ErrHistoryGone
	for ctx.Err() == nil {
		err := f.followOnce(ctx, func() { delay, historyGone = minRetryDelay, 0 })
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, metastore.ErrHistoryGone) {
			historyGone++
			f.listReason = listWithoutHistory
			f.config.Logger.Info("the store's history is gone; listing again", f.logFields(err)...)
			if historyGone == 1 {
				continue
			}
		} else {
			f.listReason = listAfterError
			f.mirror.StoreLost()
			f.config.Logger.Warn("lost the metadata store", f.logFields(err)...)
		}
		f.pause(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

func (f *Follower) logFields(err error) []zap.Field {
	return []zap.Field{zap.String("prefix", f.config.Prefix), observe.Revision("revision", f.Revision()), observe.ErrorText(err)}
}

// followOnce lists and then follows the store or the peers until an error. It calls
// onProgress after each completed watch or period of following peers, but not after a
// list, since every watch after it may fail.
func (f *Follower) followOnce(ctx context.Context, onProgress func()) error {
	if !f.startFromPeers(ctx) && (!f.HasSynced() || f.config.IsWatcher()) {
		first := !f.HasSynced()
		if err := f.listStore(ctx); err != nil {
			return err
		}
		if first {
			f.pause(ctx, firstWatchDelay)
		}
	}
	for ctx.Err() == nil {
		if f.config.IsWatcher() {
			if err := f.watch(ctx); err != nil {
				return err
			}
			onProgress()
			continue
		}
		f.config.Logger.Info("following peers", f.logFields(nil)...)
		f.mirror.FollowPeers()
		f.followPeers(ctx)
		onProgress()
		f.deferRemovalsIfLost()
		f.config.Logger.Info("watching the metadata store", f.logFields(nil)...)
	}
	return ctx.Err()
}

// deferRemovalsIfLost is called before this host watches for others. If no host has reached the store
// for long, it may have been away, and the leases of live servers may have expired.
func (f *Follower) deferRemovalsIfLost() {
	if contact := f.LastContact(); !contact.IsZero() && f.config.Now().Sub(contact) >= substituteAfter {
		f.mirror.StoreLost()
	}
}

// firstWatchDelay is the delay between the first list and the first watch. When a whole
// fleet starts at once, each host is a watcher until the hosts know each other.
const firstWatchDelay = 700 * time.Millisecond

const (
	// peerJoinTimeout is how long a starting host waits to join before it lists from the
	// store. When a whole fleet starts at once no peer has a list.
	peerJoinTimeout = 50 * time.Millisecond
	// firstHintTimeout is how long it then waits for a hint, which the first messages of a
	// running fleet carry.
	firstHintTimeout = 40 * time.Millisecond
	// joinCheckInterval is the interval at which it checks whether it has joined.
	joinCheckInterval = 10 * time.Millisecond
)

// startFromPeers gets the first list from peers and reports whether it succeeded.
func (f *Follower) startFromPeers(ctx context.Context) bool {
	if f.HasSynced() {
		return false // a list after an error comes from the store
	}
	timeout := time.NewTimer(peerJoinTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(joinCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case hint := <-f.hints:
			if f.askPeers(ctx, hint) {
				f.synced.Store(true)
				return true
			}
		case <-ticker.C:
			if f.config.Joined != nil && f.config.Joined() {
				ticker.Stop()
				timeout.Reset(firstHintTimeout)
			}
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (f *Follower) listStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sentAt := f.config.Now()
	read := f.config.Store.List
	if f.config.AllowStaleFirstList && !f.HasSynced() {
		read = f.config.Store.ListStale
	}
	objects, revision, err := read(ctx, f.config.Prefix)
	if err != nil {
		return err
	}
	if known := f.Revision(); revision.Era() < known.Era() {
		return errors.Wrapf(metastore.ErrUnavailable, "the list has revision %s, a peer has revision %s", revision, known)
	}
	recovered := f.mirror.storeLost
	f.config.Logger.Info("listed from the metadata store", append(f.logFields(nil), zap.String("reason", string(f.listReason)),
		observe.Revision("store_revision", revision), zap.Int("objects", len(objects)))...)
	f.config.Metrics.countList(f.config.Prefix, f.listReason)
	f.config.Metrics.setRevision(f.config.Prefix, revision)
	rewound := f.listReason == listWithoutHistory && f.rewind(revision)
	f.advanceRevision(revision)
	changed := f.mirror.Replace(f.config.Now(), objects, revision)
	f.source = freshness.Store
	f.publish(changed || rewound || !f.HasSynced() || recovered)
	f.noteContact()
	f.confirmed(sentAt)
	// Set after the list was applied: a host that is ready earlier would refuse
	// requests for lack of servers.
	f.synced.Store(true)
	return nil
}

// rewind lowers the revision to that of a list of the same era, and reports whether it
// did. A stale first list may contain writes that a restored store has lost.
func (f *Follower) rewind(listed metastore.Revision) bool {
	known := f.Revision()
	if listed >= known || listed.Era() != known.Era() {
		return false
	}
	f.config.Logger.Warn("the metadata store is behind the known revision; applying its list", append(f.logFields(nil), observe.Revision("store_revision", listed))...)
	f.revision.Store(uint64(listed))
	f.mirror.Rewind(listed)
	return true
}

// watchResult is the result of a watch.
type watchResult struct {
	objects  []metastore.Object
	revision metastore.Revision
	err      error
}

// watch applies the next change of the store. While it waits it handles ticks and hints.
func (f *Follower) watch(ctx context.Context) error {
	timeout, sentAt := f.nextWatchTimeout(), f.config.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan watchResult, 1)
	go func() {
		objects, revision, err := f.config.Store.Watch(ctx, f.config.Prefix, f.Revision())
		results <- watchResult{objects, revision, err}
	}()
	for {
		timer := time.NewTimer(f.untilTick())
		select {
		case w := <-results:
			timer.Stop()
			if w.err != nil {
				return w.err
			}
			f.config.Metrics.setRevision(f.config.Prefix, w.revision)
			f.advanceRevision(w.revision)
			f.source = freshness.Store
			f.publish(f.mirror.ApplyChanges(f.config.Now(), w.objects, w.revision))
			f.noteContact()
			f.confirmed(earlier(f.config.Now(), sentAt.Add(timeout)))
			f.batchChanges(ctx, len(w.objects))
			return nil
		case <-timer.C:
			f.tick()
		case hint := <-f.hints:
			timer.Stop()
			if f.askPeers(ctx, hint) {
				return nil // restart the watch from the new revision
			}
		}
	}
}

// followPeers applies changes from peers until this host becomes a watcher.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil && !f.config.IsWatcher() {
		timer := time.NewTimer(min(roleCheckInterval, f.untilTick()))
		select {
		case hint := <-f.hints:
			f.askPeers(ctx, hint)
		case <-timer.C:
			f.tick()
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// applyNewer applies a peer's writes that are newer by WriteOrder, and reports whether
// there were any.
func (f *Follower) applyNewer(received changes, address string) bool {
	f.source = address
	changed := f.mirror.ApplyNewer(received.objects)
	if changed {
		f.config.Logger.Info("heard from a peer what the store has lost", append(f.logFields(nil), zap.String("peer", address))...)
	}
	f.publish(changed)
	return changed
}

// applyChanges applies a peer's changes.
func (f *Follower) applyChanges(received changes, address string) {
	f.source = address
	f.advanceRevision(received.revision)
	f.mirror.DeferRemovals(f.config.Now().Add(received.deferFor))
	changed := false
	if received.complete {
		changed = f.mirror.Replace(f.config.Now(), received.objects, received.revision)
	} else {
		for _, key := range received.removed {
			received.objects = append(received.objects, metastore.Object{Key: key})
		}
		changed = f.mirror.ApplyChanges(f.config.Now(), received.objects, received.revision)
	}
	f.config.Logger.Info("heard from a peer", append(f.logFields(nil), zap.String("peer", address), zap.Bool("changed", changed))...)
	f.publish(changed)
}

// batchChanges delays the next watch after changes, so that it brings more of them.
func (f *Follower) batchChanges(ctx context.Context, changes int) {
	if changes == 0 || f.config.BatchInterval == nil {
		return
	}
	if interval := f.config.BatchInterval(); interval > 0 {
		f.pause(ctx, batchDelay(interval, f.watcherCount()))
	}
}

func (f *Follower) nextWatchTimeout() time.Duration {
	timeout := watchTimeout(f.watcherCount())
	if f.config.WatchLimit != nil {
		if limit := f.config.WatchLimit(); limit > 0 {
			timeout = min(timeout, limit)
		}
	}
	return timeout
}

func (f *Follower) watcherCount() int {
	if f.config.WatcherCount == nil {
		return 1
	}
	return f.config.WatcherCount()
}

// idleTickInterval is the timer interval when no tick is due.
const idleTickInterval = time.Minute

func (f *Follower) untilTick() time.Duration {
	next := f.mirror.NextTick()
	if next.IsZero() {
		return idleTickInterval
	}
	return max(next.Sub(f.config.Now()), 0)
}

// pause waits, and handles hints meanwhile.
func (f *Follower) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			f.tick()
			return
		case hint := <-f.hints:
			f.askPeers(ctx, hint)
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) tick() { f.publish(f.mirror.Tick(f.config.Now())) }

// noteContact records that the store has answered.
func (f *Follower) noteContact() {
	now := f.config.Now()
	f.lastContact.Store(now.UnixNano())
	if f.config.OnContact != nil {
		f.config.OnContact(now)
	}
}

// confirmed reports when the store said that nothing newer exists.
func (f *Follower) confirmed(at time.Time) {
	if f.config.OnConfirmed != nil {
		f.config.OnConfirmed(at)
	}
}

// earlier returns the earlier of two times. A watch was answered within its timeout, however much
// later this process, which may have been stopped, reads the answer.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (f *Follower) advanceRevision(revision metastore.Revision) {
	f.revision.Store(uint64(max(revision, f.Revision())))
}

func (f *Follower) publish(changed bool) {
	if !changed {
		return
	}
	revision := f.Revision()
	objects := f.mirror.Objects()
	f.peerState.Store(f.mirror.peerState(objects, revision))
	f.config.OnChange(objects, revision)
}
