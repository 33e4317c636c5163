package quarantine

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// fleetCase is a fleet of hosts without homes for single services: each sees its own attempts
// only, and hears the reports of the others later. Searches take one server of each service.
type fleetCase struct {
	seed      uint64
	hosts     int
	services  int     // two servers each
	needed    int     // services that a search must have
	innocents float64 // searches a second over the fleet
	popular   int     // distinct innocent searches; 0: each is sent once and its caller retries it
	poisons   []fleetPoison
	gossip    time.Duration // longest delay of a report between two hosts
	crashEach time.Duration // a server crashes by itself; 0: never
	runTime   time.Duration // mean, of a leg that is answered; half of it is the least
	outages   []fleetOutage
	length    time.Duration
	// listDelay is how long a server that has started again is not listed.
	listDelay time.Duration
	// keepNames is set if servers start again under their names; otherwise each start has a new
	// name, and refuses requests that are meant for the one before.
	keepNames bool
	kills     []fleetKill
	cuts      []fleetCut
}

// fleetKill kills a host, which starts again without its state.
type fleetKill struct {
	at, back    time.Duration
	coordinator bool // the host that all ask for leases; otherwise any
	all         bool // all hosts at once
}

// fleetCut cuts the coordinator off from all other hosts, while callers and servers reach it.
type fleetCut struct{ from, until time.Duration }

type fleetPoison struct {
	first, last time.Duration
	gap         time.Duration // mean, between two attempts
	crashAfter  time.Duration // mean, from the start of the run
}

// fleetOutage stops all servers of some services, or each service's first server, at once.
type fleetOutage struct {
	at       time.Duration
	services int // 0: the first server of each service
}

const (
	fleetRestart = 3400 * time.Millisecond
	// fleetVerdictDeadline and fleetLateRetries are the rule: over this time after the third
	// server has crashed, so many attempts may still reach servers.
	fleetVerdictDeadline = 4 * time.Second
	fleetLateRetries     = 3
)

type fleetSim struct {
	fleetCase
	rnd     *rand.Rand
	now     time.Time
	events  simEvents
	seq     int
	attempt ident.AttemptID
	hosts   []*fleetHost
	servers [][]*fleetServer // by service

	crashes   map[Fingerprint][]time.Time
	late      map[Fingerprint]int
	sent      int
	answered  int
	innocents map[Fingerprint]bool
	refused   map[Fingerprint]bool // by a verdict
	canaries  map[Fingerprint]int  // that run on a server now
	// mostCanaries is how many canaries of a request ran at once.
	mostCanaries map[Fingerprint]int
}

type fleetServer struct {
	Server  // current instance
	address string
	starts  uint64
	up      bool
	running map[ident.AttemptID]*fleetLeg
}

// start starts a new instance of the server.
func (s *fleetServer) start(keepNames bool) {
	s.starts++
	s.up = true
	if keepNames {
		s.Incarnation = s.starts
		return
	}
	s.Name = fmt.Sprintf("%s-%d", s.address, s.starts)
}

type fleetSearch struct {
	f              Fingerprint
	host           *fleetHost
	answered, lost int
	done, canary   bool
	leasedBy       *fleetHost // if it is a canary
	legs           []*fleetLeg
	reached        bool // a server
	onFailure      func()
}

type fleetLeg struct {
	search  *fleetSearch
	id      ident.AttemptID
	service int
	on      *fleetServer
	to      Server // instance that it was sent to
	life    int    // of the host that sent it
	retried bool
}

