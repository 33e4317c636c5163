package discover

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/goldcrestspan/goldcrestspan/discover/discoverpb"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/peer"
)

// askTimeout bounds asking one peer; the next news brings another one.
const askTimeout = time.Second

// Relay passes the newest object between hosts, so that a host that the store
// turns away, or whose watch has lost its other end, is not behind the others.
type Relay struct {
	pool   *peer.Pool
	newest atomic.Pointer[metastore.Object]
	asking atomic.Bool
}

// NewRelay makes a relay that asks peers through the pool.
func NewRelay(pool *peer.Pool) *Relay { return &Relay{pool: pool} }

// Register registers the relay for peers.
func (r *Relay) Register(mux drpc.Mux) error {
	return errors.Wrap(discoverpb.DRPCRegisterRelay(mux, r), "register relay")
}

// Offer makes the object the one that peers get.
func (r *Relay) Offer(object metastore.Object) { r.newest.Store(&object) }

// Newest implements the service.
func (r *Relay) Newest(_ context.Context, request *discoverpb.NewestRequest) (*discoverpb.NewestReply, error) {
	newest := r.newest.Load()
	if newest == nil || newest.Revision <= request.GetAbove() {
		return &discoverpb.NewestReply{}, nil
	}
	return &discoverpb.NewestReply{Revision: newest.Revision, Value: newest.Value}, nil
}

// ErrNothingNewer: the peer knows nothing above the asked revision.
var ErrNothingNewer = errors.New("discover: the peer knows nothing newer")

// ErrAsking: another question is on its way.
var ErrAsking = errors.New("discover: a peer is being asked already")

// Ask asks the peer at the address for an object above the revision. One
// question runs at a time: news comes with each message between hosts.
func (r *Relay) Ask(ctx context.Context, address string, above uint64) (metastore.Object, error) {
	if !r.asking.CompareAndSwap(false, true) {
		return metastore.Object{}, ErrAsking
	}
	defer r.asking.Store(false)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := discoverpb.NewDRPCRelayClient(r.pool.Conn(ctx, address))
	reply, err := client.Newest(ctx, &discoverpb.NewestRequest{Above: above})
	if err != nil {
		return metastore.Object{}, errors.Wrapf(err, "ask %s", address)
	}
	if reply.GetRevision() <= above {
		return metastore.Object{}, ErrNothingNewer
	}
	return metastore.Object{Value: reply.GetValue(), Version: reply.GetRevision(), Revision: reply.GetRevision()}, nil
}
