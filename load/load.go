// Package load runs load tests against entry hosts over loopback sockets:
// open-loop Poisson arrivals of several classes from unevenly active callers,
// with bookings and a timeline of faults. It compares every answer with what the
// backend server stand-ins ran, and reports latency, coverage and extra backend
// load, optionally beside callers that fan out directly.
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

// Options configure a run.
type Options struct {
	Shape Shape
	Hosts int
	// Utilization is the intended utilization of the backend servers' slots, 0 to 1.
	Utilization float64
	// Scale multiplies service times and deadlines and divides the arrival rate.
	Scale    float64
	Duration time.Duration
	Warmup   time.Duration // excluded from the figures, not from the checks
	Seed     uint64
	Events   []Event
	// RunTier and RunDirect select the sides to run.
	RunTier, RunDirect bool
	Policy             bundle.Policy
	// Progress receives a line each second; nil disables it.
	Progress io.Writer
	Logger   *zap.Logger
}

const (
	// settleDelay lets work at backend servers end after the last reply.
	settleDelay = 500 * time.Millisecond
	// maxInFlight limits the requests in flight on one side; above it the run
	// would measure the load generator. Further arrivals are dropped.
	maxInFlight = 20000
	// directQueueLimit is the servers' queue limit for direct callers; their
	// shares of the connection limit keep them below it.
	directQueueLimit = 128
	// sampleInterval separates two reads of the hosts' generations.
	sampleInterval = 50 * time.Millisecond
	// adviceTTL is short enough for planned stops to end within a run.
	adviceTTL = 2 * time.Second
)

// ViolationError reports that a checked promise was broken; the report names the
// requests.
type ViolationError struct{ Count int }

// Error implements error.
func (e *ViolationError) Error() string { return fmt.Sprintf("%d promises broken", e.Count) }

// run is the state of one run.
type run struct {
	options     Options
	shape       Shape // scaled
	cluster     *testbed.Cluster
	checker     *testbed.Checker
	tier        *tier
	sides       []*sideRun
	injector    *injector
	start       time.Time
	senderDelay *stats // delays of the sender itself
	work        sync.WaitGroup
}

// sideRun is one side with its cluster and statistics.
type sideRun struct {
	name     string
	side     side
	cluster  *testbed.Cluster
	stats    *stats
	inFlight atomic.Int64
	dropped  atomic.Int64
}

// Run performs a run and returns its report. If a checked promise was broken, it
// returns the complete report and a *ViolationError.
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
	report := r.execute(ctx)
	if len(report.Violations) > 0 {
		return report, &ViolationError{Count: len(report.Violations)}
	}
	return report, nil
}

