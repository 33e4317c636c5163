package home

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// unevenProfile is the traffic of one deployment of docs/customers-and-overload.md.
type unevenProfile struct {
	name     string
	rtt      time.Duration // to a server in another zone
	searches [2]searchKind
}

type searchKind struct {
	perSecond        float64
	work             time.Duration // of one leg
	target, deadline time.Duration
	minShare         float64 // of the services in time
}

var unevenProfiles = []unevenProfile{
	{"archive", time.Millisecond, [2]searchKind{
		{25.2, 28 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 0.95},
		{14.6, 9200 * time.Microsecond, 80 * time.Millisecond, 800 * time.Millisecond, 0.85},
	}},
	{"donations", 9800 * time.Microsecond, [2]searchKind{
		{31.6, 11 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 0.95},
		{10.5, 3800 * time.Microsecond, 80 * time.Millisecond, 300 * time.Millisecond, 0.85},
	}},
}

const (
	unevenServices = 90
	unevenServers  = 3
	unevenSlots    = 2
	// callerLatency is what the coordinator and the caller add to a leg.
	callerLatency = 6 * time.Millisecond
	nearRTT       = 600 * time.Microsecond
	// unevenWarmup is left out of the counts: the homes know no service times before.
	unevenWarmup = 3 * time.Second
	slowFactor   = 2 // from which a server counts as slow
)

// slowSpan is a time in which a server is slower by a factor; infinite: it is paused.
type slowSpan struct {
	from, to time.Duration
	factor   float64
}

// unevenServer is a backend server with two slots and a queue.
type unevenServer struct {
	speed   float64 // factor of all its service times
	spans   []slowSpan
	fails   float64 // share of the requests that fail
	failure backend.Fault
	running int
	queue   []unevenWork
}

type unevenWork struct {
	attempt ident.AttemptID
	work    time.Duration
}

// factorAt returns the factor at a time and when it may change.
func (s *unevenServer) factorAt(at time.Duration) (factor float64, until time.Duration) {
	factor, until = s.speed, math.MaxInt64
	for _, span := range s.spans {
		if at < span.from {
			until = min(until, span.from)
			continue
		}
		if at < span.to {
			factor *= span.factor
			until = min(until, span.to)
		}
	}
	return factor, until
}

// finish returns when work that starts at a time ends.
func (s *unevenServer) finish(at, work time.Duration) time.Duration {
	for {
		factor, until := s.factorAt(at)
		if !math.IsInf(factor, 1) {
			end := at + time.Duration(float64(work)*factor)
			if end <= until {
				return end
			}
			work -= time.Duration(float64(until-at) / factor)
		}
		at = until
	}
}

// slow reports whether the server is paused or much slower than the fastest.
func (s *unevenServer) slow(at time.Duration) bool {
	factor, _ := s.factorAt(at)
	return factor >= slowFactor
}

// unevenLoad is a pattern of faults and a multiple of the usual traffic.
type unevenLoad struct {
	name    string
	traffic float64
	apply   func(service int, servers []*unevenServer, rng *rand.Rand, length time.Duration)
}

func addPauses(servers []*unevenServer, rng *rand.Rand, length, pause, every time.Duration) {
	for _, s := range servers {
		for at := time.Duration(rng.Int64N(int64(every))); at < length; at += every {
			s.spans = append(s.spans, slowSpan{at, at + pause, math.Inf(1)})
		}
	}
}

func addMoments(servers []*unevenServer, rng *rand.Rand, length time.Duration) {
	for _, s := range servers {
		for at := time.Duration(rng.ExpFloat64() * float64(4*time.Second)); at < length; {
			s.spans = append(s.spans, slowSpan{at, at + 600*time.Millisecond, 2.5})
			at += 600*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(4*time.Second))
		}
	}
}

// addSlow makes a share of the servers 5 to 12 times slower for 8 s of each 12 s.
func addSlow(servers []*unevenServer, rng *rand.Rand, length time.Duration, share float64) {
	for at := unevenWarmup; at < length; at += 12 * time.Second {
		for _, s := range servers {
			if rng.Float64() < share {
				s.spans = append(s.spans, slowSpan{at, at + 8*time.Second, 5 + 7*rng.Float64()})
			}
		}
	}
}

