package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/place"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Sim is one run of one case with one policy.
type Sim struct {
	Case     Case
	Services []*Service
	Hosts    []*Host
	// Arrivals, Times and Choices are independent random streams, so that all
	// policies get the same arrivals.
	Arrivals, Times, Choices *rand.Rand

	policy    Policy
	admission Admission
	now       time.Duration
	seq       uint64
	events    eventHeap
	queries   uint64
	result    *Result
}

// Host is one entry host.
type Host struct {
	Index int
	Zone  int
	// Down hosts answer nothing and get no queries.
	Down bool
	// View is this host's view of the membership; hosts share one unless a case
	// makes the views differ.
	View *member.View

	processorFree time.Duration // when the processor has done what it was given
}

// Service is the set of simulated backend servers of one shard.
type Service struct {
	Index   int
	Name    string
	Servers []*Server
}

// Run simulates the case with the policy and returns the result.
func Run(c Case, spec PolicySpec, seed uint64) *Result {
	c = c.withDefaults()
	s := newSim(c, seed)
	s.result = newResult(c, spec.Name, seed)
	s.policy = spec.New(s)
	s.admission = admitAll{s}
	if c.Admission != nil {
		s.admission = c.Admission(s)
	}
	if spec.Admission != nil {
		s.admission = spec.Admission(s)
	}
	for _, change := range c.Changes {
		s.At(change.At, func() { change.Apply(s) })
	}
	s.scheduleArrivals()
	s.runEvents()
	s.result.close()
	return s.result
}

func newSim(c Case, seed uint64) *Sim {
	s := &Sim{
		Case:     c,
		Arrivals: rand.New(rand.NewPCG(seed, 1)),
		Times:    rand.New(rand.NewPCG(seed, 2)),
		Choices:  rand.New(rand.NewPCG(seed, 3)),
	}
	for i := range c.Shape.EntryHosts {
		s.Hosts = append(s.Hosts, &Host{Index: i, Zone: i % c.Shape.Zones})
	}
	s.SyncViews()
	for i := range c.Shape.Services {
		s.Services = append(s.Services, newService(s, i))
	}
	return s
}

// Now returns the virtual time.
func (s *Sim) Now() time.Time { return epoch.Add(s.now) }

// Elapsed returns the virtual time since the start of the run.
func (s *Sim) Elapsed() time.Duration { return s.now }

// After calls fn after the virtual time d.
func (s *Sim) After(d time.Duration, fn func()) { s.At(s.now+d, fn) }

// At calls fn at a virtual time since the start, or now if that has passed.
func (s *Sim) At(at time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.events, event{at: max(at, s.now), seq: s.seq, fn: fn})
}

// runEvents runs events until none is left or every query has passed its deadline:
// periodic timers must not keep the run alive.
func (s *Sim) runEvents() {
	end := s.Case.Length + s.Case.longestDeadline() + time.Second
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		if next.at > end {
			return
		}
		s.now = next.at
		next.fn()
	}
}

// OnProcessor calls fn when the processor of the host has done the work of the given
// number of legs, after all that it was given before.
func (s *Sim) OnProcessor(host, legs int, fn func()) {
	if s.Case.Shape.HostTimePerLeg == 0 {
		fn()
		return
	}
	h := s.Hosts[host]
	h.processorFree = max(s.now, h.processorFree) + time.Duration(legs)*s.Case.Shape.HostTimePerLeg
	s.At(h.processorFree, fn)
}

// ProcessorDelay returns how long new work waits for the processor of the host.
func (s *Sim) ProcessorDelay(host int) time.Duration {
	return max(0, s.Hosts[host].processorFree-s.now)
}

// Hop returns the one-way latency between two availability zones.
func (s *Sim) Hop(a, b int) time.Duration {
	if a == b {
		return s.Case.Shape.HopSameZone
	}
	return s.Case.Shape.HopOtherZone
}

// HostHop returns the one-way latency between two entry hosts.
func (s *Sim) HostHop(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return s.Hop(s.Hosts[a].Zone, s.Hosts[b].Zone)
}

// SyncViews gives every host the same correct view of the membership.
func (s *Sim) SyncViews() {
	view := s.ViewOf(func(h *Host) bool { return !h.Down })
	for _, h := range s.Hosts {
		h.View = view
	}
}

// ViewOf returns a view in which the hosts that alive selects are alive.
func (s *Sim) ViewOf(alive func(*Host) bool) *member.View {
	view := &member.View{}
	for _, h := range s.Hosts {
		m := member.Host{ID: hostID(h.Index), Region: regionName, Zone: zoneName(h.Zone)}
		if !alive(h) {
			m.State = member.StateDead
		}
		view.Hosts = append(view.Hosts, m)
	}
	return view
}

// PlacedServices returns the services as input of package place.
func (s *Sim) PlacedServices() []place.Service {
	placed := make([]place.Service, len(s.Services))
	for i, service := range s.Services {
		placed[i].Name = service.Name
		for _, server := range service.Servers {
			placed[i].Locations = append(placed[i].Locations, place.Location{Region: regionName, Zone: zoneName(server.Zone)})
		}
	}
	return placed
}

type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is part of heap.Interface.
func (h *eventHeap) Pop() any {
	events := *h
	last := events[len(events)-1]
	events[len(events)-1] = event{}
	*h = events[:len(events)-1]
	return last
}
