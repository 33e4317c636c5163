package main

import (
	"math/rand/v2"
	"time"
)

const (
	drainBound     = 3 * time.Second // Bounds.DrainMs
	exportDeadline = 8 * time.Second
	// exportsPerSecond is 1.6 times what the service serves: 12 slots of 1.2 s each.
	exportsPerSecond = 16
)

// playRemovedService moves a route to another service, and the servers of the old service leave.
// Without the disruption they leave while the route still goes to them.
func playRemovedService(s *system, trouble bool) (broken bool, err error) {
	zones := []string{"zone-a", "zone-b"}
	work := func(rnd *rand.Rand) time.Duration { return time.Duration(1000+rnd.IntN(400)) * time.Millisecond }
	var old []*server
	for k, zone := range zones {
		server, err := s.addServer("i-archive-"+zone, "archive", zone, 6, 24, work)
		if err != nil {
			return false, err
		}
		old = append(old, server)
		if _, err := s.addServer("i-billing-"+zone, "billing", zones[k], 24, 24, work); err != nil {
			return false, err
		}
	}
	routes := func(service string) []map[string]any {
		return []map[string]any{{
			"Name": "r-export", "Hostname": hostName, "PathPrefix": "/export/", "RouteType": "idempotent", "TimeoutMs": exportDeadline.Milliseconds(),
			"TargetLatencyMs": 800, "Priority": 1, "MaxAttempts": 2, "Service": service,
		}}
	}
	s.writeConfig(3, routes("archive"), []string{"archive"})
	if err := s.startHosts(zones, 0.4, 284); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	c := newCallers(s)
	stop := make(chan struct{})
	c.runArrivals(stop, rand.New(rand.NewPCG(s.seed, 2000)), exportsPerSecond, func(rnd *rand.Rand) {
		c.send(s.hosts[rnd.IntN(len(s.hosts))], "/export/", exportDeadline)
	})
	time.Sleep(20 * time.Second)
	drained := make(map[*server]time.Time)
	if trouble {
		s.writeConfig(8, routes("billing"), []string{"billing"})
	}
	time.Sleep(300 * time.Millisecond)
	for _, server := range old {
		drained[server] = s.drain(server)
	}
	time.Sleep(12 * time.Second)
	close(stop)
	c.active.Wait()
	c.summary()
	return checkDrained(s, drained), nil
}

// checkDrained checks the rule DRAIN: no request reaches a server later than DrainMs after the store
// has acknowledged that it is draining.
func checkDrained(s *system, drained map[*server]time.Time) (broken bool) {
	for server, at := range drained {
		late, latest := 0, time.Duration(0)
		for _, a := range server.taken() {
			after := a.at.Sub(at)
			s.record.line("%s got request %s at %.3f s after its drain was acknowledged; run: %v", server.id, a.attempt, after.Seconds(), a.ran)
			if after > drainBound {
				late++
				latest = max(latest, after)
			}
		}
		s.record.note("%s: %d requests reached it later than DrainMs after the acknowledgement, the last one %.1f s after it", server.id, late, latest.Seconds())
		broken = broken || late > 0
	}
	return broken
}
