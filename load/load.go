// Package load drives real entry hosts over loopback sockets with the users'
// shapes: open-loop Poisson arrivals, a class mix, uneven callers, bookings and
// faults on a timeline. It compares every answer with what the backend server
// stand-ins ran, and reports latency, coverage and extra backend load, side by
// side with callers that fan out directly.
package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/internal/wait"
	"github.com/goldcrestspan/goldcrestspan/settings"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// Options of a run.
type Options struct {
	Shape Shape
	Hosts int
	// Share is the share of all slots that the arrivals use.
	Share float64
	// Scale multiplies service times and deadlines; arrivals slow down by it.
	Scale  float64
	For    time.Duration
	Warmup time.Duration // left out of the figures, not of the checks
	Seed   uint64
	Events []Event
	// Tier and Direct say which sides run.
	Tier, Direct bool
	Policy       bundle.Policy
	// Progress takes a line a second; nil: none.
	Progress io.Writer
	Logger   *zap.Logger
}

const (
	// settleAfter is how long work may still be under way after the last reply.
	settleAfter = 500 * time.Millisecond
	// maxInFlight bounds the requests under way on one side: beyond it the
	// machine, not the system, is what is measured.
	maxInFlight = 20000
	// directQueue is the servers' own queue for direct callers; with the
	// connection limit shared out among them it never overflows.
	directQueue = 128
	// sampleEvery is the pace of the looks at the hosts' generations.
	sampleEvery = 50 * time.Millisecond
	// adviceFor is short, so that planned stops fit into a run.
	adviceFor = 2 * time.Second
)

// ViolationError says that promises were broken; the report names the requests.
type ViolationError struct{ Count int }

// Error counts the broken promises.
func (e *ViolationError) Error() string { return fmt.Sprintf("%d promises broken", e.Count) }

// run is one run under way.
type run struct {
	options  Options
	shape    Shape // scaled
	bed      *testbed.Cluster
	checker  *testbed.Checker
	tier     *tier
	sides    []*lane
	injector *injector
	start    time.Time
	sending  *tally // lateness of the sender itself, in its only row
	work     sync.WaitGroup
}

// lane is one side with its bed and figures.
type lane struct {
	name     string
	side     side
	bed      *testbed.Cluster
	tally    *tally
	inFlight atomic.Int64
	dropped  atomic.Int64
}

// Run carries out a run and reports it. The error is *ViolationError if a promise
// was broken; the report is complete then too.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Scale <= 0 {
		options.Scale = 1
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	r := &run{options: options, shape: options.Shape.scaled(options.Scale)}
	defer r.close()
	if err := r.open(ctx); err != nil {
		return nil, err
	}
	report := r.drive(ctx)
	if len(report.Violations) > 0 {
		return report, &ViolationError{Count: len(report.Violations)}
	}
	return report, nil
}

func (r *run) open(ctx context.Context) error {
	if !r.options.Tier && !r.options.Direct {
		return errors.New("load: neither side is to run")
	}
	if err := checkEvents(r.options.Events, r.shape, r.shape.serverNames()); err != nil {
		return err
	}
	if r.options.Tier {
		if err := r.openTier(ctx); err != nil {
			return err
		}
	}
	if r.options.Direct {
		return r.openDirect(ctx)
	}
	return nil
}

func (s Shape) serverNames() []string {
	var names []string
	for _, group := range s.Groups {
		for i := range group.Services {
			for j := range group.Servers {
				names = append(names, serverName(group.Index, i, j))
			}
		}
	}
	return names
}

func (r *run) startBed(ctx context.Context, hosts, queue int) (*testbed.Cluster, error) {
	policy := r.options.Policy
	if policy.AdviceTTL == 0 {
		policy.AdviceTTL = bundle.Duration(adviceFor)
	}
	groups := append([]testbed.ServiceGroup(nil), r.shape.Groups...)
	for i := range groups {
		groups[i].QueueLimit = queue
	}
	bed, err := testbed.Start(ctx, testbed.Config{
		Groups:          groups,
		Hosts:           hosts,
		Documents:       r.shape.documents(policy),
		ManualSnapshots: true,
		CrashMarker:     crashMarker,
		Seed:            r.options.Seed,
		Logger:          r.options.Logger,
		ModifySettings:  func(s *settings.Settings) { s.Limits.StopTimeout = r.shape.longestWait() },
	})
	return bed, errors.Wrap(err, "load")
}

