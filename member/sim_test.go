package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// simulation runs many memberships over simulated links in virtual time.
type simulation struct {
	now       time.Time
	rng       *rand.Rand
	events    eventHeap
	order     uint64              // of the last event posted
	byAddress map[string]*simHost // by peer address
	hosts     []*simHost          // in the order of creation

	loss      float64                      // probability of losing a message
	duplicate float64                      // probability of delivering it twice
	blocked   func(from, to *simHost) bool // nil: no link is broken
	onConfig  func(h *simHost, update ConfigUpdate)
	bytes     uint64 // of all marshalled messages, lost ones included
	messages  uint64
	delivered map[*simHost]int // updates about servers and requests
	codec     bool             // marshal and unmarshal each message, for benchmarks
}

type simHost struct {
	*Membership
	address     string
	zone        string
	region      string
	down        bool
	pausedUntil time.Time
	nextEventAt time.Time
	sent        uint64 // bytes
	received    uint64 // bytes
}

type event struct {
	at    time.Time
	order uint64 // of posting; breaks ties
	to    *simHost
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64) *simulation {
	return &simulation{
		now:       simStart,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		byAddress: make(map[string]*simHost),
		delivered: make(map[*simHost]int),
	}
}

// addHosts adds hosts, round-robin over regions and zones, with complete views.
func (s *simulation) addHosts(count, regions, zones int) {
	for i := range count {
		region := fmt.Sprintf("region-%d", i%regions)
		zone := fmt.Sprintf("zone-%d%c", i%regions, 'a'+rune(i/regions%zones))
		s.start(fmt.Sprintf("host-%04d", i), region, zone)
	}
	s.exchangeViews()
}

// exchangeViews gives each host the complete view, as a sync does.
func (s *simulation) exchangeViews() {
	gossip := &memberpb.News{}
	for _, h := range s.hosts {
		gossip.Hosts = append(gossip.Hosts, h.self.fullUpdate())
	}
	for _, h := range s.hosts {
		h.merge(s.now, nil, gossip)
		h.broadcasts = newBroadcastQueue(s.now)
		h.urgent, h.pushAt = nil, time.Time{}
		h.joined = true
		for _, r := range h.sorted {
			r.firstSeenAt = s.now.Add(-time.Hour)
		}
		h.fillNeighbors()
	}
}

// start adds a host, or replaces the host with that name by a new incarnation.
func (s *simulation) start(name, region, zone string) *simHost {
	address := name + ":7700"
	config := Config{Self: Host{
		ID:            ident.HostID(name),
		Incarnation:   ident.Incarnation(uint64(s.now.UnixMilli())<<22 | s.rng.Uint64()&(1<<22-1)),
		PeerAddress:   address,
		CallerAddress: name + ":7701",
		Region:        region,
		Zone:          zone,
	}}
	if len(s.hosts) > 0 {
		config.Seeds = []string{s.hosts[0].address, s.hosts[len(s.hosts)-1].address}
	}
	h := &simHost{address: address, region: region, zone: zone}
	h.Membership = New(config, s.now, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	h.nextProbeAt = s.now.Add(time.Duration(s.rng.Int64N(int64(h.config.ProbeInterval))))
	if predecessor := s.byAddress[address]; predecessor != nil {
		predecessor.down = true
		for i := range s.hosts {
			if s.hosts[i] == predecessor {
				s.hosts[i] = h
			}
		}
	} else {
		s.hosts = append(s.hosts, h)
	}
	s.byAddress[address] = h
	s.schedule(h)
	return h
}

func (s *simulation) post(after time.Duration, to *simHost, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(after), order: s.order, to: to, run: run})
}

// schedule posts an event for when the host is due.
func (s *simulation) schedule(h *simHost) {
	due := h.NextDue()
	if due.Before(s.now) {
		due = s.now
	}
	if !h.nextEventAt.IsZero() && !due.Before(h.nextEventAt) && h.nextEventAt.After(s.now) {
		return
	}
	h.nextEventAt = due
	s.post(due.Sub(s.now), h, func() {})
}

// run processes events for the duration.
func (s *simulation) run(d time.Duration) {
	s.runUntil(d, func() bool { return false })
}

// runUntil processes events until the condition holds, checked every 50 ms, and
// returns how long that took.
func (s *simulation) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	begin := s.now
	end := s.now.Add(limit)
	next := s.now
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		for !next.After(e.at) {
			s.now = next
			if condition() {
				return next.Sub(begin), true
			}
			next = next.Add(50 * time.Millisecond)
		}
		s.now = e.at
		s.process(e)
	}
	s.now = end
	return limit, condition()
}

