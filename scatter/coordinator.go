package scatter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/goldcrestspan/goldcrestspan/forward"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// Homes finds the home of a service, which runs its legs. It may be the local host.
type Homes interface {
	// Lookup returns the home of the service and the host that takes over when the
	// home is lost; empty when there is none.
	Lookup(service string) (home, fallback ident.HostID)
	// Reserve names the backend server on which another host runs a leg of the service if the
	// host, its home, is lost; empty if no server is known.
	Reserve(service string, host ident.HostID) (server string)
	// Runner returns what runs legs at a host; false when the host is unknown.
	Runner(host ident.HostID) (leg.Runner, bool)
	// Forecast predicts the queue and service time of a leg of the class sent now.
	Forecast(service, class string) leg.Forecast
}

// Counter counts the results of legs for metrics.
type Counter interface {
	Verdict(v Verdict)
	Failover()
	Restart()
}

// QuerySpec is what every leg of a query has in common.
type QuerySpec struct {
	Plan
	Index       string
	Class       string
	Caller      string
	Fingerprint uint64
	Body        []byte
	// MaxServers bounds the backend servers that may run a leg; 0: no bound.
	MaxServers int
	// RetryAfter returns the retry delay of a refusal, by the measured pace of the class; nil
	// if that is not known.
	RetryAfter func(now time.Time) time.Duration
	// Forward is set for a request that is forwarded as its caller sent it.
	Forward *forward.Request
	// Canary is set if the query must run as a canary. It is asked with the service that the
	// query would run on first, and may block for a call to another host.
	Canary func(service string) CanaryPermit
	// End, if not nil, ends the query like its deadline when it is closed: with the parts that it
	// has, and with what is known of the other legs.
	End <-chan struct{}
}

// Coordinator runs queries. Between them it keeps only how many waited for stragglers.
type Coordinator struct {
	// LostLegGrace is how long the open legs of a query continue after it failed
	// because it may have crashed servers; 0: they are cancelled at once. It lets
	// their homes notice crashes whose connections break later than the first.
	// Set it before the first query.
	LostLegGrace time.Duration

	homes   Homes
	counter Counter
	now     func() time.Time
	onHeld  func(service, index string, held []snapshot.Version)

	stragglers *stragglers
}

// NewCoordinator makes a coordinator. onHeld is called with the snapshots that a
// service's backend servers report to hold.
func NewCoordinator(homes Homes, counter Counter, now func() time.Time, onHeld func(service, index string, held []snapshot.Version)) *Coordinator {
	return &Coordinator{homes: homes, counter: counter, now: now, onHeld: onHeld, stragglers: newStragglers()}
}

// run is one running query with its legs.
type run struct {
	c       *Coordinator
	query   *Query
	spec    QuerySpec
	results chan legResult
	cancels []func() // these slices are indexed by shard
	sentTo  []ident.HostID
	// optional marks the shards that the query can do without.
	optional   []bool
	failedOver []bool   // legs that were sent to a second home
	mayHaveRun []bool   // of these, legs that may have run at the lost home
	reserved   []string // servers of the legs whose home may be lost; see Homes.Reserve
	started    time.Time
	timings    []LegTiming
	ended      atomic.Bool
	// canary is the shard whose leg is sent before the others; noCanary if there is none or
	// it has its answer.
	canary int
}

type legResult struct {
	shard  int // index into the shards of the snapshot
	result leg.Result
}

// homesPerLeg is the maximum number of homes that a leg is sent to.
const homesPerLeg = 2

