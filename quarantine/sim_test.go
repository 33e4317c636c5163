package quarantine

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	simService = "booking-desk-00"
	poison     = Fingerprint(0xbad)
	dialTime   = time.Millisecond // after a break, until the dial is refused
)

// simCase is one service with its home, busy with innocent requests of which
// some are sent over and over, while a caller sends a poison request.
type simCase struct {
	seed        uint64
	servers     int
	slots       int
	innocents   float64 // a second
	poisons     int     // times that the poison is sent
	poisonGap   time.Duration
	crashAfter  time.Duration // mean, from the start of the poison
	restart     time.Duration
	retry       bool          // legs lost with a connection are tried again once
	breakEvery  time.Duration // one connection breaks by itself; 0: never
	crashEvery  time.Duration // a server crashes by itself; 0: never
	outageEvery time.Duration // all servers lose power; 0: never
	length      time.Duration
}

type simServer struct {
	Server
	up      bool
	running map[ident.AttemptID]simRun
}

type simRun struct {
	f       Fingerprint
	retried bool
}

type sim struct {
	simCase
	rnd     *rand.Rand
	now     time.Time
	events  simEvents
	seq     int
	next    ident.AttemptID
	track   *Tracker
	book    *Registry
	servers []*simServer

	crashes   int // by the poison
	refused   int
	condemned map[Fingerprint]bool
}

func testBundle() *bundle.Config {
	cfg, err := bundle.Compile(1, bundle.Documents{})
	if err != nil {
		panic(err)
	}
	return cfg
}

func runSim(c simCase) *sim {
	s := &sim{
		simCase: c, rnd: rand.New(rand.NewPCG(c.seed, 7)), now: start,
		track: NewTracker(), book: NewRegistry(testBundle()), condemned: map[Fingerprint]bool{},
	}
	for i := range c.servers {
		s.servers = append(s.servers, &simServer{
			Server: Server{Name: fmt.Sprint("s", i), Service: simService, Incarnation: 1},
			up:     true, running: map[ident.AttemptID]simRun{},
		})
	}
	end := start.Add(c.length)
	s.every(func() time.Duration { return s.exp(time.Duration(float64(time.Second) / c.innocents)) }, end, func() { s.send(s.innocent(), false) })
	s.sendPoison(c.poisons)
	s.every(func() time.Duration { return s.exp(c.breakEvery) }, end, s.breakOne)
	s.every(func() time.Duration { return s.exp(c.crashEvery) }, end, func() { s.crash(s.servers[s.rnd.IntN(c.servers)]) })
	s.every(func() time.Duration { return s.exp(c.outageEvery) }, end, func() {
		for _, server := range s.servers {
			s.crash(server)
		}
	})
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

// innocent draws a request: half of them from ten that are sent all the time.
func (s *sim) innocent() Fingerprint {
	if s.rnd.IntN(2) == 0 {
		return Fingerprint(1 + s.rnd.IntN(10))
	}
	return Fingerprint(1<<32 + s.rnd.Uint64N(1<<32))
}

func (s *sim) sendPoison(left int) {
	if left == 0 {
		return
	}
	s.send(poison, false)
	s.after(s.exp(s.poisonGap), func() { s.sendPoison(left - 1) })
}

func (s *sim) send(f Fingerprint, retried bool) {
	if refusal := s.book.CheckLeg(s.now, f, simService, s.track); refusal != nil {
		s.refused++
		return
	}
	server := s.free()
	if server == nil {
		return
	}
	s.next++
	attempt := s.next
	s.track.AttemptStarted(s.now, attempt, server.Server, f)
	server.running[attempt] = simRun{f, retried}
	if f == poison {
		s.after(s.exp(s.crashAfter), func() {
			if _, ok := server.running[attempt]; ok {
				s.crashes++
				s.crash(server)
			}
		})
		return
	}
	took := time.Millisecond + s.exp(4*time.Millisecond)
	if s.rnd.IntN(50) == 0 {
		took += 400 * time.Millisecond
	}
	s.after(took, func() { s.answer(server, attempt) })
}

func (s *sim) free() *simServer {
	for _, i := range s.rnd.Perm(len(s.servers)) {
		if server := s.servers[i]; server.up && len(server.running) < s.slots {
			return server
		}
	}
	return nil
}

func (s *sim) answer(server *simServer, attempt ident.AttemptID) {
	r, ok := server.running[attempt]
	if !ok {
		return
	}
	delete(server.running, attempt)
	s.take(s.track.AttemptEnded(s.now, attempt, result.OutcomeRan, backend.FaultNone, server.Incarnation))
	f, condemned := s.book.RecordSuccess(s.now, r.f, simService)
	s.note(f, condemned)
}

// crash breaks every connection within a few milliseconds.
func (s *sim) crash(server *simServer) {
	if !server.up {
		return
	}
	server.up = false
	lost := server.running
	server.running = map[ident.AttemptID]simRun{}
	for _, attempt := range slices.Sorted(maps.Keys(lost)) {
		r := lost[attempt]
		s.after(time.Duration(s.rnd.IntN(3000))*time.Microsecond, func() { s.broken(server, attempt, r) })
	}
	s.after(s.restart, func() {
		server.up = true
		server.Incarnation++
		s.take(s.track.ObserveIncarnation(s.now, server.Name, server.Incarnation))
	})
}

func (s *sim) broken(server *simServer, attempt ident.AttemptID, r simRun) {
	s.take(s.track.AttemptEnded(s.now, attempt, result.OutcomeUnknown, backend.FaultConnectionLost, 0))
	s.after(dialTime, func() {
		if !server.up {
			s.take(s.track.ConnectRefused(s.now, server.Name))
		}
		if s.retry && !r.retried && !s.book.IsSuspected(s.now, r.f, simService) {
			s.send(r.f, true)
		}
	})
}

func (s *sim) breakOne() {
	server := s.servers[s.rnd.IntN(len(s.servers))]
	for _, attempt := range slices.Sorted(maps.Keys(server.running)) {
		r := server.running[attempt]
		delete(server.running, attempt)
		s.broken(server, attempt, r)
		return
	}
}

func (s *sim) take(e Event) {
	if e.Crashed != nil {
		f, condemned := s.book.RecordCrash(s.now, *e.Crashed)
		s.note(f, condemned)
	}
	if e.Recovered != nil {
		s.book.RetractCrash(*e.Recovered)
	}
}

func (s *sim) note(f Fingerprint, condemned bool) {
	if condemned {
		s.condemned[f] = true
	}
}

func (s *sim) exp(mean time.Duration) time.Duration {
	return time.Duration(s.rnd.ExpFloat64() * float64(mean))
}

func (s *sim) every(gap func() time.Duration, end time.Time, do func()) {
	wait := gap()
	if wait == 0 || s.now.Add(wait).After(end) {
		return
	}
	s.after(wait, func() {
		do()
		s.every(gap, end, do)
	})
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