func (r *run) open(ctx context.Context) error {
	if !r.options.RunTier && !r.options.RunDirect {
		return errors.New("load: neither RunTier nor RunDirect is set")
	}
	if err := checkEvents(r.options.Events, r.shape, r.shape.serverNames()); err != nil {
		return err
	}
	if r.options.RunTier {
		if err := r.openTier(ctx); err != nil {
			return err
		}
	}
	if r.options.RunDirect {
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

func (r *run) startCluster(ctx context.Context, hosts, queueLimit int) (*testbed.Cluster, error) {
	policy := r.options.Policy
	if policy.AdviceTTL == 0 {
		policy.AdviceTTL = bundle.Duration(adviceTTL)
	}
	groups := append([]testbed.ServiceGroup(nil), r.shape.Groups...)
	for i := range groups {
		groups[i].QueueLimit = queueLimit
	}
	cluster, err := testbed.Start(ctx, testbed.Config{
		Groups:          groups,
		Hosts:           hosts,
		Documents:       r.shape.documents(policy),
		ManualSnapshots: true,
		CrashMarker:     crashMarker,
		Seed:            r.options.Seed,
		Logger:          r.options.Logger,
		ModifySettings:  func(s *settings.Settings) { s.Limits.StopTimeout = r.shape.maxTimeout() },
	})
	return cluster, errors.Wrap(err, "load")
}

func (r *run) openTier(ctx context.Context) error {
	cluster, err := r.startCluster(ctx, r.options.Hosts, 0)
	if err != nil {
		return err
	}
	r.cluster = cluster
	r.checker = testbed.NewChecker(cluster.Record, cluster.ShardCount)
	r.tier, err = newTier(r.shape, cluster, r.checker)
	if err != nil {
		return err
	}
	r.sides = append(r.sides, &sideRun{name: sideTier, side: r.tier, cluster: cluster})
	return nil
}

func (r *run) openDirect(ctx context.Context) error {
	cluster, err := r.startCluster(ctx, 0, directQueueLimit)
	if err != nil {
		return err
	}
	r.sides = append(r.sides, &sideRun{name: sideDirect, side: newDirect(r.shape, cluster), cluster: cluster})
	return nil
}

// close stops the sides and their clusters.
func (r *run) close() {
	for _, s := range r.sides {
		if c, ok := s.side.(interface{ close() }); ok {
			c.close()
		}
		s.cluster.Close()
	}
}

// execute sends all requests, waits for the last reply and builds the report.
func (r *run) execute(ctx context.Context) *Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cpuBefore := cpuTime()
	r.start = time.Now()
	r.senderDelay = newStats(r.start, 0)
	for _, s := range r.sides {
		s.stats = newStats(r.start, r.options.Warmup)
	}
	r.startInjector(ctx)
	go r.progress(ctx)
	go r.observeGenerations(ctx)
	newArrivals(r.shape, r.options.Utilization, r.options.Seed).run(ctx, r.start, r.options.Duration, r.send)
	r.work.Wait()
	cpuUsed := cpuTime() - cpuBefore
	time.Sleep(settleDelay)
	cancel()
	r.injector.work.Wait()
	return r.report(cpuUsed)
}

func (r *run) startInjector(ctx context.Context) {
	r.injector = &injector{
		cluster:       r.cluster,
		checker:       r.checker,
		tier:          r.tier,
		start:         r.start,
		printLine:     func(line string) { fmt.Fprintln(r.options.Progress, line) },
		versions:      make(map[string]snapshot.Version),
		poisonDigests: make(map[string]bool),
	}
	for _, s := range r.sides {
		r.injector.clusters = append(r.injector.clusters, s.cluster)
	}
	r.injector.run(ctx, r.options.Events)
}

// send sends one arrival to every side at the same time.
func (r *run) send(q request) {
	r.senderDelay.add(q, outcome{took: time.Since(q.intended)})
	for _, s := range r.sides {
		if s.inFlight.Add(1) > maxInFlight {
			s.inFlight.Add(-1)
			s.dropped.Add(1)
			continue
		}
		r.work.Go(func() {
			defer s.inFlight.Add(-1)
			s.stats.add(q, s.side.send(context.Background(), q))
		})
	}
}

// progress writes a line each second.
func (r *run) progress(ctx context.Context) {
	for {
		wait.For(ctx, time.Second)
		if ctx.Err() != nil {
			return
		}
		line := fmt.Sprintf("%5.1f s", time.Since(r.start).Seconds())
		for _, s := range r.sides {
			finished, answered := s.stats.counts()
			line += fmt.Sprintf("  %s: %d requests finished, %d answered, %d in flight", s.name, finished, answered, s.inFlight.Load())
		}
		fmt.Fprintln(r.options.Progress, line)
	}
}

// observeGenerations feeds the hosts' generations to the checker, which requires
// that they never decrease.
func (r *run) observeGenerations(ctx context.Context) {
	if r.cluster == nil {
		return
	}
	for ctx.Err() == nil {
		for _, host := range r.cluster.Hosts() {
			status := host.Status()
			r.checker.ObserveGeneration(fmt.Sprintf("%s/%d", status.Host, status.Incarnation), status.Generation)
		}
		wait.For(ctx, sampleInterval)
	}
}