// Run runs the query and returns its answer, at the latest at the final cut-off
// or when ctx or spec.End does, and cancels the legs that are still open.
func (c *Coordinator) Run(ctx context.Context, spec QuerySpec) *Answer {
	shards := spec.Snapshot.Shards
	r := &run{
		c:          c,
		spec:       spec,
		results:    make(chan legResult, homesPerLeg*len(shards)),
		cancels:    make([]func(), len(shards)),
		sentTo:     make([]ident.HostID, len(shards)),
		failedOver: make([]bool, len(shards)),
		mayHaveRun: make([]bool, len(shards)),
		reserved:   make([]string, len(shards)),
		started:    c.now(),
		timings:    make([]LegTiming, len(shards)),
		canary:     noCanary,
	}
	if r.spec.Started.IsZero() {
		r.spec.Started = r.started
	}
	if r.isMultiShard() {
		r.spec.StragglerShare = c.stragglers.share(spec.Class)
	}
	r.query = NewQuery(r.spec.Plan)
	timer := time.NewTimer(r.query.NextCutOff().Sub(r.started))
	defer timer.Stop()
	if r.admit() {
		r.start()
	}
	for r.query.Answer() == nil {
		select {
		case res := <-r.results:
			r.handleResult(res)
		case <-timer.C:
			r.cutOff()
			timer.Reset(r.untilNextCheck())
		case <-r.spec.End:
			r.cancelOpen()
			r.drainResults()
			r.query.Expire()
		case <-ctx.Done():
			r.query.Cancel()
		}
	}
	r.ended.Store(true)
	answer := r.query.Answer()
	if c.LostLegGrace > 0 && mayHaveCrashedServers(answer) {
		time.AfterFunc(c.LostLegGrace, r.cancelOpen)
	} else {
		r.cancelOpen()
	}
	answer.Legs = r.legTimings()
	r.recordStragglers(answer)
	return answer
}

// recordStragglers records whether the query waited for shards until its soft cut-off. A
// query that was refused or ended by its caller says nothing.
func (r *run) recordStragglers(answer *Answer) {
	if r.spec.SoftDeadline.IsZero() || !r.isMultiShard() || len(answer.Parts) == 0 {
		return
	}
	r.c.stragglers.record(r.spec.Class, r.query.pastSoftCutOff)
}

// mayHaveCrashedServers reports whether the query has no part of an answer, and
// legs that were lost or refused as suspects of a crash.
func mayHaveCrashedServers(answer *Answer) bool {
	if len(answer.Parts) > 0 {
		return false
	}
	for _, m := range answer.Missing {
		switch m.Code {
		case result.OutcomeNotKnown, result.Suspected, result.Quarantined:
			return true
		}
	}
	return false
}

// LongestForecast returns the longest queueing and service time that is forecast for a leg of the
// query; zero if none is known.
func (c *Coordinator) LongestForecast(spec *QuerySpec) (longest time.Duration) {
	for _, shard := range spec.Snapshot.Shards {
		forecast := c.homes.Forecast(shard.Service, spec.Class)
		longest = max(longest, forecast.QueueTime+forecast.ServiceTime)
	}
	return longest
}

// cutOff ends the query if it is time to. At the final cut-off the open legs are
// cancelled first and their results taken in, since a local home can then say
// that a leg has not run. Otherwise the customer of a booking that only waited
// for a slot would be told that it may have run, and could not book again.
func (r *run) cutOff() {
	now := r.c.now()
	if !now.Before(FinalCutOff(r.spec.Plan)) {
		r.cancelOpen()
		r.drainResults()
	}
	r.query.CutOff(now)
	if r.query.PastSoftCutOff() && r.isMultiShard() {
		r.query.EndIfUnreachable(r.countUnresponsiveShards())
	}
}

// isMultiShard reports whether the query has several shards. Only such a query
// is refused or ended early because of the state of its services: a request to
// one service holds no other slots while it waits, and may not be repeatable.
func (r *run) isMultiShard() bool { return len(r.spec.Snapshot.Shards) > 1 }

// lateCheckInterval is how often a query past its soft deadline checks whether
// its minimum coverage can still be reached.
const lateCheckInterval = 100 * time.Millisecond

// untilNextCheck is how long until cutOff is due again.
func (r *run) untilNextCheck() time.Duration {
	next := r.query.NextCutOff().Sub(r.c.now())
	if r.query.PastSoftCutOff() {
		next = min(next, lateCheckInterval)
	}
	return next
}

// drainResults handles the results that have arrived already.
func (r *run) drainResults() {
	for r.query.Answer() == nil {
		select {
		case res := <-r.results:
			if res.result.Code == result.Cancelled && res.result.Outcome.NotRun() {
				res.result.Code = result.DeadlineUnmeetable
				res.result.Detail = "no server took it in time"
			}
			r.handleResult(res)
		default:
			return
		}
	}
}

// start sends the canary's leg, or all legs if the query has no canary.
func (r *run) start() {
	if r.spec.Canary != nil {
		r.startCanary()
		return
	}
	r.sendAllExcept(noCanary)
}

