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

// action is one thing that happens to one of three hosts, for a while.
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
	actNothingIn
	actNothingOut
	actCutOff
	actLeave
	actKinds
)

var actionNames = [actKinds]string{
	"nothing", "duplicates", "pause", "restart", "nothing in", "nothing out", "cut off", "leave",
}

func (a action) String() string {
	return fmt.Sprintf("%s %d for %v", actionNames[a.kind], a.host, a.length)
}

// allActions: the short one ends before a suspicion runs out, the long one
// after it.
func allActions() []action {
	var all []action
	for _, length := range []time.Duration{900 * time.Millisecond, 4 * time.Second} {
		all = append(all, action{actNothing, 0, length}, action{actDuplicate, 0, length})
		for kind := actPause; kind < actKinds; kind++ {
			for host := range 3 {
				all = append(all, action{kind, host, length})
			}
		}
	}
	return all
}

// model plays actions on three hosts and checks what must hold after each.
type model struct {
	*simulation
	lives   map[*node]map[ident.HostID]ident.Incarnation // newest life shown
	leaving map[ident.HostID]ident.Incarnation           // life that announced it
	left    map[*node]map[ident.HostID]ident.Incarnation // life shown as leaving
	states  func(hash uint64)
}

func newModel(states func(uint64)) *model {
	m := &model{
		simulation: newSimulation(1),
		lives:      make(map[*node]map[ident.HostID]ident.Incarnation),
		leaving:    make(map[ident.HostID]ident.Incarnation),
		left:       make(map[*node]map[ident.HostID]ident.Incarnation),
		states:     states,
	}
	m.fleet(3, 1, 3)
	m.run(700 * time.Millisecond)
	return m
}

func (m *model) do(a action) string {
	n := m.list[a.host]
	m.blocked, m.duplicate = nil, 0
	switch a.kind {
	case actDuplicate:
		m.duplicate = 1
	case actPause:
		m.pause(n, a.length)
	case actRestart:
		m.start(string(n.self.ID), n.region, n.zone)
	case actNothingIn:
		m.blocked = func(_, to *node) bool { return to.address == n.address }
	case actNothingOut:
		m.blocked = func(from, _ *node) bool { return from.address == n.address }
	case actCutOff:
		m.blocked = func(from, to *node) bool { return from.address == n.address || to.address == n.address }
	case actLeave:
		n.Leave(m.now)
		m.leaving[n.self.ID] = n.self.Incarnation
	}
	return m.runChecked(a.length)
}

// runChecked checks the invariants each 300 ms.
func (m *model) runChecked(d time.Duration) string {
	for ; d > 0; d -= 300 * time.Millisecond {
		m.run(min(d, 300*time.Millisecond))
		for _, n := range m.list {
			if fault := m.check(n); fault != "" {
				return fmt.Sprintf("at %v, %s: %s", m.now.Sub(simStart), n.self.ID, fault)
			}
		}
		m.states(m.hash())
	}
	return ""
}

func (m *model) check(n *node) string {
	if m.lives[n] == nil {
		m.lives[n] = make(map[ident.HostID]ident.Incarnation)
		m.left[n] = make(map[ident.HostID]ident.Incarnation)
	}
	lost := 0
	for _, h := range n.View().Hosts {
		if h.Incarnation < m.lives[n][h.ID] {
			return fmt.Sprintf("%s went back to an earlier life", h.ID)
		}
		m.lives[n][h.ID] = h.Incarnation
		if h.State == StateLeaving {
			m.left[n][h.ID] = h.Incarnation
		}
		if h.Serving() && m.left[n][h.ID] == h.Incarnation {
			return fmt.Sprintf("%s is given work again after it left", h.ID)
		}
		if h.State == StateDead && m.leaving[h.ID] != h.Incarnation {
			lost++
		}
	}
	if lost > 1 && len(m.leaving) == 0 {
		return "probes alone emptied half of the fleet"
	}
	if self, _ := n.View().Find(n.self.ID); !n.replaced && self.State > StateLeaving {
		return "a running host believes itself dead"
	}
	return ""
}

// heals demands that after a quiet time every host is seen by every other in
// its present life, serving or leaving as it said.
func (m *model) heals() string {
	m.blocked, m.duplicate = nil, 0
	if fault := m.runChecked(9 * time.Second); fault != "" {
		return fault
	}
	for _, n := range m.list {
		for _, other := range m.list {
			h, _ := n.View().Find(other.self.ID)
			leaving := m.leaving[other.self.ID] == other.self.Incarnation
			if h.Incarnation != other.self.Incarnation || h.Serving() == leaving || (!leaving && h.State != StateAlive) {
				return fmt.Sprintf("%s sees %s as %v", n.self.ID, other.self.ID, h.State)
			}
		}
	}
	return ""
}

func (m *model) hash() uint64 {
	h := fnv.New64a()
	for _, n := range m.list {
		for _, r := range n.sorted {
			wait := time.Duration(0)
			if r.State == StateSuspect {
				wait = r.suspectUntil.Sub(m.now).Truncate(300 * time.Millisecond)
			}
			age := m.now.UnixMilli() - int64(r.Incarnation>>22)
			fmt.Fprintf(h, "%s %d %d %d %v %d %d;", r.ID, r.State, r.refutation, age/300, wait, len(n.probes), len(n.news.items))
		}
	}
	return h.Sum64()
}

func playModel(actions []action, states func(uint64)) string {
	m := newModel(states)
	for _, a := range actions {
		if fault := m.do(a); fault != "" {
			return fault
		}
	}
	return m.heals()
}

// Callers see a host vanish for good, or a dead one get their requests, after
// some order of pauses, restarts, lost and doubled messages that nobody thought
// of. All sequences of two actions (three with GOLDCRESTSPAN_LONG) on three
// hosts are played.
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
				if fault := playModel(sequences[i], note); fault != "" {
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

// The same with longer random sequences.
func TestRandomSequencesOnThreeHosts(t *testing.T) {
	all := allActions()
	rapid.Check(t, func(t *rapid.T) {
		actions := rapid.SliceOfN(rapid.SampledFrom(all), 3, 10).Draw(t, "actions")
		if fault := playModel(actions, func(uint64) {}); fault != "" {
			t.Fatalf("%v: %s", actions, fault)
		}
	})
}
