package discover

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// modelStore is a metadata store that is restored from a backup.
type modelStore struct {
	metastore.Store
	era, counter  uint64
	objects       map[string]metastore.Object
	history       []metastore.Object // Version 0: removed
	oldest        uint64             // counter after which the history is complete
	backup        map[string]metastore.Object
	backupCounter uint64
	hasBackup     bool
	lastWrites    map[string]byte // the last writes, lost ones included; absent: removed
}

func (s *modelStore) revision() metastore.Revision {
	revision, err := metastore.NewRevision(s.era, s.counter)
	if err != nil {
		panic(err) // the model makes few changes
	}
	return revision
}

func (s *modelStore) write(key string, order byte) {
	if held, exists := s.objects[key]; exists && held.Value[0] == order {
		return
	}
	s.counter++
	o := metastore.Object{Key: key, Value: []byte{order}, Version: s.counter, Revision: s.revision()}
	s.objects[key] = o
	s.history = append(s.history, o)
}

func (s *modelStore) remove(key string) {
	if _, exists := s.objects[key]; !exists {
		return
	}
	s.counter++
	delete(s.objects, key)
	s.history = append(s.history, metastore.Object{Key: key, Revision: s.revision()})
}

func (s *modelStore) takeBackup() {
	s.backup, s.backupCounter, s.hasBackup = maps.Clone(s.objects), s.counter, true
}

func (s *modelStore) restore() {
	if !s.hasBackup {
		return
	}
	s.era++
	s.counter, s.oldest, s.history = s.backupCounter, s.backupCounter, nil
	s.objects = make(map[string]metastore.Object)
	for key, o := range s.backup {
		revision, err := metastore.NewRevision(s.era, o.Revision.Counter())
		if err != nil {
			panic(err)
		}
		o.Revision = revision
		s.objects[key] = o
	}
}

// repeatLostWrites repeats the writes and removals that the restore has lost.
func (s *modelStore) repeatLostWrites() {
	for key, order := range s.lastWrites {
		s.write(key, order)
	}
	for key := range maps.Clone(s.objects) {
		if _, exists := s.lastWrites[key]; !exists {
			s.remove(key)
		}
	}
}

func (s *modelStore) List(context.Context, string) ([]metastore.Object, metastore.Revision, error) {
	var list []metastore.Object
	for _, o := range s.objects {
		list = append(list, o)
	}
	return list, s.revision(), nil
}

func (s *modelStore) Watch(_ context.Context, _ string, after metastore.Revision) ([]metastore.Object, metastore.Revision, error) {
	if after.Era() != s.era || after.Counter() > s.counter || after.Counter() < s.oldest {
		return nil, 0, metastore.ErrHistoryGone
	}
	var changed []metastore.Object
	for _, o := range s.history {
		if o.Revision > after {
			changed = append(changed, o)
		}
	}
	return changed, s.revision(), nil
}

const (
	configObject, serverObject, evacuationObject = "config", "server", "zone"
	ready, draining                              = 0, 1
)

// modelHost is a Follower, driven step by step.
type modelHost struct {
	*Follower
	view map[string]byte
}

func newModelHost(store *modelStore, now func() time.Time) *modelHost {
	h := &modelHost{}
	h.Follower = NewFollower(Config{
		Store: store, Now: now, Logger: zap.NewNop(), IsWatcher: func() bool { return true },
		Order: func(o metastore.Object) (WriteOrder, bool) {
			return WriteOrder{Sequence: uint64(o.Value[0])}, o.Key != evacuationObject
		},
		OnChange: func(objects []metastore.Object, _ metastore.Revision) {
			h.view = make(map[string]byte)
			for _, o := range objects {
				h.view[o.Key] = o.Value[0]
			}
		},
	})
	return h
}

// askStore does one iteration of Run.
func (h *modelHost) askStore(ctx context.Context) error {
	if !h.HasSynced() {
		return h.listStore(ctx)
	}
	err := h.watch(ctx)
	if errors.Is(err, metastore.ErrHistoryGone) {
		h.listReason = listWithoutHistory
		return h.listStore(ctx)
	}
	return err
}

// askPeer applies the changes of the other host, as Follower.askPeers does.
func (h *modelHost) askPeer(other *modelHost) {
	known := other.peerState.Load()
	switch {
	case known == nil:
	case known.revision > h.Revision():
		h.applyChanges(known.changesAfter(h.Revision()), "")
		h.synced.Store(true)
	case h.HasSynced() && other.view[configObject] > h.view[configObject]:
		h.applyNewer(known.changesAfter(0), "")
	}
}