func runFleet(c fleetCase) *fleetSim {
	s := &fleetSim{
		fleetCase: c, rnd: rand.New(rand.NewPCG(c.seed, 11)), now: start,
		crashes: make(map[Fingerprint][]time.Time), late: make(map[Fingerprint]int),
		innocents: make(map[Fingerprint]bool), refused: make(map[Fingerprint]bool),
		canaries: make(map[Fingerprint]int), mostCanaries: make(map[Fingerprint]int),
	}
	for i := range c.hosts {
		h := &fleetHost{name: ident.HostID(fmt.Sprint("host", i)), listed: make(map[*fleetServer]Server)}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	s.updateViews(0)
	for i := range c.services {
		pair := make([]*fleetServer, 2)
		for j := range pair {
			address := fmt.Sprintf("s%d-%d", i, j)
			pair[j] = &fleetServer{Server: Server{Name: address, Service: fmt.Sprint("service", i)}, address: address, running: make(map[ident.AttemptID]*fleetLeg)}
			pair[j].start(c.keepNames)
			s.list(pair[j])
		}
		s.servers = append(s.servers, pair)
	}
	s.schedule()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *fleetSim) schedule() {
	for i, p := range s.poisons {
		f := poison + Fingerprint(i)
		for at := p.first; at < p.last; at += s.exp(p.gap) {
			s.after(at, func() { s.search(f, func() {}) })
		}
	}
	for at := time.Duration(0); at < s.length; at += s.exp(time.Duration(float64(time.Second) / s.fleetCase.innocents)) {
		s.after(at, s.sendInnocent)
	}
	for at := s.exp(s.crashEach); s.crashEach > 0 && at < s.length; at += s.exp(s.crashEach) {
		s.after(at, func() { s.crash(s.servers[s.rnd.IntN(s.services)][s.rnd.IntN(2)]) })
	}
	for _, o := range s.outages {
		s.after(o.at, func() { s.outage(o) })
	}
	for _, k := range s.kills {
		s.after(k.at, func() { s.killHosts(k) })
	}
	for _, c := range s.cuts {
		s.after(c.from, func() {
			h := s.coordinatorOf(s.hosts[0])
			h.cut = true
			s.updateViews(fleetViewDelay)
			s.after(c.until-c.from, func() {
				h.cut = false
				s.updateViews(fleetViewDelay)
			})
		})
	}
}

// list tells all hosts of the server's current instance.
func (s *fleetSim) list(server *fleetServer) {
	for _, h := range s.hosts {
		h.listed[server] = server.Server
		s.handle(h, h.tracker.ObserveIncarnation(s.now, server.Name, server.Incarnation))
	}
}

func (s *fleetSim) outage(o fleetOutage) {
	for i, pair := range s.servers {
		switch {
		case o.services == 0:
			s.crash(pair[0])
		case i < o.services:
			s.crash(pair[0])
			s.crash(pair[1])
		}
	}
}

// sendInnocent sends a search that its caller sends once more if it fails.
func (s *fleetSim) sendInnocent() {
	f := Fingerprint(1<<32 + s.rnd.Uint64N(1<<32))
	if s.popular > 0 {
		f = Fingerprint(1<<20 + s.rnd.IntN(s.popular))
	}
	s.innocents[f] = true
	s.sent++
	s.search(f, func() {
		s.after(50*time.Millisecond, func() { s.search(f, func() {}) })
	})
}

func (s *fleetSim) search(f Fingerprint, onFailure func()) {
	host := s.hosts[s.rnd.IntN(len(s.hosts))]
	if !host.up || s.availableServices() < s.needed {
		return // refused: the host is lost, or too many services are silent
	}
	admission := host.suspects.Admit(s.now, f)
	if admission.Refusal != nil {
		if admission.Refusal.Code == result.Quarantined {
			s.refused[f] = true
		}
		return
	}
	q := &fleetSearch{f: f, host: host, canary: admission.Canary, onFailure: onFailure}
	if q.canary {
		s.acquire(q, s.rnd.IntN(s.services))
		return
	}
	for i := range s.services {
		s.sendLeg(q, i, false)
	}
}

func (s *fleetSim) availableServices() (n int) {
	for _, pair := range s.servers {
		if pair[0].up || pair[1].up {
			n++
		}
	}
	return n
}

func (s *fleetSim) sendLeg(q *fleetSearch, service int, retried bool) {
	if !q.host.up {
		return
	}
	if q.done || q.host.suspects.Check(s.now, q.f) != nil {
		s.loseLeg(q)
		return
	}
	server := s.servers[service][s.rnd.IntN(2)]
	if !server.up {
		server = s.servers[service][0]
	}
	if !server.up {
		server = s.servers[service][1]
	}
	if !server.up {
		s.loseLeg(q)
		return
	}
	s.attempt++
	l := &fleetLeg{search: q, id: s.attempt, service: service, on: server, to: q.host.listed[server], life: q.host.life, retried: retried}
	q.legs = append(q.legs, l)
	q.host.tracker.AttemptStarted(s.now, l.id, l.to, q.f)
	s.after(time.Millisecond, func() { s.run(l) })
}

// run begins a leg on its server.
func (s *fleetSim) run(l *fleetLeg) {
	q := l.search
	if q.done || !q.host.up || l.life != q.host.life {
		return
	}
	if !l.on.up {
		s.endLeg(l, result.OutcomeUnsent, backend.FaultUnreachable)
		return
	}
	if l.to.Name != l.on.Name {
		s.endLeg(l, result.OutcomeRefused, backend.FaultDraining)
		return
	}
	l.on.running[l.id] = l
	if !q.reached {
		q.reached = true
		if c := s.crashes[q.f]; len(c) >= 3 && s.now.Sub(c[2]) > fleetVerdictDeadline {
			s.late[q.f]++
		}
	}
	if q.canary {
		s.canaries[q.f]++
		s.mostCanaries[q.f] = max(s.mostCanaries[q.f], s.canaries[q.f])
	}
	if i := int(q.f) - int(poison); i >= 0 && i < len(s.poisons) {
		s.after(s.exp(s.poisons[i].crashAfter), func() {
			if l.on.running[l.id] == l {
				s.crashes[q.f] = append(s.crashes[q.f], s.now)
				s.crash(l.on)
			}
		})
		return
	}
	s.after(s.runTime/2+s.exp(s.runTime/2), func() {
		if l.on.running[l.id] == l {
			delete(l.on.running, l.id)
			s.endRun(l)
			s.endLeg(l, result.OutcomeRan, backend.FaultNone)
		}
	})
}

// endRun is called when a server no longer runs the leg.
func (s *fleetSim) endRun(l *fleetLeg) {
	if l.search.canary {
		s.canaries[l.search.f]--
	}
}

// crash stops a server. Its connections break within a few milliseconds; it starts again later.
func (s *fleetSim) crash(server *fleetServer) {
	if !server.up {
		return
	}
	server.up = false
	lost := server.running
	server.running = make(map[ident.AttemptID]*fleetLeg)
	for _, id := range slices.Sorted(maps.Keys(lost)) {
		l := lost[id]
		s.endRun(l)
		s.after(time.Duration(s.rnd.IntN(3000))*time.Microsecond, func() { s.endLeg(l, result.OutcomeUnknown, backend.FaultConnectionLost) })
	}
	s.after(fleetRestart, func() {
		server.start(s.keepNames)
		s.after(s.listDelay, func() { s.list(server) })
	})
}

func (s *fleetSim) endLeg(l *fleetLeg, outcome result.Outcome, fault backend.Fault) {
	q := l.search
	if q.done || !q.host.up || l.life != q.host.life {
		return // ended as cancelled, or with its host
	}
	s.handle(q.host, q.host.tracker.AttemptEnded(s.now, l.id, outcome, fault, 0))
	switch {
	case outcome == result.OutcomeRan:
		q.host.suspects.RecordAnswer(s.now, q.f)
		s.answerLeg(q, l)
	case fault == backend.FaultConnectionLost:
		s.after(dialTime, func() {
			if !q.host.up || l.life != q.host.life {
				return
			}
			s.handle(q.host, q.host.tracker.ConnectRefused(s.now, l.to.Name))
			if l.retried || q.host.suspects.IsSuspect(s.now, q.f) {
				s.loseLeg(q)
				return
			}
			s.sendLeg(q, l.service, true)
		})
	default:
		s.loseLeg(q)
	}
}

func (s *fleetSim) answerLeg(q *fleetSearch, l *fleetLeg) {
	q.answered++
	if q.canary {
		q.canary = false
		s.endCanary(q, CanaryAnswered)
		for i := range s.services {
			if i != l.service {
				s.sendLeg(q, i, false)
			}
		}
	}
	if q.answered+q.lost == s.services && !q.done {
		s.finish(q)
		s.answered++
	}
}

func (s *fleetSim) loseLeg(q *fleetSearch) {
	q.lost++
	if q.done {
		return
	}
	if q.canary || q.lost > s.services-s.needed {
		s.finish(q)
		q.onFailure()
		return
	}
	if q.answered+q.lost == s.services {
		s.finish(q)
		s.answered++
	}
}

// finish ends a search and cancels its open legs.
func (s *fleetSim) finish(q *fleetSearch) {
	if q.canary {
		s.endCanary(q, CanaryLost)
	}
	q.done = true
	for _, l := range q.legs {
		q.host.tracker.AttemptEnded(s.now, l.id, result.OutcomeUnknown, backend.FaultCancelled, 0)
		s.after(time.Millisecond, func() {
			if l.on.running[l.id] == l {
				delete(l.on.running, l.id)
				s.endRun(l)
			}
		})
	}
}

func (s *fleetSim) handle(h *fleetHost, e Event) {
	if e.Recovered != nil {
		h.suspects.RetractCrash(*e.Recovered)
	}
	if e.Crashed == nil {
		return
	}
	for _, report := range h.suspects.RecordCrash(s.now, *e.Crashed) {
		for _, other := range s.hosts {
			if other != h {
				s.after(30*time.Millisecond+time.Duration(s.rnd.Int64N(int64(s.gossip))), func() {
					if other.up && s.connected(h, other) {
						other.suspects.Merge(s.now, report)
					}
				})
			}
		}
	}
}

func (s *fleetSim) exp(mean time.Duration) time.Duration {
	return time.Duration(s.rnd.ExpFloat64() * float64(mean))
}

func (s *fleetSim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}
