package discover

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/discover/discoverpb"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/peer"
)

// fetchTimeout bounds a request to one peer.
const fetchTimeout = time.Second

// Relay exchanges changes of the store between hosts, so that a few hosts watch the store
// for all, and a host whose own watch fails is not behind the others.
type Relay struct {
	pool       *peer.Pool
	followers  map[string]*Follower // by prefix
	compressor compressor
}

// NewRelay returns a relay that calls peers through the pool.
func NewRelay(pool *peer.Pool) *Relay {
	return &Relay{pool: pool, followers: make(map[string]*Follower)}
}

// Register registers the relay service, which serves the objects of the followers.
func (r *Relay) Register(mux drpc.Mux, followers ...*Follower) error {
	for _, f := range followers {
		r.followers[f.config.Prefix] = f
	}
	return errors.Wrap(discoverpb.DRPCRegisterRelay(mux, r), "register relay")
}

// Changes implements discoverpb.DRPCRelayServer.
func (r *Relay) Changes(_ context.Context, request *discoverpb.ChangesRequest) (*discoverpb.ChangesReply, error) {
	f := r.followers[request.GetPrefix()]
	if f == nil {
		return nil, errors.Errorf("discover: nothing is followed below %q", request.GetPrefix())
	}
	state, after := f.peerState.Load(), metastore.Revision(request.GetAfter())
	if state == nil || state.revision <= after {
		return &discoverpb.ChangesReply{}, nil
	}
	changes := state.changesAfter(after)
	reply := &discoverpb.ChangesReply{Revision: uint64(changes.revision), Whole: changes.complete, Removed: changes.removed}
	if remaining := state.finalAt.Sub(f.config.Now()); remaining > 0 {
		reply.DoubtMs = uint32(remaining.Milliseconds())
	}
	for _, object := range changes.objects {
		sent := &discoverpb.Object{
			Key: object.Key, Value: object.Value, Version: object.Version, Revision: uint64(object.Revision),
		}
		if len(object.Value) >= minCompressBytes {
			compressed, err := r.compressor.compress(object)
			if err != nil {
				return nil, err
			}
			sent.Value, sent.Packed = compressed, true
		}
		reply.Objects = append(reply.Objects, sent)
	}
	return reply, nil
}

// fetchChanges gets the changes after a revision from a peer; they have revision 0 if
// there are none.
func (r *Relay) fetchChanges(ctx context.Context, address, prefix string, after metastore.Revision) (changes, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := discoverpb.NewDRPCRelayClient(r.pool.Conn(ctx, address))
	reply, err := client.Changes(ctx, &discoverpb.ChangesRequest{Prefix: prefix, After: uint64(after)})
	if err != nil {
		return changes{}, errors.Wrapf(err, "ask %s", address)
	}
	received := changes{
		revision: metastore.Revision(reply.GetRevision()), complete: reply.GetWhole(), removed: reply.GetRemoved(),
		deferFor: time.Duration(reply.GetDoubtMs()) * time.Millisecond,
	}
	for _, object := range reply.GetObjects() {
		value := object.GetValue()
		if object.GetPacked() {
			if value, err = decompress(value); err != nil {
				return changes{}, errors.Wrapf(err, "object %s from %s", object.GetKey(), address)
			}
		}
		received.objects = append(received.objects, metastore.Object{
			Key: object.GetKey(), Value: value, Version: object.GetVersion(), Revision: metastore.Revision(object.GetRevision()),
		})
	}
	return received, nil
}
