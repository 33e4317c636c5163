package scatter

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// busyHomes plays services that had no capacity for a part of their legs; it
// answers each leg at once and notes which were optional.
type busyHomes struct {
	lost     map[string]float64
	sent     int
	optional map[string]int
}

func (h *busyHomes) Of(string) (first, second ident.HostID) { return "self", "" }

func (h *busyHomes) Runner(ident.HostID) (leg.Runner, bool) { return h, true }

func (h *busyHomes) Strain(service, _ string) leg.Strain {
	return leg.Strain{Late: h.lost[service], Lost: h.lost[service]}
}

func (h *busyHomes) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	h.sent++
	if request.Optional {
		h.optional[request.Service]++
	}
	done(leg.Result{Request: request.Request, Shard: request.Shard, Snapshot: request.Snapshot, Outcome: result.OutcomeRan, Digest: leg.Digest(nil)})
	return func() {}
}

type noCounter struct{}

func (noCounter) Verdict(Verdict) {}
func (noCounter) Failover()       {}
func (noCounter) Restart()        {}

// ask runs a query whose id ranks it at a share of all.
func (h *busyHomes) ask(rank float64, least float64, draw int) *Answer {
	services := []string{"a", "b", "c", "d", "e"}
	s := &snapshot.Snapshot{Version: 1}
	for i, service := range services {
		s.Shards = append(s.Shards, snapshot.Shard{ID: snapshot.ShardID(i), Service: service})
	}
	var id ident.RequestID
	binary.BigEndian.PutUint32(id[:], uint32(rank*(1<<32-1)))
	binary.BigEndian.PutUint32(id[8:], uint32(draw))
	now := time.Now()
	c := NewCoordinator(h, noCounter{}, time.Now, func(string, string, []snapshot.Version) {})
	return c.Run(context.Background(), Work{Plan: Plan{
		Request: id, Snapshot: s, Started: now, Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second),
		LeastCoverage: least, Idempotent: true,
	}})
}

// Many users come at once, twice what two services can answer. Nearly half of
// the searches were worked on for two seconds and then failed. Those that their
// services will put back must hear at once that they have not run, and when to
// come back; the others go on.
func TestSearchesThatWillBePutBackAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	h := &busyHomes{lost: map[string]float64{"b": 0.5, "d": 0.5}, optional: map[string]int{}}
	refused := h.ask(0.1, 1, 0)
	is.Equal(refused.Code, result.Overloaded)
	is.True(refused.Code.NotRun())
	is.Equal(h.sent, 0)
	is.True(refused.RetryAfter >= time.Second && refused.RetryAfter <= 2*time.Second)
	is.Equal(h.ask(0.6, 1, 0).Code, result.Complete)
}

// One of two busy services is one that the answer can do without: the search
// is refused only for the other, and which one it is differs between searches,
// so that both are relieved.
func TestOptionalShardsAreSpreadOverTheBusyServices(t *testing.T) {
	is := is.New(t)
	h := &busyHomes{lost: map[string]float64{"b": 0.5, "d": 0.1}, optional: map[string]int{}}
	const searches = 20
	for draw := range searches {
		h.ask(0.9, 0.8, draw)
	}
	is.Equal(h.optional["b"]+h.optional["d"], searches)
	is.Equal(h.optional["b"], searches/2)
	is.Equal(h.ask(0.2, 0.8, 0).Code, result.Complete)   // b is optional
	is.Equal(h.ask(0.2, 0.8, 1).Code, result.Overloaded) // b is needed
}

// Without strain nothing is refused and nothing optional.
func TestCalmServicesGetEveryLeg(t *testing.T) {
	is := is.New(t)
	h := &busyHomes{optional: map[string]int{}}
	is.Equal(h.ask(0, 0.5, 0).Code, result.Complete)
	is.Equal(h.sent, 5)
	is.Equal(len(h.optional), 0)
}
