package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// startHostListReader reads the platform's host list periodically. The returned
// function stops the reader and waits for it.
func (a *Agent) startHostListReader(ctx context.Context) func() {
	ended := make(chan struct{})
	if a.config.HostList == nil {
		close(ended)
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(ended)
		a.runHostListReader(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (a *Agent) runHostListReader(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		if a.readsHostList() {
			failing = a.readHostList(ctx, failing)
		}
		interval := hostListInterval(len(a.View().Hosts))
		jitter := time.Duration(rand.Int64N(int64(interval) / 4))
		select {
		case <-ctx.Done():
		case <-time.After(interval - jitter):
		}
	}
}

// readsHostList reports whether this host reads the list: a few hosts of each
// availability zone do, so that the load on the platform does not grow with the
// fleet, and hosts that have not joined, to find peers.
func (a *Agent) readsHostList() bool {
	view := a.View()
	self, _ := view.Find(view.Self)
	return !a.Joined() || slices.Contains(view.Watchers(self.Zone, hostListReaders), view.Self)
}

func hostListInterval(hosts int) time.Duration {
	return max(minHostListInterval, time.Duration(hosts)*hostListIntervalPerHost)
}

func (a *Agent) readHostList(ctx context.Context, failing bool) bool {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	rows, err := a.config.HostList.Hosts(ctx, metastore.KindEntry)
	if err != nil {
		if !failing {
			a.config.Logger.Warn("failed to read the platform's host list", zap.Error(err))
		}
		return true
	}
	if failing {
		a.config.Logger.Info("reading the platform's host list succeeds again")
	}
	a.post(func(now time.Time, m *Membership) { m.ApplyHostList(now, rows) })
	return false
}
