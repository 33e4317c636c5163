package freshness

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	modelLimit = 4 * time.Second
	modelStep  = 50 * time.Millisecond
	modelHosts = 5
)

// modelHost is a host of the model; its versions are applied by a loop that may hang.
type modelHost struct {
	tracker      Tracker
	gate         *Gate
	arrived      uint64
	stoppedUntil time.Time     // the process does not run
	pause        time.Duration // the length of that
	hungUntil    time.Time     // only the loop that applies versions does not run
	storeAway    bool          // the store does not answer this host
}

// model is a store that acknowledges versions, and hosts that hear of them from the store and from
// each other, in random order.
type model struct {
	rng   *rand.Rand
	now   time.Time
	hosts []*modelHost
	acked []time.Time // by version - 1
	down  bool        // the store answers nobody
	// refused counts refusals, refusedNewest those by hosts that have the newest version in force
	// and have run for longer than the limit.
	refused, refusedNewest int
}

func newModel(seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	for range modelHosts {
		m.hosts = append(m.hosts, &modelHost{gate: NewGate(modelLimit)})
	}
	m.acked = append(m.acked, m.now)
	return m
}

func (m *model) newest() uint64          { return uint64(len(m.acked)) }
func (m *model) chance(percent int) bool { return m.rng.IntN(100) < percent }
func (m *model) runs(h *modelHost) bool  { return !m.now.Before(h.stoppedUntil) }
func (m *model) upTo(max time.Duration) time.Time {
	return m.now.Add(time.Duration(m.rng.Int64N(int64(max))))
}

// step injects faults, lets each running host hear, apply and decide, and checks the decisions.
func (m *model) step(t *testing.T) {
	m.now = m.now.Add(modelStep)
	switch h := m.hosts[m.rng.IntN(modelHosts)]; m.rng.IntN(60) {
	case 0:
		if m.runs(h) {
			h.stoppedUntil = m.upTo(3 * modelLimit)
			h.pause = h.stoppedUntil.Sub(m.now)
		}
	case 1:
		h.hungUntil = m.upTo(3 * modelLimit)
	case 2:
		h.storeAway = !h.storeAway
	case 3:
		m.down = m.chance(30)
	case 4, 5:
		if !m.down {
			m.acked = append(m.acked, m.now)
		}
	}
	for _, h := range m.hosts {
		if m.runs(h) {
			m.decide(t, h) // before it hears anything, as a host that has just woken
			m.hear(h)
			m.decide(t, h)
			h.gate.Tick(m.now)
		}
	}
}

// hear delivers what the store and a peer tell the host, and applies it.
func (m *model) hear(h *modelHost) {
	if !m.down && !h.storeAway && m.chance(10) {
		h.arrived = m.newest()
		h.tracker.Arrived(m.now, h.arrived, Store)
		h.tracker.Confirmed(h.arrived, m.now, Store)
	}
	if peer := m.hosts[m.rng.IntN(modelHosts)]; peer != h && m.runs(peer) && m.chance(10) {
		state := peer.tracker.State(m.now)
		h.tracker.Announced(m.now, state.InForce, "peer")
		h.tracker.Confirmed(state.InForce, state.Confirmed.At, "peer")
		if m.chance(80) {
			h.arrived = max(h.arrived, state.InForce)
			h.tracker.Arrived(m.now, h.arrived, "peer")
		}
	}
	if !m.now.Before(h.hungUntil) {
		h.tracker.Applied(m.now, h.arrived)
	}
}

// decide checks that a host that knows of a version for as long as it may take does not serve by an
// older one, nor a host that has woken by one that has become outdated meanwhile.
func (m *model) decide(t *testing.T, h *modelHost) {
	state := h.tracker.State(m.now)
	if state.InForce == 0 {
		return // serves nothing yet
	}
	reason := h.gate.Check(m.now, state)
	if reason != ReasonNone {
		m.refused++
		if state.InForce == m.newest() && m.now.Sub(h.stoppedUntil) > modelLimit {
			m.refusedNewest++
		}
		return
	}
	known := slices.IndexFunc(h.tracker.pending, func(s sighting) bool { return m.now.Sub(s.since) > modelLimit })
	if known >= 0 {
		t.Fatalf("serves by version %d, while %d has been known for over %v", state.InForce, h.tracker.pending[known].version, modelLimit)
	}
	if h.pause > modelLimit/2 && m.now.Sub(h.stoppedUntil) <= modelLimit/2 && m.outdatedFor(state.InForce) > modelLimit {
		t.Fatalf("serves by version %d after it stood still, outdated for %v", state.InForce, m.outdatedFor(state.InForce))
	}
}

// outdatedFor returns for how long a newer version than the given one has been acknowledged.
func (m *model) outdatedFor(version uint64) time.Duration {
	if version >= m.newest() {
		return 0
	}
	return m.now.Sub(m.acked[version])
}

// Guards against a host that serves by a version although it knows of a newer one, or has stood
// still, and against hosts that refuse for ever, whatever the order of changes, messages, pauses,
// hung loops and outages of the store.
func TestHostsServeByNoVersionThatTheyKnowToBeOutdated(t *testing.T) {
	is := is.New(t)
	refused := 0
	for seed := range uint64(200) {
		m := newModel(seed)
		for range 1200 {
			m.step(t)
		}
		refused += m.refused
		is.Equal(m.refusedNewest, 0)
		m.heal()
		for _, h := range m.hosts {
			is.Equal(h.gate.Check(m.now, h.tracker.State(m.now)), ReasonNone) // serves again
			is.Equal(h.tracker.State(m.now).InForce, m.newest())
		}
	}
	is.True(refused > 0)
}

// heal ends all faults and lets the hosts hear for a while.
func (m *model) heal() {
	m.down = false
	for _, h := range m.hosts {
		h.stoppedUntil, h.hungUntil, h.storeAway = time.Time{}, time.Time{}, false
	}
	for range 200 {
		m.now = m.now.Add(modelStep)
		for _, h := range m.hosts {
			m.hear(h)
			h.gate.Tick(m.now)
		}
	}
}

// Guards against a fleet that refuses everything since nothing confirms its version while the store
// is away, and against one that waits for a version that its only holder has lost.
func TestOutagesAndLostVersionsDoNotStopTheFleet(t *testing.T) {
	is := is.New(t)
	g, now := NewGate(modelLimit), at(0)
	var tr Tracker
	tr.Applied(now, 3)
	tr.Confirmed(3, now, Store)
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		g.Tick(now)
		is.Equal(g.Check(now, tr.State(now)), ReasonNone)
	}
	tr.Announced(now, 4, "peer")
	is.Equal(g.Check(now.Add(modelLimit/2), tr.State(now)), ReasonNone)
	late := now.Add(modelLimit/2 + 1)
	is.Equal(g.Check(late, tr.State(late)), ReasonBehind)
	lost := now.Add(announcementTTL + 1)
	g.Tick(late)
	g.Tick(lost.Add(-modelLimit / 2))
	is.Equal(tr.State(lost).BehindSince, time.Time{})

	var bad Tracker
	bad.Applied(now, 3)
	bad.Arrived(now, 4, Store)
	is.Equal(bad.State(now).BehindSince, now)
	bad.Rejected(4)
	is.Equal(bad.State(now).BehindSince, time.Time{}) // nobody can have it in force
	bad.Announced(now, 4, "peer")
	is.Equal(bad.State(now).BehindSince, now) // but somebody has
}
