package discover

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/observe"
)

// nextPeerDelay is how long a peer has to answer before the next one is asked as well. A peer that
// runs answers within some milliseconds, while one that stands still takes the whole fetchTimeout.
const nextPeerDelay = 200 * time.Millisecond

// fetched is a peer's answer, or why there is none.
type fetched struct {
	address string
	changes changes
	err     error
}

// askPeers applies changes from the hint's peers until they are up to date with the hint, and
// reports whether the revision advanced. The peers are asked in their order.
func (f *Follower) askPeers(ctx context.Context, hint Hint) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before, found := f.Revision(), false // found: newer writes were applied
	replies := make(chan fetched, len(hint.Peers))
	asked, pending := 0, 0
	for hint.Revision > f.Revision() || hint.HasNewerWrites && !found {
		if pending == 0 {
			if asked == len(hint.Peers) {
				break
			}
			f.ask(ctx, hint, hint.Peers[asked], replies)
			asked, pending = asked+1, pending+1
		}
		timer := time.NewTimer(nextPeerDelay)
		select {
		case reply := <-replies:
			pending--
			found = f.applyReply(hint, reply) || found
		case <-timer.C:
			if asked < len(hint.Peers) {
				f.ask(ctx, hint, hint.Peers[asked], replies)
				asked, pending = asked+1, pending+1
			}
		}
		timer.Stop()
	}
	return f.Revision() > before
}

// ask asks one peer, whose answer or failure goes to the channel.
func (f *Follower) ask(ctx context.Context, hint Hint, address string, replies chan<- fetched) {
	after := f.Revision()
	if hint.Revision <= after {
		after = 0 // all objects: newer writes may have lower revisions
	}
	go func() {
		received, err := f.config.Relay.fetchChanges(ctx, address, f.config.Prefix, after)
		replies <- fetched{address: address, changes: received, err: err}
	}()
}

// applyReply applies a peer's answer and reports whether it had newer writes by WriteOrder.
func (f *Follower) applyReply(hint Hint, reply fetched) bool {
	switch {
	case reply.err != nil:
		f.config.Logger.Warn("failed to get changes from a peer", append(f.logFields(reply.err), zap.String("peer", reply.address), observe.Revision("peers_revision", hint.Revision))...)
		return false
	case reply.changes.revision > f.Revision():
		f.applyChanges(reply.changes, reply.address)
		return false
	default:
		return f.applyNewer(reply.changes, reply.address)
	}
}
