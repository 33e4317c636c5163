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

// callStore makes one call to the store with a deadline, within the host's
// rate, and notes that the store answered.
func (a *Agent) callStore(ctx context.Context, limit *rate.Limiter, name string, timeout time.Duration, call func(context.Context) error) error {
	if err := limit.Wait(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.metrics.storeCalls.WithLabelValues(name).Inc()
	err := call(ctx)
	if err == nil || errors.Is(err, metastore.ErrNotFound) {
		a.storeHeardAt.Store(a.config.Now().UnixNano())
	}
	return err
}

// readStoreHead reads the head and the revision to watch from.
func (a *Agent) readStoreHead(ctx context.Context) (head, metastore.Revision, error) {
	var object metastore.Object
	err := a.callStore(ctx, a.storeLimit, "get_head", storeTimeout, func(ctx context.Context) (err error) {
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
	err := a.callStore(ctx, a.documentLimit, "get_document", storeTimeout, func(ctx context.Context) (err error) {
		object, err = a.config.Store.Get(ctx, documentKey(hash))
		return err
	})
	return object.Value, errors.Wrapf(err, "read document %s", hash.Short())
}

// askStore lets a starting host read the head, whether it is a watcher or not.
// One failure settles it: peers then have to know. It goes on until something
// is in force, since with the peers gone the store is the only source.
func (a *Agent) askStore(ctx context.Context) {
	wait := newBackoff(storeFirstBackoff, storeLastBackoff)
	for {
		value, _, err := a.readStoreHead(ctx)
		if err == nil {
			a.post(ctx, headRead{head: value, found: true})
		}
		a.post(ctx, settled{SourceStore})
		if pause(ctx, wait.NextBackOff()) != nil || !a.ActiveRef().IsZero() {
			return
		}
	}
}

// followStore watches the store while the host is a watcher.
func (a *Agent) followStore(ctx context.Context) {
	for {
		if a.config.IsWatcher() {
			a.watchWhile(ctx)
		}
		if pause(ctx, a.around(watcherCheck)) != nil {
			return
		}
	}
}

// watchWhile runs heartbeat and watch until the host is no watcher any more.
func (a *Agent) watchWhile(ctx context.Context) {
	a.logger.Info("watching the store")
	t := newTasks(ctx)
	defer t.stop()
	t.run(a.heartbeat)
	t.run(a.watch)
	for a.config.IsWatcher() {
		if pause(ctx, a.around(watcherCheck)) != nil {
			return
		}
	}
	a.logger.Info("no longer watching the store")
}

// heartbeat asks the store from time to time; see storeHeartbeat.
func (a *Agent) heartbeat(ctx context.Context) {
	wait := newBackoff(storeFirstBackoff, storeLastBackoff)
	silent := false
	for beat := 1; ; beat++ {
		err := a.beat(ctx, beat%headEvery == 0)
		if ctx.Err() != nil {
			return
		}
		if silent != (err != nil) {
			silent = err != nil
			a.logStore(silent, err)
		}
		next := a.around(storeHeartbeat)
		if silent {
			next = wait.NextBackOff()
		} else {
			wait.Reset()
		}
		if pause(ctx, next) != nil {
			return
		}
	}
}

// beat reads the ref, and the head if the ref names a higher generation. The
// watch has usually brought that already.
func (a *Agent) beat(ctx context.Context, wantHead bool) error {
	var ref bundle.Ref
	err := a.callStore(ctx, a.storeLimit, "get_ref", storeTimeout, func(ctx context.Context) (err error) {
		ref, _, err = readRef(ctx, a.config.Store)
		return err
	})
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

func (a *Agent) logStore(silent bool, err error) {
	if silent {
		a.logger.Warn("store does not answer; the configuration in force stays", zap.Error(err))
		return
	}
	a.logger.Info("store answers again")
}

// watch waits for changes of the head, which arrive whole in its replies.
func (a *Agent) watch(ctx context.Context) {
	wait := newBackoff(storeFirstBackoff, storeLastBackoff)
	after := metastore.Revision(0)
	for {
		changed, next, err := a.watchOnce(ctx, after)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			wait.Reset()
			after = max(after, next)
			a.takeChanged(ctx, changed)
		case errors.Is(err, context.DeadlineExceeded):
			wait.Reset() // nothing changed in watchWait
		default:
			if pause(ctx, wait.NextBackOff()) != nil {
				return
			}
		}
	}
}

func (a *Agent) watchOnce(ctx context.Context, after metastore.Revision) (changed []metastore.Object, next metastore.Revision, err error) {
	err = a.callStore(ctx, a.storeLimit, "watch", watchWait, func(ctx context.Context) (err error) {
		changed, next, err = a.config.Store.Watch(ctx, HeadKey, after)
		return err
	})
	return changed, next, err
}

func (a *Agent) takeChanged(ctx context.Context, changed []metastore.Object) {
	for _, object := range changed {
		if object.Key != HeadKey {
			continue
		}
		if value, err := decodeHead(object.Value); err == nil {
			a.post(ctx, headRead{head: value, found: true})
		}
	}
}
