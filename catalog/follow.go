package catalog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/catalog/catalogpb"
)

// follower is where a host stands in the log of the watcher that it follows.
type follower struct {
	address         string
	epoch, sequence uint64
	failures        atomic.Int32 // rounds in a row without a reply
}

// lost reports whether no watcher has replied for a while.
func (f *follower) lost() bool { return f.failures.Load() >= lostWatchers }

// followWatcher asks the watcher that replied last, or else the next one.
func (a *Agent) followWatcher(ctx context.Context) {
	f := &a.follow
	for _, address := range inOrder(a.config.Watchers(), f.address) {
		if err := a.ask(ctx, address); err == nil {
			f.address = address
			f.failures.Store(0)
			return
		}
	}
	f.failures.Add(1)
}

// inOrder puts the preferred address first, if it is still one of them.
func inOrder(addresses []string, preferred string) []string {
	ordered := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if address == preferred {
			ordered = append(ordered, address)
		}
	}
	for _, address := range addresses {
		if address != preferred {
			ordered = append(ordered, address)
		}
	}
	return ordered
}

var errNeverHeard = errors.New("catalog: the watcher has never heard the platform")

func (a *Agent) ask(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	f := &a.follow
	client := catalogpb.NewDRPCCatalogClient(a.config.Peers.Conn(ctx, address))
	reply, err := client.Changes(ctx, &catalogpb.ChangesRequest{Epoch: f.epoch, Sequence: f.sequence})
	if err != nil {
		return errors.Wrap(err, "catalog: ask a watcher")
	}
	if reply.GetHeardAgoMs() < 0 {
		return errNeverHeard
	}
	a.change(func(l *Log) bool { return l.Apply(changesOf(reply)) })
	f.epoch, f.sequence = reply.GetEpoch(), reply.GetSequence()
	heard := time.Now().Add(-time.Duration(reply.GetHeardAgoMs()) * time.Millisecond)
	if heard.After(a.HeardAt()) {
		a.heardAt.Store(heard.UnixNano())
	}
	return nil
}

func changesOf(reply *catalogpb.ChangesReply) Changes {
	c := Changes{Epoch: reply.GetEpoch(), Sequence: reply.GetSequence(), Whole: reply.GetWhole()}
	for _, item := range reply.GetItems() {
		c.Items = append(c.Items, Item{Key: item.GetKey(), Value: item.GetValue()})
	}
	return c
}

// Register serves the catalogue to peers.
func (a *Agent) Register(mux drpc.Mux) error {
	return errors.Wrap(catalogpb.DRPCRegisterCatalog(mux, server{a}), "register the catalogue")
}

type server struct{ agent *Agent }

// Changes implements the catalogue's service.
func (s server) Changes(_ context.Context, request *catalogpb.ChangesRequest) (*catalogpb.ChangesReply, error) {
	a := s.agent
	a.mu.Lock()
	c := a.log.Since(request.GetEpoch(), request.GetSequence())
	a.mu.Unlock()
	reply := &catalogpb.ChangesReply{Epoch: c.Epoch, Sequence: c.Sequence, Whole: c.Whole, HeardAgoMs: neverHeard}
	if heard := a.HeardAt(); !heard.IsZero() {
		reply.HeardAgoMs = max(time.Since(heard).Milliseconds(), 0)
	}
	for _, item := range c.Items {
		reply.Items = append(reply.Items, &catalogpb.Item{Key: item.Key, Value: item.Value})
	}
	return reply, nil
}

// neverHeard stands in a reply's heard_ago_ms.
const neverHeard = -1
