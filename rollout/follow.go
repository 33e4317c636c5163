package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// callStore makes one rate-limited call to the store with a timeout, and
// records when the store answers.
func (a *Agent) callStore(ctx context.Context, limiter *rate.Limiter, name string, timeout time.Duration, call func(context.Context) error) error {
	if err := limiter.Wait(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.metrics.storeCalls.WithLabelValues(name).Inc()
	err := call(ctx)
	if err == nil || errors.Is(err, metastore.ErrNotFound) {
		a.lastStoreReply.Store(a.config.Now().UnixNano())
	}
	return err
}

// readStoreHead reads the head and the revision to watch from.
func (a *Agent) readStoreHead(ctx context.Context) (head, metastore.Revision, error) {
	var object metastore.Object
	err := a.callStore(ctx, a.storeLimiter, "get_head", storeTimeout, func(ctx context.Context) (err error) {
		object, err = a.config.Store.Get(ctx, HeadKey)
		return err
	})
	if err != nil {
		return head{}, 0, err
	}
	value, err := decodeHead(object.Value)
	return value, object.Revision, err
}

func (a *Agent) readStoreDocument(ctx context.Context, hash bundle.Hash) ([]byte, error) {
	var object metastore.Object
	err := a.callStore(ctx, a.documentLimiter, "get_document", storeTimeout, func(ctx context.Context) (err error) {
		object, err = a.config.Store.Get(ctx, documentKey(hash))
		return err
	})
	return object.Value, errors.Wrapf(err, "read document %s", hash.Short())
}

// queryStoreAtStartup reads the head at startup on every host, watcher or not.
// The first attempt, failed or not, marks the store as done; reads continue
// until a configuration is active, since the peers may be unreachable.
func (a *Agent) queryStoreAtStartup(ctx context.Context) {
	wait := newBackoff(storeMinBackoff, storeMaxBackoff)
	for {
		value, _, err := a.readStoreHead(ctx)
		if err == nil {
			a.post(ctx, headRead{head: value, found: true})
		}
		a.post(ctx, sourceDone{SourceStore})
		if pause(ctx, wait.NextBackOff()) != nil || !a.ActiveRef().IsZero() {
			return
		}
	}
}

// followStore watches the store whenever the host is a watcher.
func (a *Agent) followStore(ctx context.Context) {
	for {
		if a.config.IsWatcher() {
			a.watchWhileWatcher(ctx)
		}
		if pause(ctx, a.withJitter(watcherCheckInterval)) != nil {
			return
		}
	}
}

// watchWhileWatcher runs the heartbeat and the watch until the host stops being
// a watcher.
func (a *Agent) watchWhileWatcher(ctx context.Context) {
	a.logger.Info("watching the store")
	t := newTasks(ctx)
	defer t.stop()
	t.run(a.heartbeat)
	t.run(a.watch)
	for a.config.IsWatcher() {
		if pause(ctx, a.withJitter(watcherCheckInterval)) != nil {
			return
		}
	}
	a.logger.Info("no longer watching the store")
}

// heartbeat polls the store to find changes that a stalled watch missed.
func (a *Agent) heartbeat(ctx context.Context) {
	wait := newBackoff(storeMinBackoff, storeMaxBackoff)
	unreachable := false
	for beat := 1; ; beat++ {
		err := a.beat(ctx, beat%heartbeatsPerHeadRead == 0)
		if ctx.Err() != nil {
			return
		}
		if unreachable != (err != nil) {
			unreachable = err != nil
			a.logStoreReachability(unreachable, err)
		}
		next := a.withJitter(storeHeartbeatInterval)
		if unreachable {
			next = wait.NextBackOff()
		} else {
			wait.Reset()
		}
		if pause(ctx, next) != nil {
			return
		}
	}
}

// beat reads the ref object, and the head if wantHead is set or the ref names a
// higher generation than the active one.
func (a *Agent) beat(ctx context.Context, wantHead bool) error {
	var ref bundle.Ref
	err := a.callStore(ctx, a.storeLimiter, "get_ref", storeTimeout, func(ctx context.Context) (err error) {
		ref, _, err = readRef(ctx, a.config.Store)
		return err
	})
	if err == nil && a.config.OnStoreContact != nil {
		a.config.OnStoreContact(a.config.Now())
	}
	if err != nil || !(wantHead || ref.Generation > a.ActiveRef().Generation) {
		return err
	}
	value, _, err := a.readStoreHead(ctx)
	if errors.Is(err, metastore.ErrNotFound) {
		return nil
	}
	if err == nil {
		a.post(ctx, headRead{head: value, found: true})
	}
	return err
}

func (a *Agent) logStoreReachability(unreachable bool, err error) {
	if unreachable {
		a.logger.Warn("store unreachable; keeping the active configuration", zap.Error(err))
		return
	}
	a.logger.Info("store reachable again")
}

// watch long-polls the store for changes of the head object.
func (a *Agent) watch(ctx context.Context) {
	wait := newBackoff(storeMinBackoff, storeMaxBackoff)
	after := metastore.Revision(0)
	for {
		changed, next, err := a.watchOnce(ctx, after)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			wait.Reset()
			after = max(after, next)
			a.postHeads(ctx, changed)
		case errors.Is(err, context.DeadlineExceeded):
			wait.Reset() // no change before the watch timed out
		default:
			if pause(ctx, wait.NextBackOff()) != nil {
				return
			}
		}
	}
}

func (a *Agent) watchOnce(ctx context.Context, after metastore.Revision) (changed []metastore.Object, next metastore.Revision, err error) {
	err = a.callStore(ctx, a.storeLimiter, "watch", watchTimeout, func(ctx context.Context) (err error) {
		changed, next, err = a.config.Store.Watch(ctx, HeadKey, after)
		return err
	})
	return changed, next, err
}

func (a *Agent) postHeads(ctx context.Context, changed []metastore.Object) {
	for _, object := range changed {
		if object.Key != HeadKey {
			continue
		}
		if value, err := decodeHead(object.Value); err == nil {
			a.post(ctx, headRead{head: value, found: true})
		}
	}
}