func (r *run) openTier(ctx context.Context) error {
	bed, err := r.startBed(ctx, r.options.Hosts, 0)
	if err != nil {
		return err
	}
	r.bed = bed
	r.checker = testbed.NewChecker(bed.Record, bed.ShardCount)
	r.tier, err = newTier(r.shape, bed, r.checker)
	if err != nil {
		return err
	}
	r.sides = append(r.sides, &lane{name: sideTier, side: r.tier, bed: bed})
	return nil
}

func (r *run) openDirect(ctx context.Context) error {
	bed, err := r.startBed(ctx, 0, directQueue)
	if err != nil {
		return err
	}
	r.sides = append(r.sides, &lane{name: sideDirect, side: newDirect(r.shape, bed), bed: bed})
	return nil
}

func (r *run) close() {
	for _, lane := range r.sides {
		if c, ok := lane.side.(interface{ close() }); ok {
			c.close()
		}
		lane.bed.Close()
	}
}

// drive sends everything, waits for the last reply and makes the report.
func (r *run) drive(ctx context.Context) *Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := processorTime()
	r.start = time.Now()
	r.sending = newTally(r.start, 0)
	for _, lane := range r.sides {
		lane.tally = newTally(r.start, r.options.Warmup)
	}
	r.inject(ctx)
	go r.progress(ctx)
	go r.sample(ctx)
	newArrivals(r.shape, r.options.Share, r.options.Seed).run(ctx, r.start, r.options.For, r.send)
	r.work.Wait()
	used := processorTime() - before
	time.Sleep(settleAfter)
	cancel()
	r.injector.work.Wait()
	return r.report(used)
}

func (r *run) inject(ctx context.Context) {
	r.injector = &injector{
		bed:      r.bed,
		checker:  r.checker,
		tier:     r.tier,
		start:    r.start,
		say:      func(line string) { fmt.Fprintln(r.options.Progress, line) },
		versions: make(map[string]snapshot.Version),
		poisons:  make(map[string]bool),
	}
	for _, lane := range r.sides {
		r.injector.beds = append(r.injector.beds, lane.bed)
	}
	r.injector.run(ctx, r.options.Events)
}

// send hands one arrival to every side at the same time.
func (r *run) send(q request) {
	r.sending.add(q, outcome{took: time.Since(q.intended)})
	for _, lane := range r.sides {
		if lane.inFlight.Add(1) > maxInFlight {
			lane.inFlight.Add(-1)
			lane.dropped.Add(1)
			continue
		}
		r.work.Go(func() {
			defer lane.inFlight.Add(-1)
			lane.tally.add(q, lane.side.send(context.Background(), q))
		})
	}
}

// progress writes a line a second.
func (r *run) progress(ctx context.Context) {
	for {
		wait.For(ctx, time.Second)
		if ctx.Err() != nil {
			return
		}
		line := fmt.Sprintf("%5.1f s", time.Since(r.start).Seconds())
		for _, lane := range r.sides {
			requests, answers := lane.tally.counts()
			line += fmt.Sprintf("  %s: %d replies, %d answers, %d in flight", lane.name, requests, answers, lane.inFlight.Load())
		}
		fmt.Fprintln(r.options.Progress, line)
	}
}

// sample looks at the hosts' generations, which may only rise.
func (r *run) sample(ctx context.Context) {
	if r.bed == nil {
		return
	}
	for ctx.Err() == nil {
		for _, host := range r.bed.Hosts() {
			status := host.Status()
			r.checker.ObserveGeneration(fmt.Sprintf("%s/%d", status.Host, status.Incarnation), status.Generation)
		}
		wait.For(ctx, sampleEvery)
	}
}
