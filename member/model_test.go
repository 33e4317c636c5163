package member

import (
	"fmt"
	"hash/fnv"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

// action is a fault or event on one of three hosts, and its duration.
type action struct {
	kind   int
	host   int
	length time.Duration
}

const (
	actNothing = iota
	actDuplicate
	actPause
	actRestart
	actBlockInbound
	actBlockOutbound
	actIsolate
	actLeave
	actCount
)

var actionNames = [actCount]string{
	"nothing", "duplicates", "pause", "restart", "nothing in", "nothing out", "cut off", "leave",
}

func (a action) String() string {
	return fmt.Sprintf("%s %d for %v", actionNames[a.kind], a.host, a.length)
}

// allActions has each action twice: shorter and longer than the suspicion timeout.
func allActions() []action {
	var all []action
	for _, length := range []time.Duration{900 * time.Millisecond, 4 * time.Second} {
		all = append(all, action{actNothing, 0, length}, action{actDuplicate, 0, length})
		for kind := actPause; kind < actCount; kind++ {
			for host := range 3 {
				all = append(all, action{kind, host, length})
			}
		}
	}
	return all
}

// model runs actions on three hosts and checks the invariants.
type model struct {
	*simulation
	incarnations     map[*simHost]map[ident.HostID]ident.Incarnation // highest in the view
	announcedLeaving map[ident.HostID]ident.Incarnation              // announced by the host
	seenLeaving      map[*simHost]map[ident.HostID]ident.Incarnation // in the view as leaving
	onState          func(hash uint64)
}

func newModel(states func(uint64)) *model {
	m := &model{
		simulation:       newSimulation(1),
		incarnations:     make(map[*simHost]map[ident.HostID]ident.Incarnation),
		announcedLeaving: make(map[ident.HostID]ident.Incarnation),
		seenLeaving:      make(map[*simHost]map[ident.HostID]ident.Incarnation),
		onState:          states,
	}
	m.addHosts(3, 1, 3)
	m.run(700 * time.Millisecond)
	return m
}

func (m *model) perform(a action) string {
	h := m.hosts[a.host]
	m.blocked, m.duplicate = nil, 0
	switch a.kind {
	case actDuplicate:
		m.duplicate = 1
	case actPause:
		m.pause(h, a.length)
	case actRestart:
		m.start(string(h.self.ID), h.region, h.zone)
	case actBlockInbound:
		m.blocked = func(_, to *simHost) bool { return to.address == h.address }
	case actBlockOutbound:
		m.blocked = func(from, _ *simHost) bool { return from.address == h.address }
	case actIsolate:
		m.blocked = func(from, to *simHost) bool { return from.address == h.address || to.address == h.address }
	case actLeave:
		h.Leave(m.now)
		m.announcedLeaving[h.self.ID] = h.self.Incarnation
	}
	return m.runChecked(a.length)
}

// runChecked checks the invariants every 300 ms.
func (m *model) runChecked(d time.Duration) string {
	for ; d > 0; d -= 300 * time.Millisecond {
		m.run(min(d, 300*time.Millisecond))
		for _, h := range m.hosts {
			if fault := m.check(h); fault != "" {
				return fmt.Sprintf("at %v, %s: %s", m.now.Sub(simStart), h.self.ID, fault)
			}
		}
		m.onState(m.hash())
	}
	return ""
}

func (m *model) check(h *simHost) string {
	if m.incarnations[h] == nil {
		m.incarnations[h] = make(map[ident.HostID]ident.Incarnation)
		m.seenLeaving[h] = make(map[ident.HostID]ident.Incarnation)
	}
	dead := 0
	for _, entry := range h.View().Hosts {
		if entry.Incarnation < m.incarnations[h][entry.ID] {
			return fmt.Sprintf("%s went back to an earlier incarnation", entry.ID)
		}
		m.incarnations[h][entry.ID] = entry.Incarnation
		if entry.State == StateLeaving {
			m.seenLeaving[h][entry.ID] = entry.Incarnation
		}
		if entry.Serving() && m.seenLeaving[h][entry.ID] == entry.Incarnation {
			return fmt.Sprintf("%s is serving again after it left", entry.ID)
		}
		if entry.State == StateDead && m.announcedLeaving[entry.ID] != entry.Incarnation {
			dead++
		}
	}
	if dead > 1 && len(m.announcedLeaving) == 0 {
		return "half of the fleet is dead without confirmation"
	}
	if self, _ := h.View().Find(h.self.ID); !h.replaced && self.State > StateLeaving {
		return "a running host is dead in its own view"
	}
	return ""
}

// checkHealed checks that without faults every view soon has the current incarnation of each
// host, serving or leaving as the host announced.
func (m *model) checkHealed() string {
	m.blocked, m.duplicate = nil, 0
	if fault := m.runChecked(9 * time.Second); fault != "" {
		return fault
	}
	for _, h := range m.hosts {
		for _, other := range m.hosts {
			entry, _ := h.View().Find(other.self.ID)
			leaving := m.announcedLeaving[other.self.ID] == other.self.Incarnation
			if entry.Incarnation != other.self.Incarnation || entry.Serving() == leaving || (!leaving && entry.State != StateAlive) {
				return fmt.Sprintf("%s sees %s as %v", h.self.ID, other.self.ID, entry.State)
			}
		}
	}
	return ""
}

// hash identifies the state, to count the distinct ones.
func (m *model) hash() uint64 {
	sum := fnv.New64a()
	for _, h := range m.hosts {
		for _, r := range h.sorted {
			remaining := time.Duration(0)
			if r.State == StateSuspect {
				remaining = r.suspectUntil.Sub(m.now).Truncate(300 * time.Millisecond)
			}
			age := m.now.UnixMilli() - int64(r.Incarnation>>22)
			fmt.Fprintf(sum, "%s %d %d %d %v %d %d;", r.ID, r.State, r.refutation, age/300, remaining, len(h.probes), len(h.broadcasts.items))
		}
	}
	return sum.Sum64()
}

func runModel(actions []action, states func(uint64)) string {
	m := newModel(states)
	for _, a := range actions {
		if fault := m.perform(a); fault != "" {
			return fault
		}
	}
	return m.checkHealed()
}

// Guards against sequences of pauses, restarts, lost and duplicated messages after
// which views stay wrong: all of two actions, or three with GOLDCRESTSPAN_LONG.
func TestEverySequenceOnThreeHosts(t *testing.T) {
	is := is.New(t)
	all := allActions()
	depth := 2
	if os.Getenv(longEnv) != "" {
		depth = 3
	}
	sequences := [][]action{{}}
	for range depth {
		var longer [][]action
		for _, s := range sequences {
			for _, a := range all {
				longer = append(longer, append(append([]action(nil), s...), a))
			}
		}
		sequences = longer
	}
	var seen sync.Map
	var distinct, steps, faults atomic.Int64
	note := func(hash uint64) {
		steps.Add(1)
		if _, known := seen.LoadOrStore(hash, true); !known {
			distinct.Add(1)
		}
	}
	var group sync.WaitGroup
	const workers = 4
	for w := range workers {
		group.Go(func() {
			for i := w; i < len(sequences); i += workers {
				if fault := runModel(sequences[i], note); fault != "" {
					if faults.Add(1) <= 5 {
						t.Logf("%v: %s", sequences[i], fault)
					}
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d sequences, %d states checked, %d distinct", len(sequences), steps.Load(), distinct.Load())
	is.Equal(faults.Load(), int64(0))
}

// Guards against the same faults in longer random sequences.
func TestRandomSequencesOnThreeHosts(t *testing.T) {
	all := allActions()
	rapid.Check(t, func(t *rapid.T) {
		actions := rapid.SliceOfN(rapid.SampledFrom(all), 3, 10).Draw(t, "actions")
		if fault := runModel(actions, func(uint64) {}); fault != "" {
			t.Fatalf("%v: %s", actions, fault)
		}
	})
}
