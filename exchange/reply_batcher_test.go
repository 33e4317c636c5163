package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/exchange/exchangepb"
)

func replyTo(id uint64) item { return item{reply: &exchangepb.LegReply{Leg: id}} }

// sentBatches gathers replies and keeps what was sent, batch by batch.
func sentBatches(due time.Time, silent ...string) (*gather, *[][]item) {
	var sent [][]item
	isSilent := func(service string) bool {
		for _, s := range silent {
			if s == service {
				return true
			}
		}
		return false
	}
	g := newGather(func(items []item) { sent = append(sent, items) }, isSilent, time.Now, due)
	return g, &sent
}

// A root waits for 180 parts from nine homes. Each part that came alone cost it a
// system call and a turn; the parts of a home must come together once all are there.
func TestRepliesOfASearchGoTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, sent := sentBatches(time.Now().Add(100 * time.Millisecond))
		defer g.close()
		for id := range uint64(3) {
			g.begin(id, "s")
		}
		g.end(1, replyTo(1))
		time.Sleep(20 * time.Millisecond)
		g.end(0, replyTo(0))
		is.Equal(len(*sent), 0)
		g.end(2, replyTo(2))
		is.Equal(len(*sent), 1)
		is.Equal(len((*sent)[0]), 3)
	})
}

// One of a home's services is slow, and the root answers at the target without it. The
// home's other parts must be with the root by then, and what comes later at once.
func TestRepliesAreNotHeldBeyondTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, sent := sentBatches(time.Now().Add(100 * time.Millisecond))
		defer g.close()
		for id := range uint64(4) {
			g.begin(id, "s")
		}
		g.end(0, replyTo(0))
		g.end(1, replyTo(1))
		time.Sleep(100*time.Millisecond - replyReserve + time.Millisecond)
		synctest.Wait()
		is.Equal(len(*sent), 1)
		is.Equal(len((*sent)[0]), 2)
		g.end(2, replyTo(2))
		is.Equal(len(*sent), 2)
	})
}

// All servers of a service fall silent. Its home knows, the root does not, and its
// callers wait for their whole time to hear that they failed. The home says so while it
// owes the reply.
func TestRootHearsOfSilentServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, sent := sentBatches(time.Now().Add(50*time.Millisecond), "dark")
		g.begin(0, "dark")
		g.begin(1, "slow")
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		is.Equal(len(*sent), 3) // when due, and each 100 ms after
		is.Equal((*sent)[0], []item{{silent: "dark"}})
		g.close()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(*sent), 3)
	})
}

// A root that has answered cancels what is open; it is owed nothing more.
func TestCancelledLegsAreOwedNoReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, sent := sentBatches(time.Now().Add(50 * time.Millisecond))
		defer g.close()
		g.begin(0, "s")
		g.begin(1, "s")
		g.end(0, replyTo(0))
		g.drop(1)
		g.end(1, replyTo(1))
		is.Equal(len(*sent), 1)
		is.Equal((*sent)[0], []item{replyTo(0)})
	})
}
