package scatter

import (
	"context"
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// busyHomes fakes homes with the given forecasts; it answers each leg at once and
// counts the optional ones.
type busyHomes struct {
	forecast map[string]leg.Forecast
	sent     int
	optional map[string]int
}

func (h *busyHomes) Lookup(string) (home, fallback ident.HostID) { return "self", "" }

func (h *busyHomes) Reserve(string, ident.HostID) string { return "" }

func (h *busyHomes) Runner(ident.HostID) (leg.Runner, bool) { return h, true }

func (h *busyHomes) Forecast(service, _ string) leg.Forecast { return h.forecast[service] }

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

// query runs a query over the services with a soft deadline of one second and a
// deadline of two. jitter, 0 to 1, is encoded in its id.
func (h *busyHomes) query(coverage, jitter float64, services ...string) *Answer {
	s := &snapshot.Snapshot{Version: 1}
	for i, service := range services {
		s.Shards = append(s.Shards, snapshot.Shard{ID: snapshot.ShardID(i), Service: service})
	}
	var id ident.RequestID
	binary.BigEndian.PutUint32(id[12:], uint32(jitter*(1<<32-1)))
	now := time.Now()
	c := NewCoordinator(h, noCounter{}, time.Now, func(string, string, []snapshot.Version) {})
	return c.Run(context.Background(), QuerySpec{Plan: Plan{
		Request: id, Snapshot: s, Started: now, SoftDeadline: now.Add(time.Second), Deadline: now.Add(2 * time.Second),
		MinCoverage: coverage, Idempotent: true,
	}})
}

// queued makes homes at which the given services have long queues.
func queued(services ...string) *busyHomes {
	h := &busyHomes{forecast: map[string]leg.Forecast{}, optional: map[string]int{}}
	for _, service := range services {
		h.forecast[service] = leg.Forecast{QueueTime: 900 * time.Millisecond, ServiceTime: 10 * time.Millisecond}
	}
	return h
}

// Guards against sending a query that can't be answered in time, and against
// refused queries that are all retried at the same moment.
func TestRefusesQueryThatCannotBeInTime(t *testing.T) {
	is := is.New(t)
	h := queued("b", "d")
	refused := h.query(0.8, 0, "a", "b", "c", "d", "e")
	is.Equal(refused.Code, result.Overloaded)
	is.True(refused.Code.NotRun())
	is.Equal(h.sent, 0)
	later := h.query(0.8, 1, "a", "b", "c", "d", "e")
	is.True(refused.RetryAfter >= 150*time.Millisecond)
	is.True(later.RetryAfter > refused.RetryAfter+300*time.Millisecond)
	is.True(later.RetryAfter < time.Second) // there is time left for an answer
}

// Guards against refusing a query that reaches its coverage without the busy
// services; their legs are optional.
func TestLateShardsAreOptional(t *testing.T) {
	is := is.New(t)
	h := queued("b", "d")
	is.Equal(h.query(0.6, 0, "a", "b", "c", "d", "e").Code, result.Complete)
	is.Equal(h.optional, map[string]int{"b": 1, "d": 1})
}

// Guards against refusing a query whose services are slow but have no queue: a
// late answer is worth more than a refusal.
func TestSlowServicesWithoutQueueAreNotRefused(t *testing.T) {
	is := is.New(t)
	h := queued()
	for _, service := range []string{"a", "b", "c"} {
		h.forecast[service] = leg.Forecast{ServiceTime: 1500 * time.Millisecond}
	}
	is.Equal(h.query(0.8, 0, "a", "b", "c", "d", "e").Code, result.Complete)
	is.Equal(h.sent, 5)
}

// Guards against refusing a request to a single service because of its queue.
func TestSingleServiceRequestIsNotRefusedForQueue(t *testing.T) {
	is := is.New(t)
	is.Equal(queued("a").query(1, 0, "a").Code, result.Complete)
}

// Guards against refused or optional legs where no queue is forecast.
func TestIdleServicesGetAllLegs(t *testing.T) {
	is := is.New(t)
	h := queued()
	is.Equal(h.query(0.5, 0, "a", "b", "c", "d", "e").Code, result.Complete)
	is.Equal(h.sent, 5)
	is.Equal(len(h.optional), 0)
}

// Guards against sending a query that needs services without a responding server.
func TestRefusesQueryThatNeedsUnresponsiveServices(t *testing.T) {
	is := is.New(t)
	h := queued()
	h.forecast["b"], h.forecast["d"] = leg.Forecast{Unresponsive: true}, leg.Forecast{Unresponsive: true}
	refused := h.query(0.8, 0, "a", "b", "c", "d", "e")
	is.Equal(refused.Code, result.Overloaded)
	is.Equal(h.sent, 0)
	is.Equal(h.query(0.6, 0, "a", "b", "c", "d", "e").Code, result.Complete)
}

// unresponsiveHomes never answers, and forecasts so once a leg was sent.
type unresponsiveHomes struct{ busyHomes }

func (h *unresponsiveHomes) Runner(ident.HostID) (leg.Runner, bool) { return h, true }

func (h *unresponsiveHomes) Run(leg.Request, func(leg.Result)) (cancel func()) {
	h.sent++
	return func() {}
}

func (h *unresponsiveHomes) Forecast(string, string) leg.Forecast {
	return leg.Forecast{Unresponsive: h.sent > 0}
}

// Guards against a query that waits until its deadline for services that became
// unresponsive while it ran.
func TestQueryEndsOnceServicesAreUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &unresponsiveHomes{}
		s := &snapshot.Snapshot{Version: 1, Shards: []snapshot.Shard{{ID: 0, Service: "a"}, {ID: 1, Service: "b"}}}
		now := time.Now()
		c := NewCoordinator(h, noCounter{}, time.Now, func(string, string, []snapshot.Version) {})
		answer := c.Run(t.Context(), QuerySpec{Plan: Plan{
			Request: ident.RequestID{1}, Snapshot: s, Started: now, SoftDeadline: now.Add(100 * time.Millisecond),
			Deadline: now.Add(2 * time.Second), MinCoverage: 1, Idempotent: true,
		}})
		is.True(!answer.Code.NotRun())
		is.Equal(len(answer.Parts), 0)
		is.True(time.Since(now) < 300*time.Millisecond)
	})
}

// Guards against ending a long request to a single service past its soft deadline.
func TestSingleServiceRequestOutlastsSoftDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &unresponsiveHomes{}
		s := &snapshot.Snapshot{Version: 1, Shards: []snapshot.Shard{{ID: 0, Service: "a"}}}
		now := time.Now()
		c := NewCoordinator(h, noCounter{}, time.Now, func(string, string, []snapshot.Version) {})
		c.Run(t.Context(), QuerySpec{Plan: Plan{
			Request: ident.RequestID{1}, Snapshot: s, Started: now, SoftDeadline: now.Add(100 * time.Millisecond),
			Deadline: now.Add(2 * time.Second), MinCoverage: 1,
		}})
		is.True(time.Since(now) > 1800*time.Millisecond)
	})
}
