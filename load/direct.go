package load

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/internal/wait"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// refusedPause is how long a direct caller waits after every replica refused.
const refusedPause = 2 * time.Millisecond

// direct is what users would do without the system: every caller fans out to
// the backend servers itself, with its share of their connections, to the
// replica on which it has the least of its own calls, and tries another one
// when a call surely did not run. The servers queue.
type direct struct {
	shape   Shape
	bed     *testbed.Cluster
	callers map[string]*directCaller
	// replicas are those of each service.
	replicas map[string][]*replica
}

// replica is one backend server, with an order number for the callers' counts.
type replica struct {
	server func() backend.Server
	place  int
}

// directCaller is one caller process.
type directCaller struct {
	runner *backend.Client
	// slots are its places at each server: its share of the connections.
	slots []chan struct{}
	// busy counts its calls waiting or under way at each server.
	busy []atomic.Int64
}

func newDirect(shape Shape, bed *testbed.Cluster) *direct {
	d := &direct{shape: shape, bed: bed, callers: make(map[string]*directCaller), replicas: make(map[string][]*replica)}
	for place, standIn := range bed.Backends {
		service := standIn.Server().Service
		d.replicas[service] = append(d.replicas[service], &replica{server: standIn.Server, place: place})
	}
	for role := range shape.CallersOfRole {
		for _, name := range shape.callersOf(role) {
			d.callers[name] = d.newCaller()
		}
	}
	return d
}

func (d *direct) newCaller() *directCaller {
	c := &directCaller{
		runner: backend.NewClient(backend.Options{}),
		busy:   make([]atomic.Int64, len(d.bed.Backends)),
	}
	for _, group := range d.shape.Groups {
		share := max(1, group.Connections/d.callersOf(group.Index))
		for range group.Services * group.Servers {
			c.slots = append(c.slots, make(chan struct{}, share))
		}
	}
	return c
}

// callersOf is how many callers use an index, and so share its connections.
func (d *direct) callersOf(index string) int {
	roles := make(map[string]bool)
	count := 0
	for _, stream := range d.shape.Streams {
		if stream.Index == index && !roles[stream.Role] {
			roles[stream.Role] = true
			count += d.shape.CallersOfRole[stream.Role]
		}
	}
	return max(count, 1)
}

func (d *direct) close() {
	for _, caller := range d.callers {
		_ = caller.runner.Close()
	}
}

func (d *direct) send(ctx context.Context, r request) outcome {
	shards := d.shape.services(r.stream.Index)
	first := 0
	if r.stream.Booking {
		first = int(r.key % uint64(shards))
		shards = 1
	}
	cut := scatter.CutOff(time.Now(), r.deadline(), r.stream.Prefer)
	ctx, cancel := context.WithDeadline(ctx, cut)
	defer cancel()
	id := ident.NewRequestID()
	done := make(chan bool, shards)
	for i := range shards {
		go func() { done <- d.leg(ctx, r, id, first+i) }()
	}
	have := 0
	for range shards {
		if <-done {
			have++
		}
	}
	return d.outcome(r, have, shards)
}

func (d *direct) outcome(r request, have, total int) outcome {
	o := outcome{took: time.Since(r.intended), legs: total}
	switch {
	case have == total:
		o.code = result.Complete.String()
	case float64(have) >= r.stream.MinCoverage*float64(total):
		o.code = result.Partial.String()
	default:
		o.code = result.CoverageTooLow.String()
		return o
	}
	o.have, o.total = have, total
	return o
}

// leg runs one shard's call until it ran, or may have run and must not run
// again, or time is up.
func (d *direct) leg(ctx context.Context, r request, id ident.RequestID, shard int) bool {
	caller := d.callers[r.caller]
	replicas := d.replicas[testbed.ServiceName(r.stream.Index, shard)]
	for attempt := 1; ctx.Err() == nil; attempt++ {
		got := caller.run(ctx, caller.pick(replicas, attempt), d.call(r, id, shard, attempt))
		if got.Usable() {
			return true
		}
		if !got.Outcome.NotRun() && r.stream.Booking {
			return false
		}
		if attempt%len(replicas) == 0 {
			wait.For(ctx, refusedPause)
		}
	}
	return false
}

func (d *direct) call(r request, id ident.RequestID, shard, attempt int) backend.Call {
	return backend.Call{
		Request:    id,
		Attempt:    ident.AttemptID(shard<<16 | attempt),
		Service:    testbed.ServiceName(r.stream.Index, shard),
		Index:      r.stream.Index,
		Shard:      snapshot.ShardID(shard + 1),
		Snapshot:   1,
		Class:      r.stream.Class,
		Deadline:   r.deadline(),
		Idempotent: !r.stream.Booking,
		Body:       r.body,
	}
}

// pick takes the replica with the least of the caller's own calls, at the
// first attempt; later ones go round.
func (c *directCaller) pick(replicas []*replica, attempt int) *replica {
	at := rand.IntN(len(replicas))
	if attempt > 1 {
		return replicas[(at+attempt)%len(replicas)]
	}
	best := replicas[at]
	for i := range replicas {
		other := replicas[(at+i)%len(replicas)]
		if c.busy[other.place].Load() < c.busy[best.place].Load() {
			best = other
		}
	}
	return best
}

func (c *directCaller) run(ctx context.Context, to *replica, call backend.Call) backend.CallResult {
	c.busy[to.place].Add(1)
	defer c.busy[to.place].Add(-1)
	select {
	case c.slots[to.place] <- struct{}{}:
	case <-ctx.Done():
		return backend.CallResult{Outcome: result.OutcomeUnsent, Fault: backend.FaultDeadline}
	}
	defer func() { <-c.slots[to.place] }()
	return c.runner.Run(ctx, to.server(), call)
}
