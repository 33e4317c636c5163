package rollout

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// rolloutCost holds the latency and cost of one change, and the cost of an
// idle fleet.
type rolloutCost struct {
	hosts, watchers        int
	p99Latency, maxLatency time.Duration // until active on 99% and on all of the hosts
	bytesMean              int           // received from peers per host for the change
	bytesMax               int
	callsForChange         uint64        // to the store by the fleet, beyond its idle calls
	callsPerSecond         float64       // to the store by the idle fleet
	maxLatencyStoreDown    time.Duration // as maxLatency, with the store down after acceptance
	delay                  time.Duration
}

// settleTime is how long a fleet needs to become idle after a change.
const settleTime = 20 * time.Second

func measureRollout(t *testing.T, hosts, watchers int, delay time.Duration) rolloutCost {
	const routes = 200
	cost := rolloutCost{hosts: hosts, watchers: watchers, delay: delay}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts, watchers)
		f.delay = delay
		first := f.accept(testDocuments(routes), "first")
		f.startAll()
		defer f.stopAll()
		f.waitActive(2*time.Minute, first, hosts)
		time.Sleep(settleTime)

		const idle = 100 * time.Second
		before := f.store.Calls().Total()
		time.Sleep(idle)
		idleCalls := f.store.Calls().Total() - before
		cost.callsPerSecond = float64(idleCalls) / idle.Seconds()

		f.resetBytes()
		change := f.change(routes-1, "one route")
		before = f.store.Calls().Total() + f.submitCalls(change)
		submitted, err := f.submit(change)
		is.New(t).NoErr(err)
		started := time.Now()
		cost.p99Latency = f.waitActive(10*time.Second, submitted.Ref, hosts-hosts/100)
		f.waitActive(10*time.Second, submitted.Ref, hosts)
		cost.maxLatency = time.Since(started)
		time.Sleep(idle)
		if used := f.store.Calls().Total() - before; used > idleCalls {
			cost.callsForChange = used - idleCalls
		}
		cost.bytesMean, cost.bytesMax = f.bytesByHost()

		submitted, err = f.submit(f.change(routes-2, "another"))
		is.New(t).NoErr(err)
		synctest.Wait()
		f.store.SetFaults(standin.PlatformFaults{Down: true})
		cost.maxLatencyStoreDown = f.waitActive(4*time.Second, submitted.Ref, hosts)
	})
	return cost
}

// submitCalls returns how many calls a submit of the change makes to the store,
// including the one made here.
func (f *fleet) submitCalls(change bundle.Change) uint64 {
	is := is.New(f.t)
	current, err := readHead(f.ctx, f.store)
	is.NoErr(err)
	m, err := change.Signed.Manifest()
	is.NoErr(err)
	const calls = 6 // the read above, and two reads and three writes of the submit
	return calls + uint64(len(without(m.Parts.All(), current.manifest.Parts.All())))
}

func (f *fleet) resetBytes() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.bytes)
}

// bytesByHost returns the mean and maximum of bytes that the hosts that aren't
// watchers received from peers.
func (f *fleet) bytesByHost() (mean, maximum int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := 0
	for _, host := range f.hosts {
		if host.watcher.Load() {
			continue
		}
		others++
		mean += f.bytes[host.address]
		maximum = max(maximum, f.bytes[host.address])
	}
	return mean / max(others, 1), maximum
}

// The load on the store must depend on the number of watchers, not of hosts,
// and changes must be active in time. Times are virtual.
func TestRolloutCostByFleetSize(t *testing.T) {
	type size struct {
		hosts, watchers int
		delay           time.Duration
	}
	sizes := []size{{7, 6, linkDelay}, {50, 24, linkDelay}, {200, 24, linkDelay}}
	if *fullModel {
		const betweenRegions = 30 * time.Millisecond
		sizes = append(sizes, size{1000, 24, linkDelay}, size{1000, 24, betweenRegions}, size{3400, 24, betweenRegions})
	}
	var costs []rolloutCost
	for _, size := range sizes {
		costs = append(costs, measureRollout(t, size.hosts, size.watchers, size.delay))
	}
	t.Log("hosts watchers link p99 max store-down bytes/host max-bytes calls/change calls/s")
	for _, r := range costs {
		t.Logf("%5d %5d %5s %8s %8s %8s %7d %7d %5d %6.1f", r.hosts, r.watchers, r.delay, r.p99Latency, r.maxLatency, r.maxLatencyStoreDown,
			r.bytesMean, r.bytesMax, r.callsForChange, r.callsPerSecond)
		is := is.New(t)
		is.True(r.maxLatencyStoreDown <= 4*time.Second)
		is.True(r.maxLatency <= 4*time.Second)
		is.True(r.callsPerSecond <= 0.8*float64(r.watchers)) // heartbeats and watches
		is.True(r.callsForChange <= 3*uint64(r.watchers))
	}
	is := is.New(t)
	is.True(costs[0].maxLatency <= time.Second) // seven hosts
	is.True(costs[2].callsPerSecond < costs[1].callsPerSecond*1.2)
}