var unevenLoads = []unevenLoad{
	{"equal servers, no faults", 1, func(int, []*unevenServer, *rand.Rand, time.Duration) {}},
	{"equal servers, 5 times the traffic", 5, func(int, []*unevenServer, *rand.Rand, time.Duration) {}},
	{"speeds 1, 1.6, 2.5", 2, func(_ int, servers []*unevenServer, rng *rand.Rand, _ time.Duration) {
		speeds := []float64{1, 1.6, 2.5}
		for i, j := range rng.Perm(unevenServers) {
			servers[i].speed = speeds[j]
		}
	}},
	{"pauses 120 ms / 3 s", 1, func(_ int, servers []*unevenServer, rng *rand.Rand, length time.Duration) {
		addPauses(servers, rng, length, 120*time.Millisecond, 3*time.Second)
	}},
	{"pauses 250 ms / 6 s", 1, func(_ int, servers []*unevenServer, rng *rand.Rand, length time.Duration) {
		addPauses(servers, rng, length, 250*time.Millisecond, 6*time.Second)
	}},
	{"pauses 250 ms / 6 s, 4 times the traffic", 4, func(_ int, servers []*unevenServer, rng *rand.Rand, length time.Duration) {
		addPauses(servers, rng, length, 250*time.Millisecond, 6*time.Second)
	}},
	{"moments of 600 ms, 2.5 times slower", 3, func(_ int, servers []*unevenServer, rng *rand.Rand, length time.Duration) {
		addMoments(servers, rng, length)
	}},
	{"one in three slow at 15% of services", 1, func(service int, servers []*unevenServer, rng *rand.Rand, length time.Duration) {
		if service%7 == 0 {
			addSlow(servers[service/7%3:][:1], rng, length, 1)
		}
	}},
	{"a third of the servers slow, pauses", 1, func(_ int, servers []*unevenServer, rng *rand.Rand, length time.Duration) {
		addSlow(servers, rng, length, 1.0/3)
		addPauses(servers, rng, length, 120*time.Millisecond, 3*time.Second)
	}},
	{"half of the servers slow, pauses", 1, func(_ int, servers []*unevenServer, rng *rand.Rand, length time.Duration) {
		addSlow(servers, rng, length, 0.5)
		addPauses(servers, rng, length, 120*time.Millisecond, 3*time.Second)
	}},
	{"a third slow, pauses, 3 times the traffic", 3, func(_ int, servers []*unevenServer, rng *rand.Rand, length time.Duration) {
		addSlow(servers, rng, length, 1.0/3)
		addPauses(servers, rng, length, 250*time.Millisecond, 6*time.Second)
	}},
	{"just started, 1.6 times slower for 3 s", 3, func(_ int, servers []*unevenServer, rng *rand.Rand, length time.Duration) {
		for _, s := range servers {
			at := time.Duration(rng.Int64N(int64(length)))
			s.spans = append(s.spans, slowSpan{at, at + 3*time.Second, 1.6})
		}
		addPauses(servers, rng, length, 120*time.Millisecond, 3*time.Second)
	}},
	{"a third fail 30%: errors", 1, failing(backend.FaultServerError)},
	{"a third fail 30%: silence", 1, failing(backend.FaultDeadline)},
	{"a third fail 30%: truncated", 1, failing(backend.FaultCorruptReply)},
}

func failing(fault backend.Fault) func(int, []*unevenServer, *rand.Rand, time.Duration) {
	return func(service int, servers []*unevenServer, _ *rand.Rand, _ time.Duration) {
		s := servers[service%unevenServers]
		s.fails, s.failure = 0.3, fault
	}
}

// unevenCounts are the results of one run.
type unevenCounts struct {
	searches, inTime [2]int
	legs, hedges     int
	retries          int
	toSlow           int // first attempts sent to a slow server
	firsts           int
	// completions are how long the searches took until the services they need had
	// answered, in parts of their target.
	completions []float64
}

func (c *unevenCounts) add(o unevenCounts) {
	for i := range c.searches {
		c.searches[i] += o.searches[i]
		c.inTime[i] += o.inTime[i]
	}
	c.legs += o.legs
	c.hedges += o.hedges
	c.retries += o.retries
	c.toSlow += o.toSlow
	c.firsts += o.firsts
	c.completions = append(c.completions, o.completions...)
}

// completion returns a quantile of the completions.
func (c *unevenCounts) completion(q float64) float64 {
	slices.Sort(c.completions)
	return c.completions[int(q*float64(len(c.completions)-1))]
}

// share is the share of the searches in time.
func (c *unevenCounts) share() float64 {
	return float64(c.inTime[0]+c.inTime[1]) / float64(c.searches[0]+c.searches[1])
}

func (c *unevenCounts) String() string {
	return fmt.Sprintf("full %.4f lookup %.4f p50 %.2f p95 %.2f p99 %.2f hedges %.4f retries %.4f slow %.4f",
		float64(c.inTime[0])/float64(c.searches[0]), float64(c.inTime[1])/float64(c.searches[1]),
		c.completion(0.5), c.completion(0.95), c.completion(0.99),
		float64(c.hedges)/float64(c.legs), float64(c.retries)/float64(c.legs), float64(c.toSlow)/float64(c.firsts))
}

