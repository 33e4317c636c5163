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

// Homes tells where legs run. Both answers may be the local host.
type Homes interface {
	// Lookup returns the home of the service and the host that takes over when
	// the home is lost; second is empty when there is none.
	Lookup(service string) (first, second ident.HostID)
	// Runner returns the way to a host; false when it isn't known any more.
	Runner(host ident.HostID) (leg.Runner, bool)
	// Forecast says how a leg of the class sent now would fare at the service.
	Forecast(service, class string) leg.Forecast
}

// Counter counts what became of the legs' results; the observe slice gives one.
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
	// Forward is set for a request that is passed on as its caller sent it.
	Forward *forward.Request
}

// Coordinator runs queries. It holds no state between them.
type Coordinator struct {
	// LostLegGrace is how long the open legs of a query go on that failed for legs that were
	// lost, or refused as those of a request that may crash servers; 0: they are cancelled
	// at once. Set it before the first query.
	//
	// Failure: a request crashes a server of each of its services. The first legs that
	// are lost or refused end the query, the others are cancelled a moment before their
	// connections break, and their homes never ask whether these servers live. It shows
	// as a request that is sent again and crashes two more servers there before the
	// restart tells. The guard holds because the break arrives while the attempt is open.
	LostLegGrace time.Duration

	homes   Homes
	counter Counter
	now     func() time.Time
	learn   func(service, index string, held []snapshot.Version)
}

// NewCoordinator makes a coordinator. learn is told which snapshots a
// service's backend servers say that they hold.
func NewCoordinator(homes Homes, counter Counter, now func() time.Time, learn func(service, index string, held []snapshot.Version)) *Coordinator {
	return &Coordinator{homes: homes, counter: counter, now: now, learn: learn}
}

// run is one query under way: its state and its legs' cancel functions.
type run struct {
	c       *Coordinator
	query   *Query
	work    QuerySpec
	results chan arrival
	cancels []func()
	sentTo  []ident.HostID
	// optional shards are those that the query does without, see admission.go.
	optional []bool
	moved    []bool // legs that went to the second home
	maybe    []bool // of these, legs that may have run at the first
	started  time.Time
	times    []LegTiming
	ended    atomic.Bool
}

type arrival struct {
	position int
	result   leg.Result
}

// homesPerLeg is how many homes a leg is sent to at most.
const homesPerLeg = 2

// Run runs the query and returns its one answer, at the latest at the cut-off
// time or when ctx ends. Legs that are still under way are cancelled then.
func (c *Coordinator) Run(ctx context.Context, work QuerySpec) *Answer {
	shards := work.Snapshot.Shards
	r := &run{
		c:       c,
		work:    work,
		results: make(chan arrival, homesPerLeg*len(shards)),
		cancels: make([]func(), len(shards)),
		sentTo:  make([]ident.HostID, len(shards)),
		moved:   make([]bool, len(shards)),
		maybe:   make([]bool, len(shards)),
		started: c.now(),
		times:   make([]LegTiming, len(shards)),
	}
	if r.work.Started.IsZero() {
		r.work.Started = r.started
	}
	r.query = NewQuery(r.work.Plan)
	timer := time.NewTimer(r.query.NextCutOff().Sub(r.started))
	defer timer.Stop()
	if r.admit() {
		r.sendAll()
	}
	for r.query.Answer() == nil {
		select {
		case a := <-r.results:
			r.take(a)
		case <-timer.C:
			r.cutOff()
			timer.Reset(r.nextLook())
		case <-ctx.Done():
			r.query.Abandon()
		}
	}
	r.ended.Store(true)
	answer := r.query.Answer()
	if c.LostLegGrace > 0 && mayCrash(answer) {
		time.AfterFunc(c.LostLegGrace, r.cancelRest)
	} else {
		r.cancelRest()
	}
	answer.Legs = r.legTimes()
	return answer
}

