package rollout

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// operators is a store and two people who submit, without hosts.
func operators(t *testing.T, test func(*is.I, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 0)
		f.accept(testDocuments(5), "first")
		test(is.New(t), f)
	})
}

// change is signed by both and not submitted.
func (f *fleet) change(routes int, reason string) bundle.Change {
	change, err := Propose(f.ctx, f.store, testDocuments(routes), bundle.Proposal{Author: "ana", Reason: reason})
	is.New(f.t).NoErr(err)
	return change.Sign(f.people.ana).Sign(f.people.marko)
}

func (f *fleet) submit(change bundle.Change) (SubmitResult, error) {
	ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
	defer cancel()
	return Submit(ctx, f.store, f.people.signers, change)
}

// Two operators change the same configuration at once. If the second were
// accepted on top, it would undo the first, whose author was told "accepted".
// The second is refused and sees what came first.
func TestTwoOperatorsAtOnce(t *testing.T) {
	operators(t, func(is *is.I, f *fleet) {
		mine, theirs := f.change(6, "mine"), f.change(4, "theirs")
		_, err := f.submit(theirs)
		is.NoErr(err)
		_, err = f.submit(mine)
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Reason, "theirs")
		is.Equal(len(conflict.Differences), 1)
		is.Equal(conflict.Differences[0].Item, "route route-0004")
		is.True(strings.Contains(err.Error(), "make it again on top"))
		is.Equal(f.headRef().Hash, theirs.Signed.Hash())
	})
}

// The same, at the same instant, many times over: exactly one of two wins.
func TestRacingSubmits(t *testing.T) {
	operators(t, func(is *is.I, f *fleet) {
		for round := range 20 {
			changes := []bundle.Change{f.change(6+round, "a"), f.change(30+round, "b")}
			outcomes := make(chan error, 2)
			for _, change := range changes {
				go func() {
					_, err := f.submit(change)
					outcomes <- err
				}()
			}
			first, second := <-outcomes, <-outcomes
			is.True((first == nil) != (second == nil))
			is.Equal(f.headRef().Generation, uint64(round+2))
		}
	})
}

// The write of the head takes effect and its reply is lost, or the write
// itself is lost. Told "failed", the operator would change a configuration
// that is in force; told "accepted", they would rely on one that isn't.
func TestLostRepliesAndWrites(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{
		"one reply":       {LoseReplies: 1},
		"several replies": {LoseReplies: 5},
		"one write":       {LoseWrites: 1},
		"several writes":  {LoseWrites: 5},
		"both":            {LoseReplies: 2, LoseWrites: 3},
	} {
		t.Run(name, func(t *testing.T) {
			operators(t, func(is *is.I, f *fleet) {
				change := f.change(6, "second")
				f.store.SetFaults(faults)
				receipt, err := f.submit(change)
				is.NoErr(err)
				is.Equal(f.headRef(), receipt.Ref)
				is.Equal(receipt.Ref.Hash, change.Signed.Hash())
			})
		})
	}
}

// hookStore runs a function around the write of the head.
type hookStore struct {
	metastore.Store
	putHead func(put func() error) error
}

// Put passes writes of the head to the hook.
func (s *hookStore) Put(ctx context.Context, key string, value []byte, expect uint64) (object metastore.Object, err error) {
	if key != HeadKey {
		return s.Store.Put(ctx, key, value, expect)
	}
	err = s.putHead(func() error {
		object, err = s.Store.Put(ctx, key, value, expect)
		return err
	})
	return object, err
}

// A head write takes effect, its reply is lost, and before the operator's tool
// reads back, a colleague's change on top is accepted too. The head then names
// the colleague's; the first change was accepted all the same.
func TestLostReplyAndSuccessor(t *testing.T) {
	operators(t, func(is *is.I, f *fleet) {
		change := f.change(6, "second")
		store := &hookStore{Store: f.store, putHead: func(put func() error) error {
			is.NoErr(put())
			f.accept(testDocuments(7), "third")
			return metastore.ErrAmbiguous
		}}
		receipt, err := Submit(f.ctx, store, f.people.signers, change)
		is.NoErr(err)
		is.True(receipt.Superseded)
		is.Equal(f.headRef().Generation, uint64(3))
	})
}

