package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
)

func replyTo(id uint64) item { return item{reply: &exchangepb.LegReply{Leg: id}} }

// newTestBatcher returns a batcher and the batches that it has sent.
func newTestBatcher(due time.Time, unresponsive ...string) (*replyBatcher, *[][]item) {
	var sent [][]item
	isUnresponsive := func(service string) bool {
		for _, s := range unresponsive {
			if s == service {
				return true
			}
		}
		return false
	}
	b := newReplyBatcher(func(items []item) { sent = append(sent, items) }, isUnresponsive, time.Now, due)
	return b, &sent
}

// Guards against sending each reply of a search in a frame of its own.
func TestRepliesOfASearchAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b, sent := newTestBatcher(time.Now().Add(100 * time.Millisecond))
		defer b.close()
		for id := range uint64(3) {
			b.begin(id, "s")
		}
		b.end(1, replyTo(1))
		time.Sleep(20 * time.Millisecond)
		b.end(0, replyTo(0))
		is.Equal(len(*sent), 0)
		b.end(2, replyTo(2))
		is.Equal(len(*sent), 1)
		is.Equal(len((*sent)[0]), 3)
	})
}

// Guards against holding replies past the due time because one service is slow.
func TestRepliesAreNotHeldPastTheDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b, sent := newTestBatcher(time.Now().Add(100 * time.Millisecond))
		defer b.close()
		for id := range uint64(4) {
			b.begin(id, "s")
		}
		b.end(0, replyTo(0))
		b.end(1, replyTo(1))
		time.Sleep(100*time.Millisecond - replyReserve + time.Millisecond)
		synctest.Wait()
		is.Equal(len(*sent), 1)
		is.Equal(len((*sent)[0]), 2)
		b.end(2, replyTo(2))
		is.Equal(len(*sent), 2)
	})
}

// Guards against searches that wait for their whole timeout for a service that its home knows to
// be unresponsive.
func TestUnresponsiveServicesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b, sent := newTestBatcher(time.Now().Add(50*time.Millisecond), "dark")
		b.begin(0, "dark")
		b.begin(1, "slow")
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		is.Equal(len(*sent), 3) // when due, and at each interval after
		is.Equal((*sent)[0], []item{{unresponsive: "dark"}})
		b.close()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(*sent), 3)
	})
}

// Guards against replies to cancelled legs.
func TestCancelledLegsGetNoReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b, sent := newTestBatcher(time.Now().Add(50 * time.Millisecond))
		defer b.close()
		b.begin(0, "s")
		b.begin(1, "s")
		b.end(0, replyTo(0))
		b.drop(1)
		b.end(1, replyTo(1))
		is.Equal(len(*sent), 1)
		is.Equal((*sent)[0], []item{replyTo(0)})
	})
}

// Guards against a batcher that hangs: the functions that it calls end other legs of the same
// search, which come back to it.
func TestBatcherCallsOutWithoutItsMutex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var b *replyBatcher
		sent := 0
		end := func() { b.end(1, replyTo(1)) }
		b = newReplyBatcher(func([]item) { sent++; end() }, func(string) bool { end(); return false }, time.Now, time.Now().Add(50*time.Millisecond))
		defer b.close()
		b.begin(0, "s")
		b.begin(1, "s")
		b.begin(2, "t")
		b.end(0, replyTo(0))
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		is.Equal(sent, 2)
	})
}