// modelWorld is a store, the objects of an operator and a server, and two hosts.
type modelWorld struct {
	store        *modelStore
	now          time.Time
	first, other *modelHost
}

func newModelWorld(ctx context.Context) *modelWorld {
	w := &modelWorld{now: time.Unix(100, 0)}
	w.store = &modelStore{era: 1, objects: make(map[string]metastore.Object), lastWrites: map[string]byte{configObject: 1, serverObject: ready}}
	w.store.repeatLostWrites()
	clock := func() time.Time { return w.now }
	w.first, w.other = newModelHost(w.store, clock), newModelHost(w.store, clock)
	_ = w.first.askStore(ctx) // the model's store never fails a list
	return w
}

func (w *modelWorld) write(key string, order byte) {
	w.store.lastWrites[key] = order
	w.store.write(key, order)
}

// modelEvents are the events that the test orders in all ways.
var modelEvents = []struct {
	name string
	do   func(context.Context, *modelWorld)
}{
	{"configuration", func(_ context.Context, w *modelWorld) { w.write(configObject, w.store.lastWrites[configObject]+1) }},
	{"draining", func(_ context.Context, w *modelWorld) { w.write(serverObject, draining) }},
	{"evacuation", func(_ context.Context, w *modelWorld) { w.write(evacuationObject, 0) }},
	{"backup", func(_ context.Context, w *modelWorld) { w.store.takeBackup() }},
	{"restore", func(_ context.Context, w *modelWorld) { w.store.restore() }},
	{"repeat", func(_ context.Context, w *modelWorld) { w.store.repeatLostWrites() }},
	{"first asks the store", func(ctx context.Context, w *modelWorld) { _ = w.first.askStore(ctx) }},
	{"other asks the store", func(ctx context.Context, w *modelWorld) { _ = w.other.askStore(ctx) }},
	{"first asks the other", func(_ context.Context, w *modelWorld) { w.first.askPeer(w.other) }},
	{"other asks the first", func(_ context.Context, w *modelWorld) { w.other.askPeer(w.first) }},
}

// lostState returns the key of an object that a host wrongly reverted or lost; empty: none.
func lostState(before, after map[string]byte) string {
	for _, key := range []string{configObject, serverObject} {
		if after[key] < before[key] {
			return key
		}
	}
	if _, known := before[evacuationObject]; known {
		if _, known := after[evacuationObject]; !known {
			return evacuationObject
		}
	}
	return ""
}

// settle repeats lost writes, has each host ask the store, lets deferred removals take
// effect, and checks that each host has the last writes.
func (w *modelWorld) settle(ctx context.Context) error {
	w.store.repeatLostWrites()
	for _, h := range []*modelHost{w.first, w.other} {
		if err := h.askStore(ctx); err != nil {
			return err
		}
	}
	w.now = w.now.Add(2 * recoveryGrace)
	for _, h := range []*modelHost{w.first, w.other} {
		h.tick()
		if !maps.Equal(h.view, w.store.lastWrites) {
			return errors.Errorf("a host has %v, the last writes are %v", h.view, w.store.lastWrites)
		}
	}
	return nil
}

// modelDepth is the number of events in a sequence.
const modelDepth = 5

// Guards against an order of restores, writes and messages between hosts after which a
// host has an older state or misses the last write.
func TestEveryOrderOfARestoreEndsAtTheLastWrites(t *testing.T) {
	ctx := t.Context()
	count := 1
	for range modelDepth {
		count *= len(modelEvents)
	}
	for code := range count {
		if problem := runOrder(ctx, code); problem != "" {
			t.Fatal(problem)
		}
	}
}

// runOrder runs the sequence of events given by the digits of code.
func runOrder(ctx context.Context, code int) string {
	w := newModelWorld(ctx)
	var names []string
	for range modelDepth {
		event := modelEvents[code%len(modelEvents)]
		code /= len(modelEvents)
		names = append(names, event.name)
		before := []map[string]byte{w.first.view, w.other.view}
		event.do(ctx, w)
		for i, h := range []*modelHost{w.first, w.other} {
			if lost := lostState(before[i], h.view); lost != "" {
				return fmt.Sprintf("%v: host %d lost its state of %s", names, i, lost)
			}
		}
	}
	if err := w.settle(ctx); err != nil {
		return fmt.Sprintf("%v: %v", names, err)
	}
	return ""
}