// The store goes down for good in the middle of the write of the head. The
// outcome isn't known, and the tool must say just that. Submitted again when
// the store is back, the same file settles it, whether it had taken effect or
// not, and whether anyone else came in between.
func TestOutcomeNotKnownUntilSubmittedAgain(t *testing.T) {
	for name, applied := range map[string]bool{"took effect": true, "did not": false} {
		t.Run(name, func(t *testing.T) {
			operators(t, func(is *is.I, f *fleet) {
				change := f.change(6, "second")
				store := &hookStore{Store: f.store, putHead: func(put func() error) error {
					if applied {
						is.NoErr(put())
					}
					f.store.SetFaults(standin.PlatformFaults{Down: true})
					return metastore.ErrAmbiguous
				}}
				ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
				defer cancel()
				_, err := Submit(ctx, store, f.people.signers, change)
				var unknown *UnknownError
				is.True(errors.As(err, &unknown))
				is.True(strings.Contains(err.Error(), "submit the same file again"))
				f.store.SetFaults(standin.PlatformFaults{})
				receipt, err := f.submit(change)
				is.NoErr(err)
				is.Equal(f.headRef(), receipt.Ref)
			})
		})
	}
}

// The reply of a write that took effect is lost, and the read back comes from a
// copy of the store that lags by two changes. By that copy the change looks
// refused; it is in force.
func TestStaleReadBack(t *testing.T) {
	operators(t, func(is *is.I, f *fleet) {
		time.Sleep(time.Minute)
		f.accept(testDocuments(7), "second")
		change := f.change(6, "third")
		store := &hookStore{Store: f.store, putHead: func(put func() error) error {
			is.NoErr(put())
			f.store.SetFaults(standin.PlatformFaults{ReadLag: 10 * time.Second})
			return metastore.ErrAmbiguous
		}}
		receipt, err := Submit(f.ctx, store, f.people.signers, change)
		is.NoErr(err)
		f.store.SetFaults(standin.PlatformFaults{})
		is.Equal(f.headRef(), receipt.Ref)
	})
}

// A colleague's change was accepted a moment ago and reads of the store still
// show the head before it. The write conflicts, the read back shows the old head
// again: the tool must wait between them instead of calling the store as fast as
// it answers, and then show the conflict.
func TestConflictBehindStaleReads(t *testing.T) {
	operators(t, func(is *is.I, f *fleet) {
		time.Sleep(time.Minute)
		mine, theirs := f.change(6, "mine"), f.change(4, "theirs")
		_, err := f.submit(theirs)
		is.NoErr(err)
		f.store.SetFaults(standin.PlatformFaults{ReadLag: 10 * time.Second})
		before := f.store.Calls().Total()
		_, err = f.submit(mine)
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.True(f.store.Calls().Total()-before < 60)
	})
}

// The first bundle of a large operator has 193 parts, and each write takes 50 ms
// with the client's own rate limit. The whole takes longer than one call may; it
// must go on where it was, not begin again until the operator gives up.
func TestSubmitOfManyDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0, 0)
		change, err := Propose(f.ctx, f.store, targetDocuments(), bundle.Proposal{Author: "ana", Reason: "large"})
		is.NoErr(err)
		f.store.SetFaults(standin.PlatformFaults{Delay: 50 * time.Millisecond, LoseReplies: 3, LoseWrites: 2})
		receipt, err := f.submit(change.Sign(f.people.ana).Sign(f.people.marko))
		is.NoErr(err)
		is.Equal(receipt.DocumentsWritten, 193)
		is.True(f.store.Calls().Writes() < 193+20)
	})
}

// The store is down from the start: nothing was written, and the tool says
// so, and not "not known".
func TestSubmitWithStoreDown(t *testing.T) {
	operators(t, func(is *is.I, f *fleet) {
		change := f.change(6, "second")
		f.store.SetFaults(standin.PlatformFaults{Down: true})
		_, err := f.submit(change)
		var unknown *UnknownError
		is.True(err != nil && !errors.As(err, &unknown))
		is.True(strings.Contains(err.Error(), "did not move the head"))
		go func() {
			time.Sleep(20 * time.Second)
			f.store.SetFaults(standin.PlatformFaults{})
		}()
		_, err = f.submit(change) // goes on through the outage
		is.NoErr(err)
	})
}