// A host must not receive much more than the changed part when one route of a
// large bundle changes. Logs the size of the transfer by size of the parts.
func TestTransferSizeByPartSize(t *testing.T) {
	is := is.New(t)
	before, after := largeDocuments(), largeDocuments()
	after.Routes[1234].MinCoverage = 0.5
	whole := 0
	var transfer int
	for _, size := range []int{1 << 30, 64 << 10, 32 << 10, 16 << 10, 8 << 10, 4 << 10, 2 << 10, 512} {
		parts, contents, err := bundle.SplitWithPartSize(before, bundle.Parts{}, size)
		is.NoErr(err)
		next, nextContents, err := bundle.SplitWithPartSize(after, parts, size)
		is.NoErr(err)
		whole = contents.Bytes()
		changed := 0
		for _, hash := range without(next.All(), parts.All()) {
			changed += len(nextContents[hash])
		}
		signed, err := bundle.NewSigned(bundle.Manifest{Generation: 2, Parent: bundle.Ref{Generation: 1}, Author: "ana", Reason: "x", Parts: next})
		is.NoErr(err)
		manifest := len(signed.Payload)
		t.Logf("parts of %10d: %5d parts, manifest %7d + documents %8d = %8d bytes", size, len(next.All()), manifest, changed, manifest+changed)
		if size == 8<<10 {
			transfer = manifest + changed
		}
	}
	t.Logf("whole bundle: %d bytes", whole)
	is.True(transfer < 28_000) // a third of a host's budget of 3 KB/s at a change each 28 s
}

// largeDocuments returns a bundle of the largest supported size: 3,000 routes,
// 1,500 callers and 2,000 services.
func largeDocuments() bundle.Documents {
	docs := testDocuments(3000)
	for i := range 1500 {
		docs.Callers = append(docs.Callers, bundle.Caller{
			Name: fmt.Sprintf("caller-%04d", i), TokenSHA256: fmt.Sprintf("%064x", i+1),
		})
	}
	for i := range 2000 {
		docs.Services = append(docs.Services, bundle.Service{Name: fmt.Sprintf("service-%04d", i), SlotsPerServer: 2, ConnectionsPerServer: 25})
	}
	for i := range docs.Routes {
		for j := range 4 {
			docs.Routes[i].Callers = append(docs.Routes[i].Callers, docs.Callers[1+(i*7+j*13)%1500].Name)
		}
		slices.Sort(docs.Routes[i].Callers)
	}
	return docs
}

// BenchmarkOpenLargeBundle verifies and compiles a large bundle, as a host does
// for each change.
func BenchmarkOpenLargeBundle(b *testing.B) {
	is := is.New(b)
	keys := newKeys(b)
	change, err := bundle.Propose(bundle.Ref{}, bundle.Parts{}, largeDocuments(), bundle.Proposal{Author: "ana", Reason: "x"})
	is.NoErr(err)
	change = change.Sign(keys.ana).Sign(keys.marko)
	b.ReportAllocs()
	for b.Loop() {
		m, err := keys.signers.Verify(change.Signed)
		is.NoErr(err)
		_, _, err = bundle.Open(m, change.Contents)
		is.NoErr(err)
	}
}

// The documents and the compiled configuration of a large bundle must not use
// too much of a host's memory.
func TestLargeBundleMemory(t *testing.T) {
	is := is.New(t)
	docs := largeDocuments()
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	parts, contents, err := bundle.Split(docs, bundle.Parts{})
	is.NoErr(err)
	config, _, err := bundle.Open(bundle.Manifest{Generation: 1, Parts: parts}, contents)
	is.NoErr(err)
	kept := heap() - before
	runtime.KeepAlive(config)
	runtime.KeepAlive(contents)
	runtime.KeepAlive(docs)
	t.Logf("%d bytes of documents: %d bytes of heap kept", contents.Bytes(), kept)
	is.True(kept < 16<<20)
}
