package quarantine

import (
	"fmt"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/result"
)

type fleetHost struct {
	name     ident.HostID
	tracker  *Tracker
	suspects *Suspects
	leases   *Leases
	listed   map[*fleetServer]Server // instance that this host knows
	view     *member.View
	up, cut  bool
	life     int // rises with each start
}

const (
	// fleetViewDelay is the longest time until a host sees that another one is lost or back.
	fleetViewDelay = 1500 * time.Millisecond
	// fleetRPCTime is the longest time of a call between hosts, one way.
	fleetRPCTime = 10 * time.Millisecond
	// fleetRPCTimeout is when a call that gets no answer ends.
	fleetRPCTimeout = 250 * time.Millisecond
	canaryKey       = "canaries"
)

// start starts the host without any state but what its peers tell it.
func (s *fleetSim) start(h *fleetHost) {
	h.tracker, h.suspects = NewTracker(), NewSuspects(NewRegistry(testBundle()))
	h.leases = NewLeases(h.suspects)
	h.up, h.life = true, h.life+1
	h.view = &member.View{Self: h.name, Hosts: []member.Host{{ID: h.name}}}
	h.leases.SetCoordinator(s.now, true)
	for _, peer := range s.hosts {
		if peer != h && peer.up && s.connected(h, peer) {
			s.sync(h, peer)
			return
		}
	}
}

// sync tells a host the reports on suspects that a peer has.
func (s *fleetSim) sync(h, peer *fleetHost) {
	for _, f := range peer.suspects.suspects.Keys() {
		if p, _ := peer.suspects.suspects.Peek(f); p.isSuspect(s.now) {
			for _, t := range p.reports {
				if t.announced {
					h.suspects.Merge(s.now, PastReport{Report: t.Report})
				}
			}
		}
	}
}

func (s *fleetSim) connected(a, b *fleetHost) bool { return a == b || !a.cut && !b.cut }

func (s *fleetSim) coordinatorOf(h *fleetHost) *fleetHost {
	chosen, _ := h.view.Choose(canaryKey)
	for _, other := range s.hosts {
		if other.name == chosen.ID {
			return other
		}
	}
	return nil
}

// updateViews tells each host, after a time of its own, which hosts it reaches.
func (s *fleetSim) updateViews(longest time.Duration) {
	for _, h := range s.hosts {
		s.after(time.Duration(s.rnd.Int64N(int64(longest)+1)), func() {
			h.view = &member.View{Self: h.name}
			for _, other := range s.hosts {
				state := member.StateDead
				if other.up && s.connected(h, other) {
					state = member.StateAlive
				}
				h.view.Hosts = append(h.view.Hosts, member.Host{ID: other.name, State: state})
			}
			h.leases.SetCoordinator(s.now, s.coordinatorOf(h) == h)
		})
	}
}

// kill ends a host: its attempts break off. It starts again later.
func (s *fleetSim) kill(h *fleetHost, back time.Duration) {
	h.up = false
	for _, pair := range s.servers {
		for _, server := range pair {
			for id, l := range server.running {
				if l.search.host == h {
					delete(server.running, id)
					s.endRun(l)
				}
			}
		}
	}
	s.after(back, func() {
		s.start(h)
		s.updateViews(fleetViewDelay)
	})
	s.updateViews(fleetViewDelay)
}

// call calls another host; reply is called without an answer if there is none in time. What the
// caller does after its own end is dropped.
func (s *fleetSim) call(from, to *fleetHost, do func() (answer func())) {
	life := from.life
	answered := false
	s.after(s.rpcTime(from, to), func() {
		if !to.up || !s.connected(from, to) {
			return
		}
		answer := do()
		s.after(s.rpcTime(from, to), func() {
			if from.up && from.life == life && !answered && s.connected(from, to) {
				answered = true
				answer()
			}
		})
	})
}

func (s *fleetSim) rpcTime(from, to *fleetHost) time.Duration {
	if from == to {
		return 0
	}
	return time.Duration(s.rnd.Int64N(int64(fleetRPCTime)))
}

func (s *fleetSim) killHosts(k fleetKill) {
	victims := []*fleetHost{s.hosts[s.rnd.IntN(len(s.hosts))]}
	switch {
	case k.all:
		victims = s.hosts
	case k.coordinator:
		victims = []*fleetHost{s.coordinatorOf(victims[0])}
	}
	for _, h := range victims {
		if h.up {
			s.kill(h, k.back)
		}
	}
}

// acquire asks for the lease of a canary and runs it.
func (s *fleetSim) acquire(q *fleetSearch, service int) {
	h, life, decided := q.host, q.host.life, false
	request := CanaryRequest{Fingerprint: q.f, Host: string(h.name), Service: fmt.Sprint(service), Duration: 2 * time.Second, Findings: h.suspects.Findings(s.now, q.f)}
	coordinator := s.coordinatorOf(h)
	s.call(h, coordinator, func() func() {
		decision := coordinator.leases.Acquire(s.now, request)
		return func() {
			if decided {
				return
			}
			decided = true
			if decision.Cleared {
				h.suspects.RecordAnswer(s.now, q.f)
				q.canary = false
				for i := range s.services {
					s.sendLeg(q, i, false)
				}
				return
			}
			if decision.Refusal == nil {
				q.leasedBy = coordinator
				s.sendLeg(q, service, false)
				return
			}
			if decision.Refusal.Code == result.Quarantined {
				s.refused[q.f] = true
				h.suspects.Quarantine(s.now, q.f, decision.Evidence)
			}
			h.suspects.EndCanary(q.f)
		}
	})
	s.after(fleetRPCTimeout, func() {
		if !decided && h.life == life {
			decided = true
			h.suspects.EndCanary(q.f)
		}
	})
}

// endCanary returns the lease of a canary.
func (s *fleetSim) endCanary(q *fleetSearch, end CanaryEnd) {
	h, coordinator := q.host, q.leasedBy
	h.suspects.EndCanary(q.f)
	findings := h.suspects.Findings(s.now, q.f)
	s.call(h, coordinator, func() func() {
		coordinator.leases.Release(s.now, q.f, string(h.name), end, findings)
		return func() {}
	})
}
