package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The load of extraRefusal: bookings that may run once, close to what the servers can do.
const (
	desks            = 18 // services that take bookings, one backend server each
	clientsPerDesk   = 20
	bookingsPerS     = 9 // at each desk
	bookingTimeout   = 3 * time.Second
	meanBookingWork  = 220 * time.Millisecond
	extraAnswerShare = 0.03
	extraAnswersFor  = 5 * time.Second
	extraAnswerPause = 4 * time.Second
	extraAnswerTimes = 10
)

var extraZones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e"}

// extraRefusal checks that a request that is not idempotent runs at most once, and not at all
// if it was refused, while servers send some of their answers a second time, late.
func extraRefusal(f *fleet, trouble bool) error {
	servers, err := startDesks(f)
	if err != nil {
		return err
	}
	if err := f.startHosts(extraZones...); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	outcomes := runBookings(f, stop)
	for range extraAnswerTimes {
		time.Sleep(extraAnswerPause)
		setExtraRates(servers, trouble, extraAnswerShare)
		time.Sleep(extraAnswersFor)
		setExtraRates(servers, trouble, 0)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	checkBookings(f, outcomes(), servers)
	return nil
}

// startDesks starts the servers and writes the configuration. Half of the servers are of a
// service without requests.
func startDesks(f *fleet) ([]*backend, error) {
	work := func() time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(meanBookingWork)) }
	var servers []*backend
	var routes, services []map[string]any
	for i := range desks {
		zone := extraZones[i%len(extraZones)]
		b, err := f.startBackend(fmt.Sprintf("i-desk%d", i), fmt.Sprintf("desk%d", i), zone, 2, 1, work)
		if err != nil {
			return nil, err
		}
		servers = append(servers, b)
		if _, err := f.startBackend(fmt.Sprintf("i-archive%d", i), "archive", zone, 6, 8, work); err != nil {
			return nil, err
		}
		services = append(services, map[string]any{"Name": b.service, "MaxConnections": 60, "HealthCheckPath": "/health"})
		routes = append(routes, map[string]any{
			"Name": b.service, "Hostname": hostName, "PathPrefix": "/" + b.service + "/", "RouteType": "non_idempotent", "TimeoutMs": 3000,
			"TargetLatencyMs": 800, "Priority": 1, "MaxAttempts": 2, "Service": b.service,
		})
	}
	services = append(services, map[string]any{"Name": "archive", "MaxConnections": 60, "HealthCheckPath": "/health"})
	f.configure(3, routes, services)
	return servers, nil
}

func setExtraRates(servers []*backend, trouble bool, rate float64) {
	if !trouble {
		return
	}
	for _, b := range servers {
		b.setExtraRate(rate)
	}
}

// runBookings sends bookings until stop is closed; the result waits for their ends.
func runBookings(f *fleet, stop chan struct{}) (outcomes func() []outcome) {
	var mu sync.Mutex
	var all []outcome
	var group sync.WaitGroup
	for i := range desks * clientsPerDesk {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &client{fleet: f, zone: extraZones[i%len(extraZones)], keepsLong: i%4 == 0}
			defer c.disconnect()
			path := fmt.Sprintf("/desk%d/seat", i%desks)
			for {
				pause := time.Duration(rand.ExpFloat64() * float64(time.Second) * clientsPerDesk / bookingsPerS)
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				o := book(c, path)
				mu.Lock()
				all = append(all, o...)
				mu.Unlock()
			}
		}()
	}
	return func() []outcome {
		group.Wait()
		return all
	}
}

// book sends a booking, and once more after a promise that it has not run.
func book(c *client, path string) []outcome {
	end := time.Now().Add(bookingTimeout)
	first := c.send(http.MethodPost, path, bookingTimeout)
	if !isPromise(first.status) {
		return []outcome{first}
	}
	time.Sleep(first.retryAfter(time.Until(end)))
	c.disconnect()
	return []outcome{first, c.send(http.MethodPost, path, max(time.Until(end), 10*time.Millisecond))}
}

// checkBookings compares what callers were told with what the servers ran.
func checkBookings(f *fleet, outcomes []outcome, servers []*backend) {
	runs := make(map[string]int)
	for _, b := range servers {
		b.mu.Lock()
		for attempt, times := range b.runs {
			runs[attempt] += len(times)
		}
		f.record.printf("%s: %d runs, %d refusals, %d answers sent twice", b.id, len(b.runs), b.refused, b.extraAnswer)
		b.mu.Unlock()
	}
	byStatus := make(map[int]int)
	for _, o := range outcomes {
		byStatus[o.status]++
		switch n := runs[o.attempt]; {
		case n > 1:
			f.breach("TWICE: %s ran %d times and was answered %d", o.attempt, n, o.status)
		case n > 0 && isPromise(o.status):
			f.breach("REFUSED: %s ran and was answered %d", o.attempt, o.status)
		}
	}
	f.record.printf("%d client attempts, by status: %v", len(outcomes), byStatus)
}
