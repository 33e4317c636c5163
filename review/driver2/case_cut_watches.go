package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// watchCut is how long a watch waits until the store cuts it off.
	watchCut = 300 * time.Millisecond
	removals = 8
	// removalGap is the time between two removals. A server serves on for all of it.
	removalGap = 9500 * time.Millisecond
	// replacementGap is how long after it another server takes its place.
	replacementGap = 3500 * time.Millisecond
)

// playCutWatches removes the entries of servers that never report draining, while the store cuts off
// watches that wait.
func playCutWatches(s *system, trouble bool) (broken bool, err error) {
	zones := []string{"zone-a", "zone-b"}
	work := func(rnd *rand.Rand) time.Duration { return time.Duration(20+rnd.IntN(40)) * time.Millisecond }
	added := 0
	add := func() (*server, error) {
		added++
		return s.addServer(fmt.Sprintf("i-desk-%d", added), "desk", zones[added%len(zones)], 4, 12, work)
	}
	var serving []*server
	for range 4 {
		server, err := add()
		if err != nil {
			return false, err
		}
		serving = append(serving, server)
	}
	s.writeConfig(3, []map[string]any{{
		"Name": "r-desk", "Hostname": hostName, "PathPrefix": "/desk/", "RouteType": "idempotent", "TimeoutMs": 2000,
		"TargetLatencyMs": 200, "Priority": 1, "MaxAttempts": 2, "Service": "desk",
	}}, []string{"desk"})
	s.separateStore = true
	if err := s.startHosts(zones, 0.4, 284); err != nil {
		return false, err
	}
	if trouble {
		for _, h := range s.hosts {
			h.storeFront.cutWatches(watchCut)
		}
		s.record.line("the store cuts off each watch that has waited for %v", watchCut)
	}
	time.Sleep(4 * time.Second)
	c := newCallers(s)
	stop := make(chan struct{})
	for i, h := range s.hosts {
		c.runArrivals(stop, rand.New(rand.NewPCG(s.seed, uint64(5000+i))), 100, func(*rand.Rand) { c.send(h, "/desk/", 2*time.Second) })
	}
	removed := make(map[*server]time.Time)
	for range removals {
		time.Sleep(removalGap - replacementGap)
		leaving := serving[0]
		serving = serving[1:]
		s.store.Remove("servers", leaving.id)
		removed[leaving] = time.Now()
		s.record.line("the store has removed the entry of server %s", leaving.id)
		time.Sleep(replacementGap)
		server, err := add()
		if err != nil {
			return false, err
		}
		serving = append(serving, server)
	}
	time.Sleep(removalGap)
	close(stop)
	c.active.Wait()
	c.summary()
	return checkDrained(s, removed), nil
}
