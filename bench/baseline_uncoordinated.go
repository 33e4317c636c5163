package bench

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Parameters of the policies without coordination between hosts.
const (
	minRetryDelay = 2 * time.Millisecond // after the first refusal, doubled for each further one
	maxRetryDelay = 64 * time.Millisecond
	limitDecrease = 0.7 // factor of the limit for a refusal
	limitIncrease = 0.1 // requests added to the limit for an answer
)

// UncoordinatedBaseline lets each entry host decide by itself: power of two
// choices on its own requests in flight and the last reported load, with an AIMD
// concurrency limit for each server. With static, the limit is instead the host's
// equal share of the server's slots, at least one.
func UncoordinatedBaseline(name string, static bool) PolicySpec {
	return PolicySpec{Name: name, New: func(s *Sim) Policy {
		p := &uncoordinated{sim: s, static: static, calls: make(map[*Leg]*Call)}
		for range s.Hosts {
			host := make([][]*uncoordinatedServer, len(s.Services))
			for i, service := range s.Services {
				for _, server := range service.Servers {
					host[i] = append(host[i], &uncoordinatedServer{server: server, limit: p.initialLimit(server)})
				}
			}
			p.hosts = append(p.hosts, host)
			p.waiting = append(p.waiting, make([][]*uncoordinatedLeg, len(s.Services)))
		}
		return p
	}}
}

type uncoordinated struct {
	sim     *Sim
	static  bool
	hosts   [][][]*uncoordinatedServer // by host, service, server
	waiting [][][]*uncoordinatedLeg    // by host, service; in arrival order
	calls   map[*Leg]*Call
}

type uncoordinatedServer struct {
	server   *Server
	inFlight int
	reported int
	limit    float64
}

type uncoordinatedLeg struct {
	leg        *Leg
	retryDelay time.Duration
}

func (p *uncoordinated) initialLimit(server *Server) float64 {
	if p.static {
		return max(1, float64(server.Slots)/float64(len(p.sim.Hosts)))
	}
	return float64(server.Slots)
}

// Submit queues the leg at its entry host.
func (p *uncoordinated) Submit(leg *Leg) {
	p.enqueue(&uncoordinatedLeg{leg: leg, retryDelay: minRetryDelay})
}

// Cancel cancels the leg's call; dispatch drops a waiting leg of an ended query.
func (p *uncoordinated) Cancel(leg *Leg) {
	if call := p.calls[leg]; call != nil {
		call.Cancel()
	}
}

func (p *uncoordinated) enqueue(l *uncoordinatedLeg) {
	queue := &p.waiting[l.leg.Query.Host][l.leg.Service.Index]
	*queue = append(*queue, l)
	p.dispatch(l.leg.Query.Host, l.leg.Service.Index)
}

func (p *uncoordinated) dispatch(host, service int) {
	queue := &p.waiting[host][service]
	for len(*queue) > 0 {
		l := (*queue)[0]
		if l.leg.Query.ended {
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

// choose returns the less loaded of two random servers; nil if both are at their
// limits.
func (p *uncoordinated) choose(servers []*uncoordinatedServer) *uncoordinatedServer {
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

func (s *uncoordinatedServer) full() bool { return float64(s.inFlight) >= max(1, s.limit) }

func (p *uncoordinated) start(host int, l *uncoordinatedLeg, server *uncoordinatedServer) {
	server.inFlight++
	p.calls[l.leg] = p.sim.Send(host, server.server, l.leg, func(res home.AttemptResult) {
		server.inFlight--
		delete(p.calls, l.leg)
		p.updateLimit(server, res)
		p.handleResult(l, res)
		p.dispatch(host, l.leg.Service.Index)
	})
}

func (p *uncoordinated) updateLimit(server *uncoordinatedServer, res home.AttemptResult) {
	if res.HasLoad {
		server.reported = res.Load.Running
	}
	if p.static {
		return
	}
	if res.Fault == backend.FaultShed {
		server.limit = max(1, server.limit*limitDecrease)
	} else {
		server.limit = min(float64(server.server.Slots), server.limit+limitIncrease)
	}
}

func (p *uncoordinated) handleResult(l *uncoordinatedLeg, res home.AttemptResult) {
	switch {
	case l.leg.Query.ended:
	case res.Outcome == result.OutcomeRan:
		p.sim.Answer(l.leg)
	default:
		retryDelay := l.retryDelay/2 + time.Duration(p.sim.Choices.Int64N(int64(l.retryDelay)))
		l.retryDelay = min(2*l.retryDelay, maxRetryDelay)
		p.sim.After(retryDelay, func() { p.enqueue(l) })
	}
}
