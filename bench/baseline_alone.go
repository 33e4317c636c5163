package bench

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Limits of the policies in which each host decides alone.
const (
	aloneRetryAfter = 2 * time.Millisecond // pause after a refusal, doubled each time
	aloneMaxPause   = 64 * time.Millisecond
	aloneDecrease   = 0.7 // of the limit at a refusal
	aloneIncrease   = 0.1 // of one request, for each answer
)

// UncoordinatedBaseline is each host by itself: power of two choices on its own
// requests in flight and the load it last heard, and a limit for each server
// that grows with answers and shrinks with refusals. With static, the limit is
// the host's even share of the slots instead, and at least one.
func UncoordinatedBaseline(name string, static bool) PolicySpec {
	return PolicySpec{Name: name, New: func(s *Sim) Policy {
		p := &alone{sim: s, static: static, calls: make(map[*Leg]*Call)}
		for range s.Hosts {
			host := make([][]*aloneServer, len(s.Services))
			for i, service := range s.Services {
				for _, server := range service.Servers {
					host[i] = append(host[i], &aloneServer{server: server, limit: p.firstLimit(server)})
				}
			}
			p.hosts = append(p.hosts, host)
			p.waiting = append(p.waiting, make([][]*aloneLeg, len(s.Services)))
		}
		return p
	}}
}

type alone struct {
	sim     *Sim
	static  bool
	hosts   [][][]*aloneServer // by host, service, server
	waiting [][][]*aloneLeg    // by host, service; in order of arrival
	calls   map[*Leg]*Call
}

type aloneServer struct {
	server   *Server
	inFlight int
	reported int
	limit    float64
}

type aloneLeg struct {
	leg   *Leg
	pause time.Duration
}

func (p *alone) firstLimit(server *Server) float64 {
	if p.static {
		return max(1, float64(server.Slots)/float64(len(p.sim.Hosts)))
	}
	return float64(server.Slots)
}

// Submit queues the leg at its entry host.
func (p *alone) Submit(leg *Leg) { p.enqueue(&aloneLeg{leg: leg, pause: aloneRetryAfter}) }

// Cancel cancels the leg's call; a waiting leg is dropped when its turn comes.
func (p *alone) Cancel(leg *Leg) {
	if call := p.calls[leg]; call != nil {
		call.Cancel()
	}
}

func (p *alone) enqueue(l *aloneLeg) {
	queue := &p.waiting[l.leg.Query.Host][l.leg.Service.Index]
	*queue = append(*queue, l)
	p.dispatch(l.leg.Query.Host, l.leg.Service.Index)
}

func (p *alone) dispatch(host, service int) {
	queue := &p.waiting[host][service]
	for len(*queue) > 0 {
		l := (*queue)[0]
		if l.leg.Query.over {
			*queue = (*queue)[1:]
			continue
		}
		server := p.choose(p.hosts[host][service])
		if server == nil {
			return
		}
		*queue = (*queue)[1:]
		p.start(host, l, server)
	}
}

// choose is the better of two servers drawn at random, if it is under its limit.
func (p *alone) choose(servers []*aloneServer) *aloneServer {
	a := servers[p.sim.Choices.IntN(len(servers))]
	b := servers[p.sim.Choices.IntN(len(servers))]
	if a.full() || (!b.full() && b.inFlight+b.reported < a.inFlight+a.reported) {
		a = b
	}
	if a.full() {
		return nil
	}
	return a
}

func (s *aloneServer) full() bool { return float64(s.inFlight) >= max(1, s.limit) }

func (p *alone) start(host int, l *aloneLeg, server *aloneServer) {
	server.inFlight++
	p.calls[l.leg] = p.sim.Send(host, server.server, l.leg, func(end home.AttemptResult) {
		server.inFlight--
		delete(p.calls, l.leg)
		p.learn(server, end)
		p.ended(l, end)
		p.dispatch(host, l.leg.Service.Index)
	})
}

func (p *alone) learn(server *aloneServer, end home.AttemptResult) {
	if end.HasLoad {
		server.reported = end.Load.Running
	}
	if p.static {
		return
	}
	if end.Fault == backend.FaultShed {
		server.limit = max(1, server.limit*aloneDecrease)
	} else {
		server.limit = min(float64(server.server.Slots), server.limit+aloneIncrease)
	}
}

func (p *alone) ended(l *aloneLeg, end home.AttemptResult) {
	switch {
	case l.leg.Query.over:
	case end.Outcome == result.OutcomeRan:
		p.sim.Answer(l.leg)
	default:
		pause := l.pause/2 + time.Duration(p.sim.Choices.Int64N(int64(l.pause)))
		l.pause = min(2*l.pause, aloneMaxPause)
		p.sim.After(pause, func() { p.enqueue(l) })
	}
}
