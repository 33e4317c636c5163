package exchange

import (
	"context"
	"sync"

	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
)

// maxBatch is the most messages in a frame. It keeps frames below drpc's size limit: requests
// share one body, and replies are bounded by the setting backend_reply_bytes.
const maxBatch = 32

// outbox queues messages for a stream. Messages that arrive while a frame is being sent make up
// the next frame, so that batches grow with load and a single message is not delayed.
type outbox struct {
	mu      sync.Mutex
	waiting []item
	ready   chan struct{} // holds one token while waiting is not empty
	closed  bool
}

// item is one message; exactly one field is set.
type item struct {
	request      *exchangepb.LegRequest
	reply        *exchangepb.LegReply
	cancel       *exchangepb.LegCancel
	head         *exchangepb.Head
	endedHead    uint32 // a head's id
	unresponsive string // a service
	ping         uint64
	pong         uint64
}

func newOutbox() *outbox {
	return &outbox{ready: make(chan struct{}, 1)}
}

// put adds a message; false if the stream has closed.
func (o *outbox) put(it item) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	o.waiting = append(o.waiting, it)
	o.signal()
	return true
}

// putAll adds messages that go into the same frame as far as it has room.
func (o *outbox) putAll(items []item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.waiting = append(o.waiting, items...)
	o.signal()
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take returns the next frame's messages, at most maxBatch.
func (o *outbox) take() []item {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.waiting), maxBatch)
	batch := o.waiting[:n:n]
	o.waiting = o.waiting[n:]
	if len(o.waiting) > 0 {
		o.signal()
	}
	return batch
}

// close rejects further messages and returns those that were not taken.
func (o *outbox) close() []item {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	rest := o.waiting
	o.waiting = nil
	return rest
}

// drain passes batches to send, in order, until it fails or ctx ends.
func (o *outbox) drain(ctx context.Context, send func(batch []item) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.ready:
		}
		batch := o.take()
		if len(batch) == 0 {
			continue
		}
		if send(batch) != nil {
			return
		}
	}
}

func frameOf(batch []item) *exchangepb.Frame {
	f := &exchangepb.Frame{}
	for _, it := range batch {
		switch {
		case it.request != nil:
			f.Requests = append(f.Requests, it.request)
		case it.reply != nil:
			f.Replies = append(f.Replies, it.reply)
		case it.cancel != nil:
			f.Cancels = append(f.Cancels, it.cancel)
		case it.head != nil:
			f.Heads = append(f.Heads, it.head)
		case it.endedHead != 0:
			f.EndedHeads = append(f.EndedHeads, it.endedHead)
		case it.unresponsive != "":
			f.Silent = append(f.Silent, it.unresponsive)
		case it.ping != 0:
			f.Ping = it.ping
		case it.pong != 0:
			f.Pong = it.pong
		}
	}
	return f
}