// A bad bundle must not reach the store at all.
func TestSubmitRefusesBadBundles(t *testing.T) {
	operators(t, func(is *is.I, f *fleet) {
		before := f.store.Calls().Writes()
		unsigned, err := Propose(f.ctx, f.store, testDocuments(6), bundle.Proposal{Author: "ana", Reason: "x"})
		is.NoErr(err)
		lacking := f.change(6, "lacks documents")
		lacking.Contents = bundle.Contents{}
		for _, change := range []bundle.Change{
			unsigned,
			unsigned.Sign(f.people.ana),
			unsigned.Sign(f.people.ana).Sign(f.people.stranger),
			lacking,
			f.spoiled(`{"classes":null,"policy":{},"quarantine":null}`).Sign(f.people.ana).Sign(f.people.marko),
		} {
			_, err := f.submit(change)
			is.True(err != nil)
		}
		is.Equal(f.store.Calls().Writes(), before)
	})
}

// A change broke bookings and its operator restores the generation before. It
// is a new generation that says what it restores and why; hosts that have the
// broken one take it as they take any other.
func TestRollback(t *testing.T) {
	running(t, 5, 2, func(is *is.I, f *fleet) {
		first := f.headRef()
		f.within(time.Second, f.accept(testDocuments(3), "broke bookings"), 5)
		change, err := Rollback(f.ctx, f.store, 1, bundle.Proposal{Author: "marko", Reason: "bookings fail"})
		is.NoErr(err)
		_, err = f.submit(change.Sign(f.people.marko))
		is.True(err != nil) // a rollback too needs a second person
		receipt, err := f.submit(change.Sign(f.people.marko).Sign(f.people.ana))
		is.NoErr(err)
		is.Equal(receipt.Ref.Generation, uint64(3))
		f.within(time.Second, receipt.Ref, 5)
		_, _, docs, err := Current(f.ctx, f.store)
		is.NoErr(err)
		is.Equal(len(docs.Routes), 20)
		history, err := History(f.ctx, f.store, 10)
		is.NoErr(err)
		is.Equal(len(history), 3)
		is.Equal(*history[0].Restores, first)
		is.Equal(history[0].Reason, "bookings fail")
		is.Equal(history[0].SignedBy, []string{"marko", "ana"})
		_, err = Rollback(f.ctx, f.store, 3, bundle.Proposal{Author: "marko", Reason: "x"})
		is.True(err != nil) // nothing to restore
	})
}

// The platform's operators restore its store from a backup: the head goes back
// to the first generation while hosts have the third. Hosts stay at the third,
// and ignore a second "second". A change above the third goes through.
func TestStoreSetBack(t *testing.T) {
	running(t, 3, 1, func(is *is.I, f *fleet) {
		backup, err := f.store.Get(f.ctx, HeadKey)
		is.NoErr(err)
		f.within(time.Second, f.accept(testDocuments(19), "second"), 3)
		third := f.accept(testDocuments(18), "third")
		f.within(time.Second, third, 3)
		current, err := f.store.Get(f.ctx, HeadKey)
		is.NoErr(err)
		_, err = f.store.Put(f.ctx, HeadKey, backup.Value, current.Version)
		is.NoErr(err)
		_, err = f.submit(f.change(7, "a second second"))
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		is.Equal(f.inForceOn(third), 3)
		above, err := Propose(f.ctx, f.store, testDocuments(8), bundle.Proposal{Author: "ana", Reason: "above", AboveGeneration: third.Generation})
		is.NoErr(err)
		receipt, err := f.submit(above.Sign(f.people.ana).Sign(f.people.marko))
		is.NoErr(err)
		is.Equal(receipt.Ref.Generation, uint64(4))
		f.within(2*time.Second, receipt.Ref, 3)
		history, err := History(f.ctx, f.store, 10)
		is.NoErr(err)
		is.Equal(history[1].Reason, "a second second") // not the first of that number
		_, err = Rollback(f.ctx, f.store, 2, bundle.Proposal{Author: "ana", Reason: "x"})
		is.True(err != nil) // which one isn't clear
	})
}
