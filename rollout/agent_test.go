package rollout

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/standin"
)

// An operator withdraws a route after a complaint and expects it gone "in
// seconds". The submit moves the head, watchers hear it by their watch and the
// other hosts from them.
func TestAcceptedConfigurationComesInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 7, 3)
		first := f.accept(testDocuments(20), "first")
		f.startAll()
		defer f.stopAll()
		f.within(5*time.Second, first, 7)

		second := f.accept(testDocuments(19), "withdraw a route")
		is.Equal(second.Generation, uint64(2))
		took := f.within(time.Second, second, 7)
		t.Logf("in force on 7 hosts after %s", took)
		_, found := f.hosts[6].agent.Config().Route("route-0019", mustCaller(f.hosts[6].agent.Config()))
		is.True(!found)
	})
}

// The store goes down at the moment at which it has answered the submit. The
// operator was told "accepted", so the change must come in force; only a
// watcher has heard of it by then.
func TestStoreDownRightAfterAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, 3)
		first := f.accept(testDocuments(20), "first")
		f.startAll()
		defer f.stopAll()
		f.within(5*time.Second, first, 7)

		second := f.accept(testDocuments(19), "withdraw a route")
		synctest.Wait() // the watches that were waiting have their reply
		f.store.SetFaults(standin.PlatformFaults{Down: true})
		took := f.within(4*time.Second, second, 7)
		t.Logf("in force on 7 hosts after %s", took)
	})
}