func (r *run) sendAllExcept(shard int) {
	for i := range r.spec.Snapshot.Shards {
		if i != shard {
			r.sendHome(i)
		}
	}
}

func (r *run) sendHome(i int) {
	home, _ := r.c.homes.Lookup(r.spec.Snapshot.Shards[i].Service)
	r.send(i, home)
}

func (r *run) send(i int, host ident.HostID) {
	if !r.failedOver[i] && r.maxServers(i) != 1 {
		r.reserved[i] = r.c.homes.Reserve(r.spec.Snapshot.Shards[i].Service, host)
	}
	request := r.request(i)
	if r.mayHaveRun[i] {
		request.FailedHome = r.sentTo[i]
	}
	r.sentTo[i] = host
	runner, ok := r.c.homes.Runner(host)
	if !ok {
		r.results <- legResult{i, leg.Failed(request, result.HomeUnavailable, result.OutcomeUnsent, "no home for the service")}
		return
	}
	r.cancels[i] = runner.Run(request, func(res leg.Result) { r.deliver(i, res) })
}

// deliver is called by runners, on their goroutines. The channel has room for
// all results, so it never blocks.
func (r *run) deliver(i int, res leg.Result) {
	if r.ended.Load() {
		r.c.counter.Verdict(VerdictLate)
		return
	}
	r.results <- legResult{i, res}
}

func (r *run) request(i int) leg.Request {
	shard := r.spec.Snapshot.Shards[i]
	return leg.Request{
		Request:        r.spec.Request,
		Service:        shard.Service,
		Index:          r.spec.Index,
		Shard:          shard.ID,
		Snapshot:       r.spec.Snapshot.Version,
		Class:          r.spec.Class,
		Caller:         r.spec.Caller,
		Deadline:       r.legDeadline(),
		Idempotent:     r.spec.Idempotent,
		Fingerprint:    r.spec.Fingerprint,
		Body:           r.spec.Body,
		SoftDeadline:   r.softCutOff(),
		Optional:       r.optional != nil && r.optional[i],
		MaxServers:     r.maxServers(i),
		ReservedServer: r.reserved[i],
		Forward:        r.spec.Forward,
	}
}

// legDeadline is when a leg's result becomes useless: for a forwarded request at
// its final cut-off, so that no server works on it any longer.
func (r *run) legDeadline() time.Time {
	if r.spec.Forward == nil {
		return r.spec.Deadline
	}
	return FinalCutOff(r.spec.Plan)
}

// softCutOff is when a leg's result must arrive for the answer to be in time.
func (r *run) softCutOff() time.Time {
	if r.spec.SoftDeadline.IsZero() {
		return time.Time{}
	}
	return SoftCutOff(r.spec.Plan)
}

func (r *run) handleResult(res legResult) {
	r.timings[res.shard].Time = r.c.now().Sub(r.started)
	r.timings[res.shard].QueueTime = res.result.QueueTime
	if len(res.result.HeldSnapshots) > 0 {
		r.c.onHeld(r.spec.Snapshot.Shards[res.shard].Service, r.spec.Index, res.result.HeldSnapshots)
	}
	if r.failOver(res) {
		return
	}
	if r.mayHaveRun[res.shard] && res.result.Outcome.NotRun() {
		// The leg may have run at its home before that was lost, so a "not run"
		// from the second home does not hold for the whole leg.
		res.result.Outcome = result.OutcomeUnknown
	}
	if res.shard == r.canary {
		r.endCanary(res.result)
	}
	r.c.counter.Verdict(r.query.AddResult(res.result))
}

// legTimings completes the timings: a leg without a result took at least until now.
func (r *run) legTimings() []LegTiming {
	elapsed := r.c.now().Sub(r.started)
	for i := range r.timings {
		t := &r.timings[i]
		t.Service = r.spec.Snapshot.Shards[i].Service
		if t.Time == 0 {
			*t = LegTiming{Service: t.Service, Time: elapsed, QueueTime: leg.UnknownQueueTime, TimedOut: true}
		}
	}
	return r.timings
}

// cancelOpen cancels the open legs; it has no effect on a leg that has ended.
func (r *run) cancelOpen() {
	for _, cancel := range r.cancels {
		if cancel != nil {
			cancel()
		}
	}
}
