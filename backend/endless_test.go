package backend

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/platform/standin"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Guards against replies without an end, of the native protocol, that pass for answers or keep their
// connections.
func TestRepliesWithoutEndAreDropped(t *testing.T) {
	for kind := range standin.EndlessReplyKinds {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, err := standin.StartEndlessServer("server", "service", "zone", func() standin.EndlessReply { return kind })
			is.NoErr(err)
			t.Cleanup(s.Close)
			c := NewClient(Options{ReadIdleTimeout: -1})
			t.Cleanup(func() { _ = c.Close() })
			res := c.Run(t.Context(), Server{Name: "server", Address: s.Address()}, Call{
				Request: ident.NewRequestID(), Attempt: 1, Idempotent: true, Deadline: time.Now().Add(300 * time.Millisecond),
			})
			if kind == standin.EndlessRefusal { // its head is complete
				is.Equal(res.Outcome, result.OutcomeRefused)
			} else {
				is.Equal(res.Outcome, result.OutcomeUnknown)
			}
			for end := time.Now().Add(10 * time.Second); s.Open() > 0; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(end)) // until the connection is closed
			}
			is.Equal(c.replyMemory.used.Load(), int64(0))
		})
	}
}

// Guards against memory for long replies that is not returned, or that exceeds its limit.
func TestLongRepliesShareTheMemory(t *testing.T) {
	is := is.New(t)
	const limit = 10 * unreservedReplyBytes
	var memory replyMemory
	memory.limit.Store(limit)
	var group sync.WaitGroup
	for range 50 {
		group.Add(1)
		go func() {
			defer group.Done()
			r := replyReservation{memory: &memory}
			defer r.release()
			for range 100 {
				if r.add(8<<10) != nil {
					return
				}
				if used := memory.used.Load(); r.reserved > limit || used < r.reserved {
					t.Errorf("reserved %d, of %d in use", r.reserved, used)
				}
			}
		}()
	}
	group.Wait()
	is.Equal(memory.used.Load(), int64(0))
	alone := replyReservation{memory: &memory}
	is.NoErr(alone.add(limit))
	other := replyReservation{memory: &memory}
	is.NoErr(other.add(unreservedReplyBytes))
	is.Equal(other.add(2*limit), errReplyMemory)
}
