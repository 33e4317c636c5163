package bench

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/home"
)

// The deployments of docs/customers-and-overload.md with a quarter of their hosts and services;
// the load of each service is the same.
const (
	sharesHosts    = 24
	sharesServices = 20
)

// Workload is a deployment with long searches and short urgent lookups.
type Workload struct {
	Name  string
	Shape Shape
	Load  float64
	// Search and Lookup are the two kinds of request, without callers.
	Search, Lookup Traffic
}

// ArchiveWorkload returns the archive's requests.
func ArchiveWorkload() Workload {
	return Workload{
		Name: "archive",
		Shape: Shape{
			EntryHosts: sharesHosts, Services: sharesServices, Servers: 3, Slots: 2, ServerQueue: 53, Zones: 4,
			HopSameZone: 100 * time.Microsecond, HopOtherZone: 500 * time.Microsecond, DetectHostLoss: 300 * time.Millisecond,
			PauseInterval: 6 * time.Second, PauseLength: 250 * time.Millisecond,
		},
		Load:   0.14, // 25.2 searches and 14.6 lookups per second
		Search: workloadTraffic(Standard, 0.84, 28*time.Millisecond, 300*time.Millisecond, 2*time.Second, 0.95),
		Lookup: workloadTraffic(Interactive, 0.16, 9200*time.Microsecond, 80*time.Millisecond, 800*time.Millisecond, 0.85),
	}
}

// DonationsWorkload returns the donation service's requests.
func DonationsWorkload() Workload {
	return Workload{
		Name: "donations",
		Shape: Shape{
			EntryHosts: sharesHosts, Services: sharesServices, Servers: 3, Slots: 2, ServerQueue: 58, Zones: 3,
			HopSameZone: 100 * time.Microsecond, HopOtherZone: 4900 * time.Microsecond, DetectHostLoss: 300 * time.Millisecond,
			PauseInterval: 3 * time.Second, PauseLength: 120 * time.Millisecond,
		},
		Load:   0.065, // 31.6 searches and 10.5 lookups per second
		Search: workloadTraffic(Standard, 0.9, 11*time.Millisecond, 200*time.Millisecond, 600*time.Millisecond, 0.95),
		Lookup: workloadTraffic(Interactive, 0.1, 3800*time.Microsecond, 80*time.Millisecond, 300*time.Millisecond, 0.85),
	}
}

func workloadTraffic(class int, share float64, work, target, deadline time.Duration, coverage float64) Traffic {
	return Traffic{
		Class: class, Share: share, Deadline: deadline, SoftDeadline: target, MinCoverage: coverage,
		ServiceTime: ServiceTime{Base: work * 6 / 10, MeanExtra: work * 4 / 10},
	}
}

// Start and end of the disturbance in the cases of shares.
const (
	disturbanceStart = 3 * time.Second
	disturbanceEnd   = 8 * time.Second
)

// Disturbance is what happens during a case of shares.
type Disturbance struct {
	Burst float64 // factor of all traffic; 0 means 1
	Flood float64 // further factor of the first customer's traffic; 0 means 1
	Slow  float64 // factor of the service times of half of the servers; 0 means 1
}

func during(at time.Duration, factor float64) float64 {
	if factor == 0 || at < disturbanceStart || at >= disturbanceEnd {
		return 1
	}
	return factor
}

// Case returns the workload with a disturbance, from customers that each have a part of the
// searches and lookups; with no parts, callers aren't identified.
func (w Workload) Case(d Disturbance, parts map[string]float64) Case {
	c := Case{
		Name: w.Name, Shape: w.Shape, Load: w.Load, Length: disturbanceEnd, Warmup: disturbanceStart, RedrawInterval: 50 * time.Millisecond,
		Surge: func(at time.Duration) float64 { return during(at, d.Burst) },
	}
	if d.Slow > 0 {
		c.Changes = []Change{
			{At: disturbanceStart, Apply: func(s *Sim) { s.slowHalf(d.Slow) }},
			{At: disturbanceEnd, Apply: func(s *Sim) { s.slowHalf(1) }},
		}
	}
	if parts == nil {
		c.Traffic = []Traffic{w.Search, w.Lookup}
	}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		for _, t := range []Traffic{w.Search, w.Lookup} {
			t.Caller = name
			if t.Class == Interactive {
				t.Caller += lookupSuffix
			}
			t.Share *= parts[name]
			if name == floodingCustomer {
				t.Surge = func(at time.Duration) float64 { return during(at, d.Flood) }
			}
			c.Traffic = append(c.Traffic, t)
		}
	}
	return c
}

// lookupSuffix is added to a customer's name for its lookups, so that the two kinds of request
// are counted apart. Shares are per class anyway.
const lookupSuffix = "/lookups"

// floodingCustomer is the customer whose traffic a Disturbance multiplies.
const floodingCustomer = "customer-00"

// slowHalf slows down every second backend server.
func (s *Sim) slowHalf(factor float64) {
	for _, service := range s.Services {
		for _, server := range service.Servers {
			if mixNumber(uint64(service.Index*len(service.Servers)+server.Index)+1)>>63 == 0 {
				server.SlowFactor = factor
			}
		}
	}
}

// withoutCallers runs a home policy that doesn't know the callers.
func withoutCallers(spec PolicySpec) PolicySpec {
	newPolicy := spec.New
	spec.New = func(s *Sim) Policy {
		p := newPolicy(s).(*homePolicy)
		p.anonymous = true
		return p
	}
	return spec
}

// withPriorities configures a home as the gateway does: priorities, no reserved shares.
func withPriorities(c *home.Config) {
	withoutShares(c)
	for i := range c.Classes {
		priority := i
		c.Classes[i].Priority = &priority
	}
}

// withoutShares configures a home with neither priorities nor reserved shares.
func withoutShares(c *home.Config) {
	for i := range c.Classes {
		c.Classes[i].ReservedShare, c.Classes[i].MaxQueue = 0, 400
		c.Classes[i].DefaultHedgeDelay = 50 * time.Millisecond
	}
	c.HedgeQuantile, c.SlowStartReplies = 0.92, 1
	c.AvoidStalled, c.ReserveReportedLoad, c.ChargeRefusals = true, true, true
}