func (s *simulation) process(e event) {
	h := e.to
	if h.down {
		return
	}
	if h.pausedUntil.After(s.now) {
		s.post(h.pausedUntil.Sub(s.now), h, e.run)
		return
	}
	e.run()
	for _, call := range h.Tick(s.now) {
		s.call(h, call)
	}
	received := h.TakeReceived()
	s.delivered[h] += len(received.Backends) + len(received.Suspects)
	for _, update := range received.Configs {
		if s.onConfig != nil {
			s.onConfig(h, update)
		}
	}
	s.schedule(h)
}

func (s *simulation) latency(from, to *simHost) time.Duration {
	base := 500 * time.Microsecond
	if from.region != to.region {
		base = 40 * time.Millisecond
	}
	return base + time.Duration(s.rng.Int64N(int64(base)))
}

// send delivers a message, or loses or duplicates it.
func (s *simulation) send(from, to *simHost, message proto.Message, deliver func()) {
	size := uint64(proto.Size(message))
	if s.codec {
		marshalRoundTrip(message)
	}
	s.bytes += size
	s.messages++
	from.sent += size
	if to == nil || to.down || s.rng.Float64() < s.loss || (s.blocked != nil && s.blocked(from, to)) {
		return
	}
	to.received += size
	s.post(s.latency(from, to), to, deliver)
	if s.rng.Float64() < s.duplicate {
		s.post(time.Duration(s.rng.Int64N(int64(10*time.Second))), to, deliver)
	}
}

func (s *simulation) call(from *simHost, call Call) {
	to := s.byAddress[call.Address]
	switch {
	case call.Probe != nil:
		s.send(from, to, call.Probe, func() {
			if reply := to.ServeProbe(s.now, call.Probe); reply != nil {
				s.send(to, from, reply, func() { from.ProbeDone(s.now, call.Probe.Sequence, reply) })
			}
		})
	case call.ProbeFor != nil:
		s.send(from, to, call.ProbeFor, func() { s.relay(from, to, call.ProbeFor) })
	case call.Push != nil:
		s.send(from, to, call.Push, func() { to.ServePush(s.now, call.Push) })
	case call.Sync != nil:
		s.send(from, to, call.Sync, func() {
			if reply := to.ServeSync(s.now, call.Sync); reply != nil {
				s.send(to, from, reply, func() { from.SyncDone(s.now, reply) })
			}
		})
	case call.Recent != nil:
		s.send(from, to, call.Recent, func() {
			if reply := to.ServeRecent(s.now, call.Recent); reply != nil {
				s.send(to, from, reply, func() { from.RecentDone(s.now, call.Recent, reply) })
			}
		})
	}
}

func (s *simulation) relay(from, helper *simHost, request *memberpb.ProbeForRequest) {
	outward := helper.RelayProbe(s.now, request)
	if outward == nil {
		return
	}
	target := s.byAddress[request.TargetAddress]
	s.send(helper, target, outward, func() {
		reply := target.ServeProbe(s.now, outward)
		if reply == nil {
			return
		}
		s.send(target, helper, reply, func() {
			answer := helper.RelayDone(s.now, request, reply)
			s.send(helper, from, answer, func() { from.ProbeForDone(s.now, request.Sequence, answer) })
		})
	})
}

// kill stops the host for good without an announcement.
func (h *simHost) kill() { h.down = true }

func (s *simulation) pause(h *simHost, d time.Duration) { h.pausedUntil = s.now.Add(d) }

// all reports whether the condition holds on each running host.
func (s *simulation) all(condition func(h *simHost) bool) bool {
	for _, h := range s.hosts {
		if !h.down && !condition(h) {
			return false
		}
	}
	return true
}

// stateOf is the state of a host in the published view of h.
func (h *simHost) stateOf(id ident.HostID) State {
	entry, found := h.View().Find(id)
	if !found {
		return StateDead
	}
	return entry.State
}

// serving counts the serving hosts in the view of h.
func (h *simHost) serving() int {
	total := 0
	for _, entry := range h.View().Hosts {
		if entry.Serving() {
			total++
		}
	}
	return total
}

func (s *simulation) falseDeaths() uint64 {
	var total uint64
	for _, h := range s.hosts {
		total += h.counters.FalseDeaths
	}
	return total
}
