package bench

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// TwoActiveHosts returns the shape of a deployment in which all callers use two
// entry hosts, each of them the home of every service for its own queries.
func TwoActiveHosts() Shape {
	return Shape{
		EntryHosts: 2, Services: 20, Servers: 2, Slots: 2, ServerQueue: 12, Zones: 2,
		HopSameZone: 100 * time.Microsecond, HopOtherZone: 1400 * time.Microsecond,
		ServiceTime: ServiceTime{Base: 9 * time.Millisecond, MeanExtra: 6 * time.Millisecond, StragglerShare: 0.01, StragglerExtra: 60 * time.Millisecond},
	}
}

const (
	searchSoftDeadline = 120 * time.Millisecond
	searchMinCoverage  = 0.89
	lookupSoftDeadline = 60 * time.Millisecond
	lookupMinCoverage  = 0.75
)

// mixedTraffic returns long searches and a third as many short lookups; refused
// callers retry once.
func mixedTraffic() []Traffic {
	short := ServiceTime{Base: 3 * time.Millisecond, MeanExtra: 2 * time.Millisecond, StragglerShare: 0.01, StragglerExtra: 20 * time.Millisecond}
	return []Traffic{
		{Caller: "members", Class: Standard, Share: 0.9, Deadline: searchDeadline, SoftDeadline: searchSoftDeadline, MinCoverage: searchMinCoverage, RetryRefused: true},
		{Caller: "relatives", Class: Interactive, Share: 0.1, Deadline: time.Second, SoftDeadline: lookupSoftDeadline, MinCoverage: lookupMinCoverage, ServiceTime: short, RetryRefused: true},
	}
}

// GoodputCase returns a load of a third of the capacity that is multiplied by the
// factor during the burst.
func GoodputCase(factor float64) Case {
	return Case{
		Name: "goodput", Shape: TwoActiveHosts(), Load: 0.33, Traffic: mixedTraffic(), Length: 13 * time.Second,
		Surge: func(at time.Duration) float64 {
			if at < burstStart || at >= burstEnd {
				return 1
			}
			return factor
		},
	}
}

// Start and end of the burst, or of the impairment.
const (
	burstStart = 4 * time.Second
	burstEnd   = 9 * time.Second
)

// ImpairedCase returns a load of 0.6 of the capacity in which one server of each
// of the first services is slow for a while, so that the capacity of these
// services is below the demand.
func ImpairedCase(services int) Case {
	slowDown := func(factor float64) func(*Sim) {
		return func(s *Sim) {
			for _, service := range s.Services[:services] {
				service.Servers[0].SlowFactor = factor
			}
		}
	}
	return Case{
		Name: "impaired", Shape: TwoActiveHosts(), Load: 0.6, Traffic: mixedTraffic(), Length: 13 * time.Second,
		Changes: []Change{{At: burstStart, Apply: slowDown(7)}, {At: burstEnd, Apply: slowDown(1)}},
	}
}

// MeanCredit returns the mean credit of the queries that arrived between the two
// times: the square of the coverage of an answer in time, otherwise 0.
func (r *Result) MeanCredit(from, until time.Duration) float64 {
	credit, arrived := 0.0, 0
	for second := int(from / time.Second); second < int(until/time.Second); second++ {
		credit += r.PerSecond[second].Credit
		arrived += r.PerSecond[second].Arrived
	}
	return credit / float64(max(1, arrived))
}

// LocalHomes is the home policy with every leg at its entry host, whose homes
// share the servers' slots with those of the other hosts.
func LocalHomes(name string) PolicySpec {
	spec := HomePolicy(name, func(c *home.Config) {
		c.ReserveReportedLoad, c.ChargeRefusals = true, true
	})
	newPolicy := spec.New
	spec.New = func(s *Sim) Policy {
		p := newPolicy(s).(*homePolicy)
		p.local = true
		return p
	}
	return spec
}

// WithForecasts admits queries by the forecasts of their services.
func WithForecasts(spec PolicySpec) PolicySpec {
	spec.Admission = func(s *Sim) Admission { return &forecastAdmission{sim: s, homePolicy: s.policy.(*homePolicy)} }
	return spec
}

type forecastAdmission struct {
	sim        *Sim
	homePolicy *homePolicy
}

// Arrive implements Admission.
func (a *forecastAdmission) Arrive(q *Query) {
	plan := scatter.Plan{
		Request: q.ID, Started: a.sim.Now(), Deadline: q.DeadlineTime(), SoftDeadline: q.softDeadline(), MinCoverage: q.Traffic.MinCoverage,
	}
	forecasts := make([]leg.Forecast, len(q.Legs))
	for i, l := range q.Legs {
		forecasts[i] = a.homePolicy.runner(q.Host, l.Service).state.Forecast(a.sim.Now(), q.Traffic.Class)
	}
	decision := scatter.DecideAdmission(&plan, plan.SoftDeadline.Sub(plan.Started), forecasts)
	if decision.Refuse {
		a.sim.Refuse(q, result.Overloaded, scatter.RetryAfter(&plan, a.sim.Now()))
		return
	}
	for i, optional := range decision.Optional {
		q.Legs[i].Optional = optional
	}
	a.sim.Release(q)
}

// LegEnded implements Admission.
func (a *forecastAdmission) LegEnded(*Leg) {}

// QueryEnded implements Admission.
func (a *forecastAdmission) QueryEnded(*Query) {}

// GoodputShare returns the fraction of the servers' capacity that was used for
// answers in time to queries that arrived between the two times. It is measured
// in service time, so that it does not depend on the share of short queries.
func (r *Result) GoodputShare(shape Shape, from, until time.Duration) float64 {
	var work time.Duration
	for second := int(from / time.Second); second < int(until/time.Second); second++ {
		work += r.PerSecond[second].InTimeWork
	}
	return work.Seconds() / (until - from).Seconds() / float64(shape.Servers*shape.Slots)
}
