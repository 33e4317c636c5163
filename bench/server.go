package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Server is a simulated backend server with a concurrency limit of Slots and a
// bounded queue. It sheds the calls above these and accepts cancellation.
type Server struct {
	Name        string
	Service     *Service
	Index       int
	Zone        int
	Slots       int
	Incarnation uint64
	// SlowFactor multiplies service times; it is 1 for a healthy server.
	SlowFactor float64
	// ColdFactor multiplies service times until ColdUntil.
	ColdUntil  time.Duration
	ColdFactor float64
	// Down servers refuse connections.
	Down bool
	// Refusing servers shed every call.
	Refusing bool
	// LoadOverride, if set, alters the load that replies report.
	LoadOverride func(backend.Load) backend.Load

	running map[*Call]struct{}
	queue   []*Call       // waiting for a slot, in arrival order
	busy    time.Duration // slot time used so far
}

func newService(s *Sim, index int) *Service {
	service := &Service{Index: index, Name: fmt.Sprintf("svc-%02d", index)}
	for i := range s.Case.Shape.Servers {
		service.Servers = append(service.Servers, &Server{
			Name:        fmt.Sprintf("%s-%d", service.Name, i),
			Service:     service,
			Index:       i,
			Zone:        (index + i) % s.Case.Shape.Zones,
			Slots:       s.Case.Shape.Slots,
			Incarnation: 1,
			SlowFactor:  1,
			running:     make(map[*Call]struct{}),
		})
	}
	return service
}

// Call is one attempt, from its sending until its reply has arrived.
type Call struct {
	Leg    *Leg
	Server *Server

	sim       *Sim
	hop       time.Duration
	done      func(home.AttemptResult)
	arrived   bool
	started   time.Duration
	ended     bool
	cancelled bool
}

// Send sends the leg from a host to the server; done is called with the result of
// the attempt when it arrives at that host.
func (s *Sim) Send(host int, server *Server, leg *Leg, done func(home.AttemptResult)) *Call {
	return s.send(s.Hop(s.Hosts[host].Zone, server.Zone), server, leg, done)
}

// send is Send with an explicit one-way latency.
func (s *Sim) send(hop time.Duration, server *Server, leg *Leg, done func(home.AttemptResult)) *Call {
	call := &Call{Leg: leg, Server: server, sim: s, hop: hop, done: done}
	s.result.countSent(leg)
	s.After(hop, call.arrive)
	return call
}

func (c *Call) arrive() {
	server := c.Server
	c.arrived = true
	switch {
	case c.cancelled:
		c.reply(home.AttemptResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultCancelled})
	case server.Down:
		c.reply(home.AttemptResult{Outcome: result.OutcomeUnsent, Fault: backend.FaultUnreachable})
	case server.Refusing || len(server.running)+len(server.queue) >= server.Slots+c.sim.Case.Shape.ServerQueue:
		c.sim.result.countRefused(c.Leg)
		c.reply(home.AttemptResult{Outcome: result.OutcomeRefused, Fault: backend.FaultShed, Load: server.load(), HasLoad: true})
	case len(server.running) >= server.Slots:
		server.queue = append(server.queue, c)
	default:
		c.run()
	}
}

func (c *Call) run() {
	c.started = c.sim.now
	if c.Leg.Started == 0 {
		c.Leg.Started = c.sim.now - c.hop
	}
	c.Server.running[c] = struct{}{}
	c.sim.result.countRun(c.Leg)
	c.sim.After(c.Server.drawServiceTime(c.sim, c.Leg), func() {
		if c.freeSlot() {
			c.reply(home.AttemptResult{Outcome: result.OutcomeRan, Load: c.Server.load(), HasLoad: true})
		}
	})
}

// Cancel asks the server to stop the call; its result still comes through done.
func (c *Call) Cancel() {
	if c.cancelled || c.ended {
		return
	}
	c.cancelled = true
	c.sim.After(c.hop, func() {
		if c.arrived && (c.leaveQueue() || c.freeSlot()) {
			c.reply(home.AttemptResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultCancelled, Load: c.Server.load(), HasLoad: true})
		}
	})
}

// leaveQueue removes the call from the server's queue and reports whether it was
// there.
func (c *Call) leaveQueue() bool {
	i := slices.Index(c.Server.queue, c)
	if i < 0 {
		return false
	}
	c.Server.queue = slices.Delete(c.Server.queue, i, i+1)
	return true
}

// freeSlot frees the call's slot for the next queued call and reports whether the
// call had a slot.
func (c *Call) freeSlot() bool {
	if _, ok := c.Server.running[c]; !ok {
		return false
	}
	delete(c.Server.running, c)
	used := c.sim.now - c.started
	c.Server.busy += used
	c.sim.result.countBusy(c.Leg, used)
	if queue := c.Server.queue; len(queue) > 0 {
		c.Server.queue = queue[1:]
		queue[0].run()
	}
	return true
}

func (c *Call) reply(res home.AttemptResult) {
	c.ended = true
	c.sim.After(c.hop, func() { c.done(res) })
}

func (s *Server) drawServiceTime(sim *Sim, leg *Leg) time.Duration {
	dist := leg.Query.Traffic.ServiceTime
	t := float64(dist.Base) + sim.Times.ExpFloat64()*float64(dist.MeanExtra)
	if sim.Times.Float64() < dist.StragglerShare {
		t += float64(dist.StragglerExtra)
	}
	t *= s.SlowFactor
	if sim.now < s.ColdUntil {
		t *= s.ColdFactor
	}
	return time.Duration(t)
}

func (s *Server) load() backend.Load {
	load := backend.Load{Running: len(s.running), Queued: len(s.queue), Slots: s.Slots}
	if s.LoadOverride != nil {
		load = s.LoadOverride(load)
	}
	return load
}

// Crash ends every call with an unknown outcome and takes the server down.
func (s *Server) Crash(sim *Sim) {
	s.Down = true
	s.failCalls(sim)
}

// Restart starts a new incarnation of the server that is slow at first.
func (s *Server) Restart(sim *Sim, coldFor time.Duration, coldFactor float64) {
	s.failCalls(sim)
	s.Down = false
	s.Incarnation++
	s.ColdUntil = sim.now + coldFor
	s.ColdFactor = coldFactor
}

func (s *Server) failCalls(sim *Sim) {
	for _, call := range s.queue {
		call.reply(home.AttemptResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultConnectionLost})
	}
	s.queue = nil
	for _, call := range sortedCalls(s.running) {
		call.freeSlot()
		call.reply(home.AttemptResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultConnectionLost})
	}
}
