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

// rolloutFigures is what one change costs a fleet, and what rest costs.
type rolloutFigures struct {
	hosts, watchers int
	slowest, last   time.Duration // in force on 99 in 100 hosts, and on the last
	bytesMean       int           // received by a host for the change
	bytesMost       int
	callsForChange  uint64 // of the whole fleet to the store, beside those at rest
	callsPerSecond  float64
	storeDown       time.Duration // the same as last, with the store down after acceptance
	delay           time.Duration
}

// settleTime lets a fleet come to rest after a change.
const settleTime = 20 * time.Second

func measureFleet(t *testing.T, hosts, watchers int, delay time.Duration) rolloutFigures {
	const routes = 200
	figures := rolloutFigures{hosts: hosts, watchers: watchers, delay: delay}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts, watchers)
		f.delay = delay
		first := f.accept(testDocuments(routes), "first")
		f.startAll()
		defer f.stopAll()
		f.within(2*time.Minute, first, hosts)
		time.Sleep(settleTime)

		const rest = 100 * time.Second
		before := f.store.Calls().Total()
		time.Sleep(rest)
		atRest := f.store.Calls().Total() - before
		figures.callsPerSecond = float64(atRest) / rest.Seconds()

		f.resetBytes()
		change := f.change(routes-1, "one route")
		before = f.store.Calls().Total() + f.writesOf(change)
		receipt, err := f.submit(change)
		is.New(t).NoErr(err)
		started := time.Now()
		figures.slowest = f.within(10*time.Second, receipt.Ref, hosts-hosts/100)
		f.within(10*time.Second, receipt.Ref, hosts)
		figures.last = time.Since(started)
		time.Sleep(rest)
		if used := f.store.Calls().Total() - before; used > atRest {
			figures.callsForChange = used - atRest
		}
		figures.bytesMean, figures.bytesMost = f.bytesByHost()

		receipt, err = f.submit(f.change(routes-2, "another"))
		is.New(t).NoErr(err)
		synctest.Wait()
		f.store.SetFaults(standin.PlatformFaults{Down: true})
		figures.storeDown = f.within(4*time.Second, receipt.Ref, hosts)
	})
	return figures
}

// writesOf is the calls of a submit itself: documents, history, head and ref,
// and the reads.
func (f *fleet) writesOf(change bundle.Change) uint64 {
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

// bytesByHost is what hosts that are no watchers received from peers.
func (f *fleet) bytesByHost() (mean, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := 0
	for _, host := range f.hosts {
		if host.watcher.Load() {
			continue
		}
		others++
		mean += f.bytes[host.address]
		most = max(most, f.bytes[host.address])
	}
	return mean / max(others, 1), most
}

// The fleet grows and the store must not notice: only watchers call it. The
// bounds are virtual time and counts, so they hold on any machine.
func TestCostOfAChangeByFleetSize(t *testing.T) {
	type size struct {
		hosts, watchers int
		delay           time.Duration
	}
	sizes := []size{{7, 6, linkDelay}, {50, 24, linkDelay}, {200, 24, linkDelay}}
	if *fullModel {
		const betweenRegions = 30 * time.Millisecond
		sizes = append(sizes, size{1000, 24, linkDelay}, size{1000, 24, betweenRegions}, size{3400, 24, betweenRegions})
	}
	var all []rolloutFigures
	for _, size := range sizes {
		all = append(all, measureFleet(t, size.hosts, size.watchers, size.delay))
	}
	t.Log("hosts watchers link p99 last store-down bytes/host most calls/change calls/s")
	for _, r := range all {
		t.Logf("%5d %5d %5s %8s %8s %8s %7d %7d %5d %6.1f", r.hosts, r.watchers, r.delay, r.slowest, r.last, r.storeDown,
			r.bytesMean, r.bytesMost, r.callsForChange, r.callsPerSecond)
		is := is.New(t)
		is.True(r.storeDown <= 4*time.Second)
		is.True(r.last <= 4*time.Second)
		is.True(r.callsPerSecond <= 0.8*float64(r.watchers)) // a heartbeat each 1.5 s and a watch each 25 s
		is.True(r.callsForChange <= 3*uint64(r.watchers))
	}
	is := is.New(t)
	is.True(all[0].last <= time.Second) // seven hosts
	is.True(all[2].callsPerSecond < all[1].callsPerSecond*1.2)
}

// A change of one route in a bundle of the target's size, by size of the
// parts: what a host receives for it must fit in a part of 3 KB/s at one
// change each 28 s, 84 KB.
func TestBytesOfAChangeByPartSize(t *testing.T) {
	is := is.New(t)
	before, after := targetDocuments(), targetDocuments()
	after.Routes[1234].MinCoverage = 0.5
	whole := 0
	var chosen int
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
			chosen = manifest + changed
		}
	}
	t.Logf("whole bundle: %d bytes", whole)
	is.True(chosen < 28_000) // a third of what a host may spend
}

// targetDocuments is a bundle of the size that the target asks for: 3,000
// routes, 1,500 callers, 2,000 services.
func targetDocuments() bundle.Documents {
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

// BenchmarkOpenTarget is what a host does for each change of a bundle of the
// target's size: check the sign-offs, the documents and compile them.
func BenchmarkOpenTarget(b *testing.B) {
	is := is.New(b)
	people := newPeople(b)
	change, err := bundle.Propose(bundle.Ref{}, bundle.Parts{}, targetDocuments(), bundle.Proposal{Author: "ana", Reason: "x"})
	is.NoErr(err)
	change = change.Sign(people.ana).Sign(people.marko)
	b.ReportAllocs()
	for b.Loop() {
		m, err := people.signers.Verify(change.Signed)
		is.NoErr(err)
		_, _, err = bundle.Open(m, change.Contents)
		is.NoErr(err)
	}
}

// A host keeps the documents, to serve its peers, and the compiled
// configuration. Both must fit well within the 64 MB for all of control.
func TestMemoryOfATargetBundle(t *testing.T) {
	is := is.New(t)
	docs := targetDocuments()
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
