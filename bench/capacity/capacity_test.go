package capacity

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestspan/goldcrestspan/exchange"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/peer"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// BenchmarkRootQuery measures the processing of one query at its entry host.
func BenchmarkRootQuery(b *testing.B) {
	id := ident.NewRequestID()
	plan := scatter.Plan{Request: id, Snapshot: Snapshot(), MinCoverage: 1, Idempotent: true}
	results := Results(id)
	b.ReportAllocs()
	for b.Loop() {
		if !RunQuery(plan, results) {
			b.Fatal("the answer is not complete")
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/Shards, "ns/leg")
}

// BenchmarkHomeLeg measures the processing of one leg at its home from submission
// to answer, with four legs running and the rest of the batch waiting.
func BenchmarkHomeLeg(b *testing.B) {
	for _, batch := range []int{4, 64, 1024} {
		b.Run(sizeName(batch), func(b *testing.B) { benchmarkHomeLegs(b, batch) })
	}
}

func sizeName(batch int) string {
	return map[int]string{4: "idle", 64: "60waiting", 1024: "1020waiting"}[batch]
}

func benchmarkHomeLegs(b *testing.B, batch int) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := NewHome(now)
	var running []ident.AttemptID
	collectStarted := func(actions []home.Action) {
		for _, action := range actions {
			if action.Kind == home.ActionStart {
				running = append(running, action.Attempt)
			}
		}
	}
	var id home.LegID
	var actions []home.Action
	submit := func() {
		id++
		actions = h.Submit(now, home.Leg{ID: id, Deadline: now.Add(time.Minute), Idempotent: true, Bytes: 64}, actions[:0])
		collectStarted(actions)
	}
	for range batch - 1 {
		submit()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		submit()
		first := running[0]
		running = append(running[:0], running[1:]...)
		actions = h.Finish(now, first, home.AttemptResult{Outcome: result.OutcomeRan}, actions[:0])
		collectStarted(actions)
	}
}

// fixedRunner answers each leg immediately with a fixed body.
type fixedRunner struct{ body []byte }

func (f fixedRunner) Run(request leg.Request, done func(leg.Result)) func() {
	done(leg.Result{
		Request: request.Request, Shard: request.Shard, Snapshot: request.Snapshot,
		Outcome: result.OutcomeRan, Body: f.body, Digest: leg.Digest(f.body), Attempts: 1,
	})
	return func() {}
}

// BenchmarkExchangeLeg measures the CPU time of both hosts together for one leg over
// loopback, with 64 concurrent legs on one stream.
func BenchmarkExchangeLeg(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := peer.NewServer()
	if err := exchange.NewServer(fixedRunner{make([]byte, BodyBytes)}, time.Now).Register(server.Mux()); err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(ctx, listener) }()
	pool := peer.NewPool(nil)
	defer func() { _ = pool.Close() }()
	client := exchange.NewClient(ctx, pool, "root", 1, time.Now)
	runner := client.To(listener.Addr().String())
	request := leg.Request{
		Request: ident.NewRequestID(), Service: "booking-desk-00", Index: "slots", Snapshot: 1,
		Class: "interactive", Caller: "plakatna", Deadline: time.Now().Add(time.Hour), Idempotent: true,
		Body: []byte("spring campaign, shelter 12, week 14"),
	}
	semaphore := make(chan struct{}, 64)
	var group sync.WaitGroup
	cpuBefore := cpuTime()
	b.ResetTimer()
	for b.Loop() {
		semaphore <- struct{}{}
		group.Add(1)
		runner.Run(request, func(r leg.Result) {
			if !r.HasAnswer() {
				b.Error("no answer")
			}
			<-semaphore
			group.Done()
		})
	}
	group.Wait()
	b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(b.N), "cpu-ns/leg")
}

// cpuTime returns the CPU time of this process in nanoseconds.
func cpuTime() int64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return usage.Utime.Nano() + usage.Stime.Nano()
}
