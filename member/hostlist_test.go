package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// liveRows returns a host list that names the hosts as live.
func liveRows(hosts ...*simHost) []metastore.ListedHost {
	var rows []metastore.ListedHost
	for _, h := range hosts {
		rows = append(rows, metastore.ListedHost{
			Name: string(h.self.ID), Kind: metastore.KindEntry, Address: h.address, State: metastore.StateLive,
		})
	}
	return rows
}

// Guards against an empty or truncated host list that removes live hosts from views.
func TestEmptyOrTruncatedHostListRemovesNoHost(t *testing.T) {
	for name, rows := range map[string]int{"empty": 0, "one row": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(41)
			s.addHosts(7, 1, 3)
			for range 300 {
				s.run(2 * time.Second)
				for _, h := range s.hosts {
					h.ApplyHostList(s.now, liveRows(s.hosts[:rows]...))
				}
				is.True(s.all(func(h *simHost) bool { return h.serving() == 7 }))
			}
		})
	}
}

// Guards against a view emptied by a fault of the probes' network path: while the list
// names the lost majority as live they stay suspects, and once it agrees they are dead.
func TestLaggingHostListDelaysOnlyTheLossOfHalf(t *testing.T) {
	is := is.New(t)
	s := newSimulation(42)
	s.addHosts(7, 1, 3)
	s.run(5 * time.Second)
	for _, h := range s.hosts[:4] {
		h.kill()
	}
	applyList := func(rows []metastore.ListedHost) {
		for _, h := range s.hosts[4:] {
			h.ApplyHostList(s.now, rows)
		}
	}
	for range 15 {
		s.run(2 * time.Second)
		applyList(liveRows(s.hosts...))
		is.True(s.all(func(h *simHost) bool { return h.serving() == 7 }))
	}
	is.True(s.all(func(h *simHost) bool { return h.View().Minority }))
	applyList(liveRows(s.hosts[4:]...))
	is.True(s.all(func(h *simHost) bool { return h.serving() == 3 && !h.View().Minority }))
}

// Guards against a stale host list that brings a dead host back into a view, or delays
// a single death.
func TestStaleHostListRevivesNoHost(t *testing.T) {
	is := is.New(t)
	s := newSimulation(43)
	s.addHosts(7, 1, 3)
	s.run(5 * time.Second)
	dead := s.hosts[2]
	dead.kill()
	s.run(6 * time.Second)
	for range 100 {
		for _, h := range s.hosts {
			h.ApplyHostList(s.now, liveRows(s.hosts...))
		}
		s.run(2 * time.Second)
		is.True(s.all(func(h *simHost) bool { return h.stateOf(dead.self.ID) == StateDead && h.serving() == 6 }))
	}
}

// Guards against a host that can't join through the host list while its seeds are down.
func TestHostJoinsThroughTheHostList(t *testing.T) {
	is := is.New(t)
	s := newSimulation(44)
	s.addHosts(7, 1, 3)
	s.run(5 * time.Second)
	fresh := s.start("host-0007", "region-0", "zone-0a")
	fresh.config.Seeds = []string{"nobody:1"}
	fresh.ApplyHostList(s.now, liveRows(s.hosts...))
	took, joined := s.runUntil(10*time.Second, func() bool {
		return s.all(func(h *simHost) bool { return h.serving() == 8 })
	})
	is.True(joined)
	t.Logf("in every view after %v", took)
}

// Guards against a host that serves with an outdated configuration, or refuses requests
// although it has contact.
func TestCutOff(t *testing.T) {
	is := is.New(t)
	now := simStart.Add(time.Hour)
	const timeout = 4 * time.Second
	old, recent := now.Add(-time.Minute), now.Add(-time.Second)
	cases := []struct {
		name    string
		contact Contact
		want    bool
	}{
		{"store and peers", Contact{old, recent, recent, false}, false},
		{"store outage that peers see as well", Contact{old, recent, old, false}, false},
		{"peers lost, store reached", Contact{old, old, recent, true}, false},
		{"neither", Contact{old, old, old, false}, true},
		{"neither since the start", Contact{StartedAt: old}, true},
		{"just started", Contact{StartedAt: recent}, false},
		{"minority partition without the store", Contact{old, recent, old, true}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.Equal(CutOff(now, c.contact, timeout), c.want) })
	}
}
