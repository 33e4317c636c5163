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

// refusalBackoff is the pause of a direct caller after every replica has
// refused.
const refusalBackoff = 2 * time.Millisecond

// direct is the side without entry hosts: every caller fans out to the backend
// servers itself, with its share of their connections. It picks the replica with
// the fewest of its own calls and retries on another one if a call surely did
// not run. The servers queue requests.
type direct struct {
	shape    Shape
	cluster  *testbed.Cluster
	callers  map[string]*directCaller
	replicas map[string][]*replica // by service
}

// replica is one backend server.
type replica struct {
	server func() backend.Server
	index  int // in directCaller.slots and directCaller.inFlight
}

// directCaller is one caller process.
type directCaller struct {
	client *backend.Client
	// slots limits its calls to each server to its share of the connections.
	slots []chan struct{}
	// inFlight counts its queued and running calls to each server.
	inFlight []atomic.Int64
}

func newDirect(shape Shape, cluster *testbed.Cluster) *direct {
	d := &direct{shape: shape, cluster: cluster, callers: make(map[string]*directCaller), replicas: make(map[string][]*replica)}
	for index, standIn := range cluster.Backends {
		service := standIn.Server().Service
		d.replicas[service] = append(d.replicas[service], &replica{server: standIn.Server, index: index})
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
		client:   backend.NewClient(backend.Options{}),
		inFlight: make([]atomic.Int64, len(d.cluster.Backends)),
	}
	for _, group := range d.shape.Groups {
		share := max(1, group.Connections/d.callerCount(group.Index))
		for range group.Services * group.Servers {
			c.slots = append(c.slots, make(chan struct{}, share))
		}
	}
	return c
}

// callerCount returns the number of callers that use an index and share its
// connections.
func (d *direct) callerCount(index string) int {
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
		_ = caller.client.Close()
	}
}

func (d *direct) send(ctx context.Context, r request) outcome {
	shards := d.shape.services(r.stream.Index)
	first := 0
	if r.stream.Booking {
		first = int(r.key % uint64(shards))
		shards = 1
	}
	cutOff := scatter.CutOff(time.Now(), r.deadline(), r.stream.Prefer)
	ctx, cancel := context.WithDeadline(ctx, cutOff)
	defer cancel()
	id := ident.NewRequestID()
	answered := make(chan bool, shards)
	for i := range shards {
		go func() { answered <- d.runLeg(ctx, r, id, first+i) }()
	}
	covered := 0
	for range shards {
		if <-answered {
			covered++
		}
	}
	return d.outcome(r, covered, shards)
}

func (d *direct) outcome(r request, covered, total int) outcome {
	o := outcome{took: time.Since(r.intended), legs: total}
	switch {
	case covered == total:
		o.code = result.Complete.String()
	case float64(covered) >= r.stream.MinCoverage*float64(total):
		o.code = result.Partial.String()
	default:
		o.code = result.CoverageTooLow.String()
		return o
	}
	o.covered, o.total = covered, total
	return o
}

// runLeg retries one shard's call until it is answered, until a booking may
// have run, or until ctx is done. It reports whether there is an answer.
func (d *direct) runLeg(ctx context.Context, r request, id ident.RequestID, shard int) bool {
	caller := d.callers[r.caller]
	replicas := d.replicas[testbed.ServiceName(r.stream.Index, shard)]
	for attempt := 1; ctx.Err() == nil; attempt++ {
		res := caller.run(ctx, caller.pick(replicas, attempt), d.newCall(r, id, shard, attempt))
		if res.Usable() {
			return true
		}
		if !res.Outcome.NotRun() && r.stream.Booking {
			return false
		}
		if attempt%len(replicas) == 0 {
			wait.For(ctx, refusalBackoff)
		}
	}
	return false
}

func (d *direct) newCall(r request, id ident.RequestID, shard, attempt int) backend.Call {
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

// pick returns the replica with the fewest calls of this caller for the first
// attempt, and rotates through the replicas for later ones.
func (c *directCaller) pick(replicas []*replica, attempt int) *replica {
	start := rand.IntN(len(replicas))
	if attempt > 1 {
		return replicas[(start+attempt)%len(replicas)]
	}
	best := replicas[start]
	for i := range replicas {
		other := replicas[(start+i)%len(replicas)]
		if c.inFlight[other.index].Load() < c.inFlight[best.index].Load() {
			best = other
		}
	}
	return best
}

func (c *directCaller) run(ctx context.Context, target *replica, call backend.Call) backend.CallResult {
	c.inFlight[target.index].Add(1)
	defer c.inFlight[target.index].Add(-1)
	select {
	case c.slots[target.index] <- struct{}{}:
	case <-ctx.Done():
		return backend.CallResult{Outcome: result.OutcomeUnsent, Fault: backend.FaultDeadline}
	}
	defer func() { <-c.slots[target.index] }()
	return c.client.Run(ctx, target.server(), call)
}