type unevenSearch struct {
	kind int
	at   time.Duration
}

// unevenSearches returns the searches of a time.
func unevenSearches(p unevenProfile, load unevenLoad, seed uint64, length time.Duration) []unevenSearch {
	rng := rand.New(rand.NewPCG(seed, 11))
	var searches []unevenSearch
	total := (p.searches[0].perSecond + p.searches[1].perSecond) * load.traffic
	for at := 0.0; at < length.Seconds(); at += rng.ExpFloat64() / total {
		kind := 0
		if rng.Float64()*(p.searches[0].perSecond+p.searches[1].perSecond) > p.searches[0].perSecond {
			kind = 1
		}
		searches = append(searches, unevenSearch{kind, seconds(at)})
	}
	return searches
}

// runUneven runs searches over all services for a time.
func runUneven(p unevenProfile, load unevenLoad, seed uint64, length time.Duration) unevenCounts {
	searches := unevenSearches(p, load, seed, length)
	var counts unevenCounts
	took := make([][]time.Duration, len(searches))
	stats := NewLatencyStats()
	for service := range unevenServices {
		s := newUnevenService(p, load, service, seed, length, stats)
		s.run(searches, took)
		counts.add(s.counts)
	}
	for i, search := range searches {
		if search.at < unevenWarmup {
			continue
		}
		kind := &p.searches[search.kind]
		counts.searches[search.kind]++
		completion := 10.0 // never
		if needed := int(math.Ceil(kind.minShare * unevenServices)); len(took[i]) >= needed {
			slices.Sort(took[i])
			completion = float64(took[i][needed-1]+callerLatency) / float64(kind.target)
		}
		if completion <= 1 {
			counts.inTime[search.kind]++
		}
		counts.completions = append(counts.completions, completion)
	}
	return counts
}

// unevenService is one service with its home and servers in virtual time.
type unevenService struct {
	profile  unevenProfile
	rng      *rand.Rand
	home     *Home
	servers  []*unevenServer
	now      time.Duration
	events   unevenEvents
	nextTick time.Duration
	attempts map[ident.AttemptID]*unevenAttempt
	counts   unevenCounts
	searches []unevenSearch
	took     [][]time.Duration // of the legs of each search that were answered
	onStart  func(at time.Duration, server int, hedge bool)
}

type unevenAttempt struct {
	leg    LegID
	server int
	ended  bool // for the home
}

type unevenEvent struct {
	at    time.Duration
	order int
	run   func()
}

type unevenEvents []unevenEvent

func (h unevenEvents) Len() int { return len(h) }
func (h unevenEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h unevenEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *unevenEvents) Push(x any)   { *h = append(*h, x.(unevenEvent)) }
func (h *unevenEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// unevenConfig is the configuration of a home on the users' platform, with the budget
// of one of four carriers: a ratio of 0.2 and a slack of 214 in 10 s.
func unevenConfig(p unevenProfile, stats *LatencyStats) Config {
	return Config{
		Service: "uneven", SlotsPerServer: unevenSlots,
		Classes: []ClassSpec{
			{Name: "search", MaxQueue: 512, DefaultHedgeDelay: p.searches[0].target / 4},
			{Name: "lookup", MaxQueue: 512, DefaultHedgeDelay: p.searches[1].target / 4},
		},
		HedgeBudget: 0.112, RetryBudget: 0.05, HedgeBurst: 18, RetryBurst: 8,
		HedgeInitialFill: 0.25, RetryInitialFill: 0.6, HedgesPerSecond: 1.2, RetriesPerSecond: 0.5,
		HedgeQuantile: 0.92, ChargeRefusals: true, SlowStartReplies: 1, ReserveReportedLoad: true,
		AvoidStalled: true, CrossZonePenaltySeconds: 0.015, LatencyStats: stats,
	}
}

func newUnevenService(p unevenProfile, load unevenLoad, service int, seed uint64, length time.Duration, stats *LatencyStats) *unevenService {
	s := &unevenService{
		profile: p, rng: rand.New(rand.NewPCG(seed, 1000+uint64(service))),
		home: New(unevenConfig(p, stats), 0), attempts: make(map[ident.AttemptID]*unevenAttempt),
	}
	var specs []ServerSpec
	for i := range unevenServers {
		s.servers = append(s.servers, &unevenServer{speed: 1})
		specs = append(specs, ServerSpec{Name: fmt.Sprintf("s%d", i), Incarnation: 1, SameZone: i == service%unevenServers})
	}
	load.apply(service, s.servers, s.rng, length)
	s.home.SetServers(start, specs, nil)
	return s
}

func (s *unevenService) post(at time.Duration, run func()) {
	heap.Push(&s.events, unevenEvent{at, len(s.attempts), run})
}

func (s *unevenService) time() time.Time { return start.Add(s.now) }

// run submits one leg of each search and runs until all have ended.
func (s *unevenService) run(searches []unevenSearch, took [][]time.Duration) {
	s.searches, s.took = searches, took
	for i, search := range searches {
		for len(s.events) > 0 && s.events[0].at <= search.at {
			s.step()
		}
		s.now = search.at
		s.submit(i)
		s.scheduleTick()
	}
	for len(s.events) > 0 {
		s.step()
	}
}

func (s *unevenService) step() {
	e := heap.Pop(&s.events).(unevenEvent)
	s.now = e.at
	e.run()
	s.scheduleTick()
}

func (s *unevenService) scheduleTick() {
	next := s.home.NextTick()
	if next.IsZero() {
		return
	}
	at := max(next.Sub(start), s.now)
	if s.nextTick > s.now && s.nextTick <= at {
		return
	}
	s.nextTick = at
	s.post(at, func() { s.apply(s.home.Tick(s.time(), nil)) })
}

func (s *unevenService) submit(i int) {
	kind := &s.profile.searches[s.searches[i].kind]
	id := LegID(i + 1)
	var request ident.RequestID
	request[0], request[1], request[2] = byte(i>>16), byte(i>>8), byte(i)
	s.counts.legs++
	s.apply(s.home.Submit(s.time(), Leg{
		ID: id, Request: request, Class: s.searches[i].kind, Bytes: 200, Idempotent: true, Forwarded: true,
		SoftDeadline: s.time().Add(kind.target - callerLatency), Deadline: s.time().Add(kind.deadline),
	}, nil))
}

func (s *unevenService) apply(acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case ActionStart:
			s.startAttempt(a)
		case ActionCancel:
			attempt := s.attempts[a.Attempt]
			s.post(s.now, func() {
				s.end(a.Attempt, attempt, AttemptResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultCancelled})
			})
		case ActionAnswer:
			i := int(a.Leg) - 1
			s.took[i] = append(s.took[i], s.now-s.searches[i].at)
		case ActionFail:
		}
	}
}

