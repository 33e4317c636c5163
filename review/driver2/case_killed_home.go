package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

const (
	killShards  = 96
	maxAttempts = 2 // MaxAttempts of the route
	kills       = 14
	downTime    = 1300 * time.Millisecond
	killGap     = 3500 * time.Millisecond
	// slowFactor applies to every second server of the first zone: 48 of 288, a share of 0.167.
	slowFactor = 12
)

// playKilledHome kills one of the hosts that share searches several times, while some servers of its
// zone are slow.
func playKilledHome(s *system, trouble bool) (broken bool, err error) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var shards []string
	for i := range killShards {
		service := fmt.Sprintf("shard%02d", i)
		shards = append(shards, service)
		for k, zone := range zones {
			slow := k == 0 && i%2 == 0
			work := func(rnd *rand.Rand) time.Duration {
				d := time.Duration(15+rnd.IntN(25)) * time.Millisecond
				if slow {
					return slowFactor * d
				}
				return d
			}
			server, err := s.addServer(fmt.Sprintf("i-%s-%s", service, zone), service, zone, 2, 12, work)
			if err != nil {
				return false, err
			}
			server.pauseFor, server.pauseEvery = 250*time.Millisecond, 6*time.Second
			server.pausePhase = time.Now().Add(-time.Duration(i*37+k*1999) * 100 * time.Millisecond)
		}
	}
	s.writeConfig(3, []map[string]any{{
		"Name": "r-search", "Hostname": hostName, "PathPrefix": "/search/", "RouteType": "idempotent", "TimeoutMs": 2000,
		"TargetLatencyMs": 300, "Priority": 1, "FanoutServices": shards, "MaxAttempts": maxAttempts, "TopK": 20, "MinShardShare": 0.95,
	}}, shards)
	if err := s.startHosts(zones, 0.4, 284); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	c := newCallers(s)
	stop := make(chan struct{})
	c.runArrivals(stop, rand.New(rand.NewPCG(s.seed, 4000)), 45, func(rnd *rand.Rand) {
		c.send(s.hosts[1+rnd.IntN(len(s.hosts)-1)], "/search/", 2*time.Second)
	})
	time.Sleep(6 * time.Second)
	for range kills {
		if trouble {
			if err := s.killAndRestart(s.hosts[0]); err != nil {
				return false, err
			}
		}
		time.Sleep(killGap)
	}
	close(stop)
	c.active.Wait()
	c.summary()
	return checkMaxAttempts(s), nil
}

// killAndRestart kills a host's process and starts it again after a short time.
func (s *system) killAndRestart(h *host) error {
	if err := h.process.Process.Kill(); err != nil {
		return err
	}
	s.record.line("killed %s", h.name)
	_ = h.process.Wait()
	time.Sleep(downTime)
	logPath := filepath.Join(s.dir, h.name+".log")
	_ = os.Rename(logPath, fmt.Sprintf("%s.%d", logPath, h.process.Process.Pid))
	s.record.line("start %s again", h.name)
	return h.start(s.binary, logPath)
}

// checkMaxAttempts checks the rule BUDGET: not more than three requests run, in one attempt of the
// caller, on more servers of a shard than MaxAttempts.
func checkMaxAttempts(s *system) (broken bool) {
	ran := make(map[string]map[string]bool) // servers by attempt and service
	for _, server := range s.servers {
		for _, a := range server.taken() {
			if !a.ran {
				continue
			}
			key := a.attempt + " " + server.service
			if ran[key] == nil {
				ran[key] = make(map[string]bool)
			}
			ran[key][server.id] = true
		}
	}
	over := make(map[string]bool)
	for key, servers := range ran {
		if len(servers) <= maxAttempts {
			continue
		}
		var attempt, service string
		_, _ = fmt.Sscan(key, &attempt, &service)
		over[attempt] = true
		s.record.line("request %s ran on %d servers of %s", attempt, len(servers), service)
	}
	s.record.note("requests that ran on more than MaxAttempts (%d) servers of a shard: %d", maxAttempts, len(over))
	return len(over) > 3
}
