package member

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// knowsAll reports whether the host has the announcements of announceOneOfEach.
func knowsAll(h *simHost) bool {
	return len(h.seenRequests.entries) == 2 && len(h.seenBackends.entries) == 1 &&
		h.announced.GetGeneration() == 3 && storeFromWire(h.announced).Servers == 5
}

// announceOneOfEach announces each kind of update that is announced once.
func announceOneOfEach(s *simulation, h *simHost) {
	h.AnnounceSuspectRequest(s.now, SuspectRequestUpdate{Fingerprint: 7, Server: "a"})
	h.AnnounceSuspectRequest(s.now, SuspectRequestUpdate{Fingerprint: 7, Server: "b", Canary: true})
	h.AnnounceBackend(s.now, BackendUpdate{Server: "c", Incarnation: 1})
	h.AnnounceConfig(s.now, 3, []byte("hash"))
	h.AnnounceStore(s.now, StoreRevisions{Servers: 5})
}

// apply puts announced configurations and revisions in force at once.
func (s *simulation) apply(h *simHost, update ConfigUpdate) {
	h.AnnounceConfig(s.now, update.Generation, update.ManifestHash)
	h.AnnounceStore(s.now, update.Store)
}

// Guards against hosts that start beside others, join through them only, and never hear
// of one kind of update that was announced before.
func TestHostsThatJoinThroughNewHostsLearnOfEverything(t *testing.T) {
	is := is.New(t)
	worst := time.Duration(0)
	for seed := uint64(1); seed <= 20; seed++ {
		s := newSimulation(seed)
		s.loss = 0.02
		s.onConfig = s.apply
		s.addHosts(8, 1, 3)
		announceOneOfEach(s, s.hosts[3])
		s.run(time.Minute)
		is.True(s.all(knowsAll))
		for _, i := range []int{0, 4, 7} { // the seeds, and one host more
			old := s.hosts[i]
			s.start(string(old.self.ID), old.region, old.zone)
		}
		took, ok := s.runUntil(10*time.Second, func() bool { return s.all(knowsAll) })
		is.True(ok)
		worst = max(worst, took)
	}
	t.Logf("worst of 20 seeds: %v", worst)
}

// Guards against verdicts and leaving servers that are lost with a restart of nearly the
// whole fleet: one host that stays must suffice.
func TestOneHostThatStaysTellsTheRestartedFleet(t *testing.T) {
	for _, hosts := range fleetSizes()[:3] {
		t.Run(strconv.Itoa(hosts), func(t *testing.T) {
			is := is.New(t)
			worst := time.Duration(0)
			for seed := uint64(1); seed <= 5; seed++ {
				s := newSimulation(seed)
				s.loss = 0.02
				s.onConfig = s.apply
				s.addHosts(hosts, 1, 3)
				announceOneOfEach(s, s.hosts[3])
				s.run(time.Minute)
				is.True(s.all(knowsAll))
				for i, old := range s.hosts {
					if i != 2 {
						s.start(string(old.self.ID), old.region, old.zone)
					}
				}
				took, ok := s.runUntil(time.Minute, func() bool { return s.all(knowsAll) })
				is.True(ok)
				worst = max(worst, took)
			}
			t.Logf("%d hosts, worst of 5 seeds: %v", hosts, worst)
		})
	}
}

// Guards against a host that was cut off while an update was announced and never hears
// of it, since it does not join again.
func TestHostThatWasCutOffLearnsOfUpdates(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		s := newSimulation(seed)
		s.onConfig = s.apply
		s.addHosts(50, 1, 3)
		lone := s.hosts[5]
		s.blocked = func(from, to *simHost) bool { return from == lone || to == lone }
		s.run(time.Second)
		announceOneOfEach(s, s.hosts[3])
		s.run(time.Minute)
		is.True(!knowsAll(lone))
		s.blocked = nil
		_, ok := s.runUntil(30*time.Second, func() bool { return s.all(knowsAll) })
		is.True(ok)
	}
}

// Guards against updates that hosts take from each other for ever: each is delivered
// once to each host, and none is sent any more after recentAge.
func TestUpdatesAreDeliveredOnceAndExpire(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3)
	s.loss = 0.02
	s.addHosts(20, 1, 3)
	announceOneOfEach(s, s.hosts[3])
	for range 3 * int(dedupTTL/(2*time.Minute)) {
		s.run(time.Minute)
		restarted := s.hosts[s.rng.IntN(len(s.hosts))]
		s.start(string(restarted.self.ID), restarted.region, restarted.zone)
	}
	for _, h := range s.hosts {
		is.True(s.delivered[h] <= 3)
		count := 0
		h.eachRecent(s.now, func(uint64, recentUpdate) { count++ })
		is.Equal(count, 0)
	}
}

// Guards against a joining host that takes an old crash for a new one, and holds its
// request back for longer than the other hosts.
func TestJoiningHostHearsTheAgeOfACrash(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1)
	s.addHosts(8, 1, 3)
	s.hosts[3].AnnounceSuspectRequest(s.now, SuspectRequestUpdate{Fingerprint: 7, Server: "a", Age: 2 * time.Second})
	s.run(time.Minute)
	for _, i := range []int{0, 4, 7} {
		old := s.hosts[i]
		s.start(string(old.self.ID), old.region, old.zone)
	}
	s.run(10 * time.Second)
	for _, h := range s.hosts {
		h.eachRecent(s.now, func(_ uint64, update recentUpdate) {
			age := time.Duration(update.request.AgeMs) * time.Millisecond
			is.True(age > 71*time.Second && age < 73*time.Second)
		})
	}
}

// Guards against comparisons that cost more than 3 KB/s while hosts keep having
// different updates: more are announced than a host keeps.
func TestComparisonsStayWithinTheBudgetWhenUpdatesOverflow(t *testing.T) {
	is := is.New(t)
	const hosts = 6
	s := newSimulation(4)
	s.addHosts(hosts, 1, 3)
	for i := range dedupLimit + 1000 {
		h := s.hosts[i%hosts]
		h.AnnounceBackend(s.now, BackendUpdate{Server: "server-" + strconv.Itoa(i), Incarnation: uint64(i)})
		if i%50 == 0 {
			s.run(100 * time.Millisecond)
		}
	}
	s.run(6 * time.Minute) // the bursts of the budgets are spent
	s.bytes = 0
	s.run(2 * time.Minute)
	perHost := 2 * float64(s.bytes) / hosts / 120
	t.Logf("%.0f bytes/s a host", perHost)
	is.True(perHost < 3000)
}