func (s *unevenService) rtt(server int) time.Duration {
	if s.home.findServer(fmt.Sprintf("s%d", server)).spec.SameZone {
		return nearRTT
	}
	return s.profile.rtt
}

func (s *unevenService) startAttempt(a Action) {
	i := int(a.Leg) - 1
	server := int(a.Server[1] - '0')
	attempt := &unevenAttempt{leg: a.Leg, server: server}
	s.attempts[a.Attempt] = attempt
	switch {
	case a.Hedge:
		s.counts.hedges++
	case a.Retry:
		s.counts.retries++
	default:
		s.counts.firsts++
		if s.servers[server].slow(s.now) {
			s.counts.toSlow++
		}
	}
	if s.onStart != nil {
		s.onStart(s.now, server, a.Hedge)
	}
	kind := &s.profile.searches[s.searches[i].kind]
	work := time.Duration(float64(kind.work) * math.Exp(0.25*s.rng.NormFloat64()))
	s.post(s.now+s.rtt(server)/2, func() { s.arrive(server, unevenWork{a.Attempt, work}) })
	s.post(s.searches[i].at+kind.deadline, func() {
		s.end(a.Attempt, attempt, AttemptResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultDeadline})
	})
}

// arrive queues work at a server. Work whose attempt was cancelled meanwhile is dropped
// when its turn comes.
func (s *unevenService) arrive(server int, work unevenWork) {
	s.servers[server].queue = append(s.servers[server].queue, work)
	s.startQueued(server)
}

func (s *unevenService) startQueued(server int) {
	sv := s.servers[server]
	for sv.running < unevenSlots && len(sv.queue) > 0 {
		work := sv.queue[0]
		sv.queue = sv.queue[1:]
		if s.attempts[work.attempt].ended {
			continue
		}
		sv.running++
		s.post(sv.finish(s.now, work.work), func() {
			sv.running--
			s.reply(server, work.attempt)
			s.startQueued(server)
		})
	}
}

func (s *unevenService) reply(server int, id ident.AttemptID) {
	sv, end := s.servers[server], AttemptResult{Outcome: result.OutcomeRan}
	if sv.fails > 0 && s.rng.Float64() < sv.fails {
		switch sv.failure {
		case backend.FaultDeadline:
			return // silence
		case backend.FaultCorruptReply:
			end = AttemptResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultCorruptReply}
		default:
			end.Fault = sv.failure
		}
	}
	s.post(s.now+s.rtt(server)/2, func() { s.end(id, s.attempts[id], end) })
}

func (s *unevenService) end(id ident.AttemptID, attempt *unevenAttempt, end AttemptResult) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	s.apply(s.home.Finish(s.time(), id, end, nil))
}