// mayCrash reports whether the query has no part of an answer, and legs that were lost
// without a word or refused since the request may crash servers.
func mayCrash(answer *Answer) bool {
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

// cutOff ends the query if it is time to. At the final cut-off the open legs are
// cancelled first, and what their homes say of them is taken in.
//
// Failure: a booking waits for a slot until its deadline and never gets one. Its
// customer would be told that it may have run, and can't book again. The guard
// holds because a local home answers a cancel at once, and says "not run" only
// of a leg that no server has or had.
func (r *run) cutOff() {
	now := r.c.now()
	if !now.Before(FinalCutOff(r.work.Plan)) {
		r.cancelRest()
		r.takeWaiting()
	}
	r.query.CutOff(now)
	if r.query.Late() && r.asksMany() {
		r.query.GiveUp(r.silentShards())
	}
}

// asksMany reports whether the query is one over several shards. What is decided
// from the state of services holds for these only: a request to one service takes
// nothing from others while it waits, may take its whole time, and may not run
// twice, so that its end before an answer costs its caller the most.
func (r *run) asksMany() bool { return len(r.work.Snapshot.Shards) > 1 }

// lateCheck is how often a query that is past its target looks whether its least
// coverage can still be had.
const lateCheck = 100 * time.Millisecond

// nextLook is how long until cutOff is due again.
func (r *run) nextLook() time.Duration {
	next := r.query.NextCutOff().Sub(r.c.now())
	if r.query.Late() {
		next = min(next, lateCheck)
	}
	return next
}

// takeWaiting takes in the results that have come already.
func (r *run) takeWaiting() {
	for r.query.Answer() == nil {
		select {
		case a := <-r.results:
			if a.result.Code == result.Cancelled && a.result.Outcome.NotRun() {
				a.result.Code = result.DeadlineUnmeetable
				a.result.Detail = "no server took it in time"
			}
			r.take(a)
		default:
			return
		}
	}
}

func (r *run) sendAll() {
	for i, shard := range r.work.Snapshot.Shards {
		first, _ := r.c.homes.Lookup(shard.Service)
		r.send(i, first)
	}
}

func (r *run) send(i int, host ident.HostID) {
	request := r.request(i)
	if r.maybe[i] {
		request.FailedHome = r.sentTo[i]
	}
	r.sentTo[i] = host
	runner, ok := r.c.homes.Runner(host)
	if !ok {
		r.results <- arrival{i, leg.Failed(request, result.HomeUnavailable, result.OutcomeUnsent, "no home for the service")}
		return
	}
	r.cancels[i] = runner.Run(request, func(res leg.Result) { r.arrive(i, res) })
}

// arrive is called by runners, on their goroutines. The channel has room for
// every result there can be, so it never blocks.
func (r *run) arrive(i int, res leg.Result) {
	if r.ended.Load() {
		r.c.counter.Verdict(VerdictLate)
		return
	}
	r.results <- arrival{i, res}
}

func (r *run) request(i int) leg.Request {
	shard := r.work.Snapshot.Shards[i]
	return leg.Request{
		Request:      r.work.Request,
		Service:      shard.Service,
		Index:        r.work.Index,
		Shard:        shard.ID,
		Snapshot:     r.work.Snapshot.Version,
		Class:        r.work.Class,
		Caller:       r.work.Caller,
		Deadline:     r.legDeadline(),
		Idempotent:   r.work.Idempotent,
		Fingerprint:  r.work.Fingerprint,
		Body:         r.work.Body,
		SoftDeadline: r.due(),
		Optional:     r.optional != nil && r.optional[i],
		MaxServers:   r.work.MaxServers,
		Forward:      r.work.Forward,
	}
}

// legDeadline is when a leg's result is of no use any more. A forwarded request
// is given up at its cut-off: a server that is handed more time works for nobody,
// and a slot that is freed at the cut-off would go to one that ends with it.
func (r *run) legDeadline() time.Time {
	if r.work.Forward == nil {
		return r.work.Deadline
	}
	return FinalCutOff(r.work.Plan)
}

// due is when a leg's result must be there to go into an answer in time.
func (r *run) due() time.Time {
	if r.work.SoftDeadline.IsZero() {
		return time.Time{}
	}
	return TargetCutOff(r.work.Plan)
}

func (r *run) take(a arrival) {
	r.times[a.position].Time = r.c.now().Sub(r.started)
	r.times[a.position].QueueTime = a.result.QueueTime
	if len(a.result.HeldSnapshots) > 0 {
		r.c.learn(r.work.Snapshot.Shards[a.position].Service, r.work.Index, a.result.HeldSnapshots)
	}
	if r.failOver(a) {
		return
	}
	if r.maybe[a.position] && a.result.Outcome.NotRun() {
		// The first home was lost with the leg in its hands: it may have run
		// there, so the second home's "not run" does not hold for the leg.
		a.result.Outcome = result.OutcomeUnknown
	}
	r.c.counter.Verdict(r.query.AddResult(a.result))
}

// legTimes completes the times: a leg without a result took at least until now.
func (r *run) legTimes() []LegTiming {
	spent := r.c.now().Sub(r.started)
	for i := range r.times {
		t := &r.times[i]
		t.Service = r.work.Snapshot.Shards[i].Service
		if t.Time == 0 {
			*t = LegTiming{Service: t.Service, Time: spent, QueueTime: leg.UnknownQueueTime, TimedOut: true}
		}
	}
	return r.times
}

// cancelRest cancels what is under way. Cancelling a leg that has ended does
// nothing; results that still come are left in the channel and dropped with it.
func (r *run) cancelRest() {
	for _, cancel := range r.cancels {
		if cancel != nil {
			cancel()
		}
	}
}
