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

// askTimeout bounds asking one peer; the next news brings another one.
const askTimeout = time.Second

// Relay passes what hosts have read from the store between them. With it few
// hosts watch the store for all, and a host that the store turns away, or whose
// watch has lost its other end, is not behind the others.
type Relay struct {
	pool      *peer.Pool
	followers map[string]*Follower // by prefix
	packer    packer
}

// NewRelay makes a relay that asks peers through the pool.
func NewRelay(pool *peer.Pool) *Relay {
	return &Relay{pool: pool, followers: make(map[string]*Follower)}
}

// Register registers the relay for peers and for the followers that it serves.
func (r *Relay) Register(mux drpc.Mux, followers ...*Follower) error {
	for _, f := range followers {
		r.followers[f.config.Prefix] = f
	}
	return errors.Wrap(discoverpb.DRPCRegisterRelay(mux, r), "register relay")
}

// Changes implements the service.
func (r *Relay) Changes(_ context.Context, request *discoverpb.ChangesRequest) (*discoverpb.ChangesReply, error) {
	f := r.followers[request.GetPrefix()]
	if f == nil {
		return nil, errors.Errorf("discover: nothing is followed below %q", request.GetPrefix())
	}
	known, after := f.known.Load(), metastore.Revision(request.GetAfter())
	if known == nil || known.revision <= after {
		return &discoverpb.ChangesReply{}, nil
	}
	changes := known.after(after)
	reply := &discoverpb.ChangesReply{Revision: uint64(changes.revision), Whole: changes.whole, Removed: changes.removed}
	if doubt := known.doubtUntil.Sub(f.config.Now()); doubt > 0 {
		reply.DoubtMs = uint32(doubt.Milliseconds())
	}
	for _, object := range changes.objects {
		sent := &discoverpb.Object{
			Key: object.Key, Value: object.Value, Version: object.Version, Revision: uint64(object.Revision),
		}
		if len(object.Value) >= packFrom {
			packed, err := r.packer.pack(object)
			if err != nil {
				return nil, err
			}
			sent.Value, sent.Packed = packed, true
		}
		reply.Objects = append(reply.Objects, sent)
	}
	return reply, nil
}

// ask asks a peer for what has changed; revision 0: the peer knows nothing newer.
func (r *Relay) ask(ctx context.Context, address, prefix string, after metastore.Revision) (changes, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := discoverpb.NewDRPCRelayClient(r.pool.Conn(ctx, address))
	reply, err := client.Changes(ctx, &discoverpb.ChangesRequest{Prefix: prefix, After: uint64(after)})
	if err != nil {
		return changes{}, errors.Wrapf(err, "ask %s", address)
	}
	got := changes{
		revision: metastore.Revision(reply.GetRevision()), whole: reply.GetWhole(), removed: reply.GetRemoved(),
		doubt: time.Duration(reply.GetDoubtMs()) * time.Millisecond,
	}
	for _, object := range reply.GetObjects() {
		value := object.GetValue()
		if object.GetPacked() {
			if value, err = unpack(value); err != nil {
				return changes{}, errors.Wrapf(err, "%s from %s", object.GetKey(), address)
			}
		}
		got.objects = append(got.objects, metastore.Object{
			Key: object.GetKey(), Value: value, Version: object.GetVersion(), Revision: metastore.Revision(object.GetRevision()),
		})
	}
	return got, nil
}
