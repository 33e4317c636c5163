package home

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Guards against a leg that runs on more servers than allowed when another host takes it over: while
// its reserved server is slow, the home must not use up the limit on the others.
func TestLegLeavesItsReservedServerToTheNextHost(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, config(), 3)
	reserved := func(server string) (serversUsed map[string]bool) {
		now := start
		home := New(config(), 0)
		acts := home.SetServers(now, h.servers, nil)
		acts = home.Submit(now, Leg{
			ID: 1, Deadline: now.Add(time.Minute), Idempotent: true, MaxServers: 2, ReservedServer: server,
		}, acts)
		serversUsed = make(map[string]bool)
		for len(acts) > 0 && acts[0].Kind == ActionStart {
			serversUsed[acts[0].Server] = true
			now = now.Add(10 * time.Millisecond)
			acts = home.Finish(now, acts[0].Attempt, AttemptResult{Outcome: result.OutcomeUnknown, Fault: backend.FaultConnectionLost}, nil)
		}
		return serversUsed
	}
	is.Equal(reserved("s2"), map[string]bool{"s0": true, "s2": true})
	is.Equal(len(reserved("s0")), 2)                        // the first attempt uses the reserved one
	is.Equal(reserved("gone"), map[string]bool{"s0": true}) // the next host doesn't know that it is gone
	is.Equal(reserved(""), map[string]bool{"s0": true, "s1": true})
}

// Guards against hedges that have only a slow server left: the home names a faster one for the legs
// that follow, and keeps to it while it is good enough.
func TestHomePrefersAFastServerToASlowReservedOne(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, config(), 3)
	for _, s := range h.home.servers {
		spent := 20 * time.Millisecond
		if s.spec.Name == "s0" {
			spent = 240 * time.Millisecond
		}
		for range 20 {
			s.serviceTimes[interactive].add(start, spent, true)
		}
	}
	preferred := h.home.PreferredServer(start, interactive, "s0")
	is.Equal(preferred, "s1")
	is.Equal(h.home.PreferredServer(start, interactive, preferred), "")
	is.Equal(h.home.PreferredServer(start, interactive, "s2"), "")
	is.Equal(h.home.PreferredServer(start, interactive, "gone"), "s1")
}

// takeoverModel runs one leg at its home, which may die, stand still or only be suspected, and at the
// host that takes it over.
type takeoverModel struct {
	rnd     *rand.Rand
	now     time.Time
	homes   [2]*Home // the leg's home, and that of the host that takes over
	open    [2][]Action
	mayRun  map[string]bool // servers that may have run the leg
	started int
}

// step lets the leg's attempts at one home end in any way, or time pass.
func (m *takeoverModel) step(i int) {
	m.now = m.now.Add(time.Duration(m.rnd.IntN(60)) * time.Millisecond)
	home := m.homes[i]
	if len(m.open[i]) == 0 || m.rnd.IntN(3) == 0 {
		m.carryOut(i, home.Tick(m.now, nil))
		return
	}
	k := m.rnd.IntN(len(m.open[i]))
	attempt := m.open[i][k]
	m.open[i] = append(m.open[i][:k], m.open[i][k+1:]...)
	ends := []AttemptResult{
		{Outcome: result.OutcomeRefused, Fault: backend.FaultShed},
		{Outcome: result.OutcomeUnsent, Fault: backend.FaultUnreachable},
		{Outcome: result.OutcomeUnknown, Fault: backend.FaultConnectionLost},
		{Outcome: result.OutcomeUnknown, Fault: backend.FaultUnresponsive},
		{Outcome: result.OutcomeRan, Fault: backend.FaultServerError},
		{Outcome: result.OutcomeRan},
	}
	end := ends[m.rnd.IntN(len(ends))]
	if !end.Outcome.NotRun() {
		m.mayRun[attempt.Server] = true
	}
	m.carryOut(i, home.Finish(m.now, attempt.Attempt, end, nil))
}

func (m *takeoverModel) carryOut(i int, acts []Action) {
	for _, act := range acts {
		if act.Kind == ActionStart {
			m.started++
			m.open[i] = append(m.open[i], act)
		}
	}
}

// Guards against a leg that runs on more servers than allowed when its home is lost, whatever the
// home does before that, and after it if it was only silent.
func TestTakenOverLegKeepsToTheLimitOfServers(t *testing.T) {
	for seed := range uint64(3000) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		servers, maxServers := 2+rnd.IntN(4), 2+rnd.IntN(2)
		specs := make([]ServerSpec, servers)
		for i := range specs {
			specs[i] = ServerSpec{Name: fmt.Sprintf("s%d", i), Incarnation: 1, SameZone: i == 0}
		}
		cfg := config()
		cfg.HedgeBudget, cfg.RetryBudget, cfg.AvoidStalled = 1, 1, rnd.IntN(2) == 0
		cfg.Classes[interactive].DefaultHedgeDelay = 30 * time.Millisecond
		m := &takeoverModel{rnd: rnd, now: start, mayRun: make(map[string]bool)}
		for i := range m.homes {
			m.homes[i] = New(cfg, ident.AttemptID(i<<20))
			known := specs
			if rnd.IntN(4) == 0 {
				known = specs[1:] // the hosts' lists differ
			}
			m.carryOut(i, m.homes[i].SetServers(m.now, known, nil))
		}
		l := Leg{ID: 1, Deadline: start.Add(10 * time.Second), Idempotent: true, Forwarded: true, MaxServers: maxServers, ReservedServer: specs[rnd.IntN(servers)].Name}
		m.carryOut(0, m.homes[0].Submit(m.now, l, nil))
		for range rnd.IntN(8) {
			m.step(0)
		}
		l.MaxServers, l.PinnedServer = 1, l.ReservedServer
		m.carryOut(1, m.homes[1].Submit(m.now, l, nil))
		dead := rnd.IntN(2) == 0
		for range 16 {
			if i := rnd.IntN(2); i == 1 || !dead {
				m.step(i)
			}
		}
		for _, open := range m.open {
			for _, attempt := range open {
				m.mayRun[attempt.Server] = true
			}
		}
		if len(m.mayRun) > maxServers {
			t.Fatalf("seed %d: %d of %d servers may have run the leg, %d are allowed: %v", seed, len(m.mayRun), servers, maxServers, m.mayRun)
		}
	}
}
