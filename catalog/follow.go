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

// ask takes in what a watcher has that this host lacks. Pieces are applied
// together: half a host list would read as lost servers.
func (a *Agent) ask(ctx context.Context, address string) error {
	f := &a.follow
	epoch, sequence := f.epoch, f.sequence
	var all Changes
	for {
		reply, err := a.askPiece(ctx, address, epoch, sequence)
		if err != nil {
			return err
		}
		piece := changesOf(reply)
		if piece.Whole {
			all = Changes{Whole: true}
		}
		all.Items = append(all.Items, piece.Items...)
		epoch, sequence = piece.Epoch, piece.Sequence
		if piece.More {
			continue
		}
		a.change(func(l *Log) bool { return l.Apply(all) })
		f.epoch, f.sequence = epoch, sequence
		a.noteHeard(time.Duration(reply.GetHeardAgoMs()) * time.Millisecond)
		return nil
	}
}

func (a *Agent) askPiece(ctx context.Context, address string, epoch, sequence uint64) (*catalogpb.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	client := catalogpb.NewDRPCCatalogClient(a.config.Peers.Conn(ctx, address))
	reply, err := client.Changes(ctx, &catalogpb.ChangesRequest{Epoch: epoch, Sequence: sequence})
	if err != nil {
		return nil, errors.Wrap(err, "catalog: ask a watcher")
	}
	if reply.GetHeardAgoMs() < 0 {
		return nil, errNeverHeard
	}
	return reply, nil
}

func (a *Agent) noteHeard(ago time.Duration) {
	heard := time.Now().Add(-ago)
	if heard.After(a.LastContact()) {
		a.heardAt.Store(heard.UnixNano())
	}
}

func changesOf(reply *catalogpb.ChangesReply) Changes {
	c := Changes{Epoch: reply.GetEpoch(), Sequence: reply.GetSequence(), Whole: reply.GetWhole(), More: reply.GetMore()}
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
	c := a.log.Since(request.GetEpoch(), request.GetSequence(), pieceBytes)
	a.mu.Unlock()
	reply := &catalogpb.ChangesReply{Epoch: c.Epoch, Sequence: c.Sequence, Whole: c.Whole, More: c.More, HeardAgoMs: neverHeard}
	if heard := a.LastContact(); !heard.IsZero() {
		reply.HeardAgoMs = max(time.Since(heard).Milliseconds(), 0)
	}
	for _, item := range c.Items {
		reply.Items = append(reply.Items, &catalogpb.Item{Key: item.Key, Value: item.Value})
	}
	return reply, nil
}

// pieceBytes is about how large one reply is: well under drpc's message limit
// of 4 MB, and 21,000 servers come in some 16 pieces.
const pieceBytes = 256 << 10

// neverHeard stands in a reply's heard_ago_ms.
const neverHeard = -1
