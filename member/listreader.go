package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// startListReader reads the platform's host list now and then. The returned
// function waits for the reader's end.
func (a *Agent) startListReader(ctx context.Context) func() {
	ended := make(chan struct{})
	if a.config.HostList == nil {
		close(ended)
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(ended)
		a.readLists(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (a *Agent) readLists(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		if a.readsList() {
			failing = a.readList(ctx, failing)
		}
		pause := listInterval(len(a.View().Hosts))
		jitter := time.Duration(rand.Int64N(int64(pause) / 4))
		select {
		case <-ctx.Done():
		case <-time.After(pause - jitter):
		}
	}
}

// readsList: a few hosts of each availability zone read the list, so that the
// calls to the platform do not grow with the fleet; a host that knows no
// peers reads it as well, to find some.
func (a *Agent) readsList() bool {
	view := a.View()
	self, _ := view.Find(view.Self)
	return !a.Joined() || slices.Contains(view.Watchers(self.Zone, listWatchers), view.Self)
}

func listInterval(hosts int) time.Duration {
	return max(listEvery, time.Duration(hosts)*listPerHost)
}

func (a *Agent) readList(ctx context.Context, failing bool) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, err := a.config.HostList.Hosts(ctx, metastore.KindEntry)
	if err != nil {
		if !failing {
			a.config.Logger.Warn("the platform's host list can't be read", zap.Error(err))
		}
		return true
	}
	if failing {
		a.config.Logger.Info("the platform's host list can be read again")
	}
	a.post(func(now time.Time, m *Membership) { m.HostList(now, rows) })
	return false
}
