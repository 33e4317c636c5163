package scatter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// lostHomes loses each leg at its home, which may have run it, and answers those that are taken over.
type lostHomes struct {
	busyHomes
	reserved string
	taken    []leg.Request // at the host that takes over
}

func (h *lostHomes) Lookup(string) (home, fallback ident.HostID) { return "lost", "self" }

func (h *lostHomes) Reserve(string, ident.HostID) string { return h.reserved }

func (h *lostHomes) Runner(host ident.HostID) (leg.Runner, bool) {
	if host == "self" {
		return h, true
	}
	return losingRunner{}, true
}

func (h *lostHomes) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	h.taken = append(h.taken, request)
	return h.busyHomes.Run(request, done)
}

type losingRunner struct{}

func (losingRunner) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	done(leg.Failed(request, result.HomeUnavailable, result.OutcomeUnknown, "the link to the home broke"))
	return func() {}
}

// Guards against a search that runs on more servers than allowed after a home was lost: which ones
// the home has used is not known, so that only the reserved server is safe.
func TestLegOfALostHomeGoesToItsReservedServerOnly(t *testing.T) {
	for _, test := range []struct {
		name       string
		reserved   string
		maxServers int
		taken      int
	}{
		{"reserved", "s", 2, 1},
		{"nothing reserved", "", 2, 0},
		{"one server allowed", "s", 1, 0},
		{"no limit", "", 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := &lostHomes{reserved: test.reserved}
			now := time.Now()
			c := NewCoordinator(h, noCounter{}, time.Now, func(string, string, []snapshot.Version) {})
			answer := c.Run(t.Context(), QuerySpec{MaxServers: test.maxServers, Plan: Plan{
				Snapshot: &snapshot.Snapshot{Version: 1, Shards: []snapshot.Shard{{Service: "a"}}},
				Started:  now, Deadline: now.Add(time.Second), MinCoverage: 1, Idempotent: true,
			}})
			is.Equal(len(h.taken), test.taken)
			is.Equal(len(answer.Parts), test.taken)
			if test.taken == 0 {
				is.True(!answer.Code.NotRun())
				return
			}
			is.Equal(h.taken[0].ReservedServer, test.reserved)
			is.Equal(h.taken[0].FailedHome, ident.HostID("lost"))
		})
	}
}
