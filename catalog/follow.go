package catalog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/catalog/catalogpb"
)

// follower is a host's position in the log of the watcher that it follows.
type follower struct {
	address         string
	epoch, sequence uint64
	failures        atomic.Int32 // rounds in a row without a reply
}

// hasLostWatchers reports whether no watcher has replied in the last rounds.
func (f *follower) hasLostWatchers() bool { return f.failures.Load() >= maxFailedRounds }

// followWatcher gets changes from the watcher that replied last, or else from the next one.
func (a *Agent) followWatcher(ctx context.Context) {
	f := &a.follower
	for _, address := range preferredFirst(a.config.Watchers(), f.address) {
		if err := a.fetchChanges(ctx, address); err == nil {
			f.address = address
			f.failures.Store(0)
			return
		}
	}
	f.failures.Add(1)
}

// preferredFirst moves the preferred address to the front if it is in the list.
func preferredFirst(addresses []string, preferred string) []string {
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

var errNeverReached = errors.New("catalog: the watcher has never reached the platform")

// fetchChanges gets and applies a watcher's changes. Pages are applied together, since
// a partial host list would drop servers.
func (a *Agent) fetchChanges(ctx context.Context, address string) error {
	f := &a.follower
	epoch, sequence := f.epoch, f.sequence
	var all Changes
	for {
		reply, err := a.fetchPage(ctx, address, epoch, sequence)
		if err != nil {
			return err
		}
		page := changesFromReply(reply)
		if page.Complete {
			all = Changes{Complete: true}
		}
		all.Items = append(all.Items, page.Items...)
		epoch, sequence = page.Epoch, page.Sequence
		if page.More {
			continue
		}
		a.update(func(l *ChangeLog) bool { return l.Apply(all) })
		f.epoch, f.sequence = epoch, sequence
		a.noteContact(time.Duration(reply.GetHeardAgoMs()) * time.Millisecond)
		return nil
	}
}

func (a *Agent) fetchPage(ctx context.Context, address string, epoch, sequence uint64) (*catalogpb.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	client := catalogpb.NewDRPCCatalogClient(a.config.Peers.Conn(ctx, address))
	reply, err := client.Changes(ctx, &catalogpb.ChangesRequest{Epoch: epoch, Sequence: sequence})
	if err != nil {
		return nil, errors.Wrap(err, "catalog: get changes from a watcher")
	}
	if reply.GetHeardAgoMs() < 0 {
		return nil, errNeverReached
	}
	return reply, nil
}

func (a *Agent) noteContact(ago time.Duration) {
	contact := time.Now().Add(-ago)
	if contact.After(a.LastContact()) {
		a.lastContact.Store(contact.UnixNano())
	}
}

func changesFromReply(reply *catalogpb.ChangesReply) Changes {
	changes := Changes{Epoch: reply.GetEpoch(), Sequence: reply.GetSequence(), Complete: reply.GetWhole(), More: reply.GetMore()}
	for _, item := range reply.GetItems() {
		changes.Items = append(changes.Items, Item{Key: item.GetKey(), Value: item.GetValue()})
	}
	return changes
}

// Register registers the catalog service for peers.
func (a *Agent) Register(mux drpc.Mux) error {
	return errors.Wrap(catalogpb.DRPCRegisterCatalog(mux, server{a}), "register the catalog")
}

type server struct{ agent *Agent }

// Changes implements catalogpb.DRPCCatalogServer.
func (s server) Changes(_ context.Context, request *catalogpb.ChangesRequest) (*catalogpb.ChangesReply, error) {
	a := s.agent
	a.mu.Lock()
	changes := a.changeLog.ChangesSince(request.GetEpoch(), request.GetSequence(), pageBytes)
	a.mu.Unlock()
	reply := &catalogpb.ChangesReply{Epoch: changes.Epoch, Sequence: changes.Sequence, Whole: changes.Complete, More: changes.More, HeardAgoMs: neverReached}
	if lastContact := a.LastContact(); !lastContact.IsZero() {
		reply.HeardAgoMs = max(time.Since(lastContact).Milliseconds(), 0)
	}
	for _, item := range changes.Items {
		reply.Items = append(reply.Items, &catalogpb.Item{Key: item.Key, Value: item.Value})
	}
	return reply, nil
}

// pageBytes is the approximate size of a page, well below drpc's message limit of 4 MB.
const pageBytes = 256 << 10

// neverReached is the heard_ago_ms of a watcher that the platform has never answered.
const neverReached = -1
