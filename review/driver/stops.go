package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is GraceS of the settings: the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
	// stableWindow is StableWindowMs of the settings.
	stableWindow = 4 * time.Second
	// lossSlack is LossSlackMs of the settings.
	lossSlack = 200 * time.Millisecond
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay  = 600 * time.Millisecond
	exportTimeout = 8 * time.Second
)

// stopZones are the availability zones of settingsInAStop, with a host and a server each.
var stopZones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// settingsInAStop checks that no request is lost when a host gets SIGTERM and then, with its
// settings changed, SIGHUP. Without trouble the settings don't change.
func settingsInAStop(f *fleet, trouble bool) error {
	servers, err := startExports(f, 6, 150*time.Millisecond, 450*time.Millisecond)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	outcomes := runExports(f, stop, 32, 150*time.Millisecond)
	time.Sleep(3 * time.Second)
	for _, h := range f.hosts {
		time.Sleep(stableWindow + time.Second)
		f.signal(h, syscall.SIGTERM)
		time.Sleep(700 * time.Millisecond)
		if trouble {
			if err := changeSettings(h); err != nil {
				return err
			}
			f.signal(h, syscall.SIGHUP)
		}
		if err := f.restart(h); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	checkLost(f, outcomes(), servers)
	return nil
}

// restart kills a host that got SIGTERM if it has not ended after GraceS, starts it again and
// waits until it is ready.
func (f *fleet) restart(h *host) error {
	select {
	case <-h.ended:
	case <-time.After(grace):
		f.signal(h, syscall.SIGKILL)
		<-h.ended
	}
	time.Sleep(restartDelay)
	if err := f.startHost(h); err != nil {
		return err
	}
	if !waitUntil(10*time.Second, func() bool { return isReady(h) }) {
		return fmt.Errorf("%s is not ready 10 s after its start", h.name)
	}
	f.record.printf("host %s is ready", h.name)
	return nil
}

// changeSettings changes a figure of the settings file.
func changeSettings(h *host) error {
	text, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	changed := strings.Replace(string(text), "Limits.LinkMbps=1000.0", "Limits.LinkMbps=900.0", 1)
	return os.WriteFile(h.settings, []byte(changed), 0o600)
}

// startExports starts hosts and one server in each zone. Exports are idempotent, orders are not.
func startExports(f *fleet, slots int, shortest, longest time.Duration) ([]*backend, error) {
	work := func() time.Duration { return shortest + time.Duration(rand.Float64()*float64(longest-shortest)) }
	var servers []*backend
	for i, zone := range stopZones {
		b, err := f.startBackend(fmt.Sprintf("i-archive%d", i), "archive", zone, slots, 8, work)
		if err != nil {
			return nil, err
		}
		servers = append(servers, b)
	}
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": hostName, "PathPrefix": "/" + name + "/", "RouteType": kind, "TimeoutMs": exportTimeout.Milliseconds(),
			"TargetLatencyMs": 3000, "Priority": 1, "MaxAttempts": 2, "Service": "archive",
		}
	}
	f.configure(3, []map[string]any{route("export", "idempotent"), route("order", "non_idempotent")}, []map[string]any{{"Name": "archive", "MaxConnections": 96, "HealthCheckPath": "/health"}})
	return servers, f.startHosts(stopZones...)
}

// runExports sends requests until stop is closed; the result waits for their ends.
func runExports(f *fleet, stop chan struct{}, clients int, meanPause time.Duration) (outcomes func() []outcome) {
	var mu sync.Mutex
	var all []outcome
	var group sync.WaitGroup
	for i := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &client{fleet: f, zone: stopZones[i%len(stopZones)], keepsLong: i%4 == 0}
			defer c.disconnect()
			method, path := http.MethodGet, "/export/campaign"
			if i%2 == 1 {
				method, path = http.MethodPost, "/order/campaign"
			}
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(meanPause))):
				}
				o := c.send(method, path, exportTimeout)
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
				if isPromise(o.status) {
					time.Sleep(o.retryAfter(exportTimeout))
				}
			}
		}()
	}
	return func() []outcome {
		group.Wait()
		return all
	}
}

// checkLost applies LOST around a planned stop: a host has read a whole request, passed it on,
// and the connection ends without an answer.
func checkLost(f *fleet, outcomes []outcome, servers []*backend) {
	byStatus := make(map[int]int)
	for _, o := range outcomes {
		byStatus[o.status]++
		if o.status != 0 || o.host == "" || o.ended.Sub(o.sent) >= exportTimeout-50*time.Millisecond {
			continue
		}
		stopped, found := lastStop(f.stops[o.host], o.ended)
		if !found || o.sent.After(stopped.Add(grace+time.Second)) {
			continue
		}
		var runs []workTime
		for _, b := range servers {
			runs = append(runs, b.workTimes(o.attempt)...)
		}
		if len(runs) == 0 && o.ended.Sub(o.sent) <= lossSlack || isExcused(o, runs, stopped) {
			continue
		}
		passedOn := "passed on"
		if len(runs) == 0 {
			passedOn = "not passed on"
		}
		f.breach("LOST: %s, sent %.3f s after the SIGTERM, %s, ends %.3f s after the SIGTERM without an answer: %v",
			o.attempt, o.sent.Sub(stopped).Seconds(), passedOn, o.ended.Sub(stopped).Seconds(), o.err)
	}
	f.record.printf("%d client attempts, by status (0: no answer): %v", len(outcomes), byStatus)
}

func lastStop(stops []time.Time, before time.Time) (last time.Time, found bool) {
	for _, at := range stops {
		if at.Before(before) {
			last, found = at, true
		}
	}
	return last, found
}

// isExcused reports whether the request was sent no later than 3 s after the SIGTERM and a
// server was still at work on it in the last sixth of GraceS.
func isExcused(o outcome, runs []workTime, stopped time.Time) bool {
	if o.sent.After(stopped.Add(3 * time.Second)) {
		return false
	}
	for _, run := range runs {
		if run.ended.IsZero() || run.ended.After(stopped.Add(grace*5/6)) {
			return true
		}
	}
	return false
}
