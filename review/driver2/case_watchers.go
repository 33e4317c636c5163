package main

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sort"
	"time"
)

const (
	watcherHosts = 26
	// rejectedHosts is 0.31 of the hosts.
	rejectedHosts = 8
	// rejectionTime is the length of one rejection; the second follows the first at once.
	rejectionTime = 9 * time.Second
	configApply   = 3 * time.Second  // Bounds.ConfigApplyMs
	maxStretch    = 12 * time.Second // Bounds.MaxStretchMs
)

// playRejectedWatchers lets the store reject the hosts that call it most, while a route moves.
func playRejectedWatchers(s *system, trouble bool) (broken bool, err error) {
	work := func(rnd *rand.Rand) time.Duration { return time.Duration(5+rnd.IntN(10)) * time.Millisecond }
	zones := []string{"zone-a", "zone-b"}
	for _, service := range []string{"before", "after"} {
		for _, zone := range zones {
			if _, err := s.addServer("i-"+service+"-"+zone, service, zone, 6, 24, work); err != nil {
				return false, err
			}
		}
	}
	routes := func(service string) []map[string]any {
		return []map[string]any{{
			"Name": "r-export", "Hostname": hostName, "PathPrefix": "/export/", "RouteType": "idempotent", "TimeoutMs": 4000,
			"TargetLatencyMs": 400, "Priority": 1, "MaxAttempts": 2, "Service": service,
		}}
	}
	s.writeConfig(3, routes("before"), []string{"before"})
	var hostZones []string
	for i := range watcherHosts {
		hostZones = append(hostZones, zones[i%len(zones)])
	}
	s.separateStore = true
	if err := s.startHosts(hostZones, 0.4, 284); err != nil {
		return false, err
	}
	time.Sleep(15 * time.Second)
	c := newCallers(s)
	stop := make(chan struct{})
	for i, h := range s.hosts {
		c.runArrivals(stop, rand.New(rand.NewPCG(s.seed, uint64(3000+i))), 3, func(*rand.Rand) { c.send(h, "/export/", 4*time.Second) })
	}
	time.Sleep(2 * time.Second)
	rejected := s.mostCalling(rejectedHosts, time.Now().Add(-8*time.Second))
	if len(rejected) < rejectedHosts {
		return false, errors.New("too few hosts call the store")
	}
	reject := func(status int) {
		for _, h := range rejected {
			if trouble {
				h.storeFront.reject(status)
				s.record.line("the store answers %s with status %d from now on; 0: as usual", h.name, status)
			}
		}
	}
	reject(http.StatusServiceUnavailable)
	time.Sleep(time.Second)
	acknowledged := s.writeConfig(8, routes("after"), []string{"after"})
	time.Sleep(rejectionTime - time.Second)
	reject(http.StatusTooManyRequests)
	time.Sleep(rejectionTime)
	reject(0)
	time.Sleep(5 * time.Second)
	close(stop)
	c.active.Wait()
	c.summary()
	return checkConfigApplied(s, c, rejected, acknowledged), nil
}

// mostCalling returns the n hosts that have called the store most since a time.
func (s *system) mostCalling(n int, since time.Time) []*host {
	var calling []*host
	for _, h := range s.hosts {
		if h.storeFront.callsSince(since) > 0 {
			calling = append(calling, h)
		}
	}
	sort.SliceStable(calling, func(i, j int) bool {
		return calling[i].storeFront.callsSince(since) > calling[j].storeFront.callsSince(since)
	})
	return calling[:min(n, len(calling))]
}

// checkConfigApplied checks the rule CONFIG: no request that was sent later than ConfigApplyMs, and
// the longest stretch, after the acknowledgement of a version is run by the old service. Hosts that
// the store has rejected are left out.
func checkConfigApplied(s *system, c *callers, rejected []*host, acknowledged time.Time) (broken bool) {
	ranBefore := make(map[string]bool)
	for _, server := range s.servers {
		for _, a := range server.taken() {
			if server.service == "before" && a.ran {
				ranBefore[a.attempt] = true
			}
		}
	}
	isRejected := make(map[*host]bool)
	for _, h := range rejected {
		isRejected[h] = true
	}
	late, stretched, hosts, latest := 0, 0, make(map[*host]bool), time.Duration(0)
	for _, k := range c.all() {
		after := k.sent.Sub(acknowledged)
		if isRejected[k.host] || !ranBefore[k.id] || after <= configApply {
			continue
		}
		late++
		latest = max(latest, after)
		hosts[k.host] = true
		if after > configApply+maxStretch {
			stretched++
		}
	}
	s.record.note("requests sent later than ConfigApplyMs after the acknowledgement to one of the %d hosts that the store serves, and run by the old service: %d at %d hosts, the last one sent %.1f s after it", len(s.hosts)-len(rejected), late, len(hosts), latest.Seconds())
	s.record.note("of these, sent later than ConfigApplyMs + MaxStretchMs: %d", stretched)
	return stretched > 0
}
