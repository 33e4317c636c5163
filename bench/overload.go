package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// SharedSearch returns a shape in which four hosts coordinate searches over services whose
// homes are spread over them.
func SharedSearch() Shape {
	return Shape{
		EntryHosts: 4, Services: 30, Servers: 3, Slots: 2, ServerQueue: 12, Zones: 3,
		HopSameZone: 250 * time.Microsecond, HopOtherZone: 500 * time.Microsecond,
		ServiceTime:    ServiceTime{Base: 20 * time.Millisecond, MeanExtra: 8 * time.Millisecond, StragglerShare: 0.005, StragglerExtra: 60 * time.Millisecond},
		DetectHostLoss: 300 * time.Millisecond,
	}
}

const (
	fullTarget, fullDeadline     = 300 * time.Millisecond, 2 * time.Second
	urgentTarget, urgentDeadline = 80 * time.Millisecond, 800 * time.Millisecond
	fullCoverage, urgentCoverage = 0.95, 0.85
	urgentShare                  = 0.15 // of the slot time
	overloadCallers              = 10
)

// customerTraffic returns full searches and urgent lookups of ten customers with equal
// shares; the first sends the given multiple of its own. Refused callers retry once.
func customerTraffic(factor float64) []Traffic {
	lookup := ServiceTime{Base: 7 * time.Millisecond, MeanExtra: 2 * time.Millisecond, StragglerShare: 0.005, StragglerExtra: 20 * time.Millisecond}
	var traffic []Traffic
	for i := range overloadCallers {
		share := 1.0 / overloadCallers
		if i == 0 {
			share *= factor
		}
		traffic = append(
			traffic,
			Traffic{Caller: callerName(i), Class: Standard, Share: (1 - urgentShare) * share, Deadline: fullDeadline, SoftDeadline: fullTarget, MinCoverage: fullCoverage, RetryRefused: true},
			Traffic{Caller: callerName(i), Class: Interactive, Share: urgentShare * share, Deadline: urgentDeadline, SoftDeadline: urgentTarget, MinCoverage: urgentCoverage, ServiceTime: lookup, RetryRefused: true},
		)
	}
	return traffic
}

// OverloadCase returns a load of 0.3 of the capacity that is multiplied by the factor during
// the burst, while the first customer sends flood times as much as the others.
func OverloadCase(factor, flood float64) Case {
	return Case{
		Name: "overload", Shape: SharedSearch(), Load: 0.3, Traffic: customerTraffic(flood), Length: 13 * time.Second,
		Surge: func(at time.Duration) float64 {
			if at < burstStart || at >= burstEnd {
				return 1
			}
			return factor
		},
	}
}

// Slowed returns the case with a part of all servers slow by the factor during the burst.
func (c Case) Slowed(part, factor float64) Case {
	set := func(factor float64) func(*Sim) {
		return func(s *Sim) {
			n, total := 0, len(s.Services)*s.Case.Shape.Servers
			for i := range s.Case.Shape.Servers {
				for _, service := range s.Services {
					if n < int(part*float64(total)) {
						service.Servers[i].SlowFactor = factor
					}
					n++
				}
			}
		}
	}
	c.Changes = append(slices.Clip(c.Changes), Change{At: burstStart, Apply: set(factor)}, Change{At: burstEnd, Apply: set(1)})
	return c
}

// WithSearchLimit admits queries as a coordinating host does: by the latency limit of their
// class, with shares of the customers, then by the forecasts that came with replies.
func WithSearchLimit(spec PolicySpec, limited bool) PolicySpec {
	spec.Admission = func(s *Sim) Admission {
		a := &searchAdmission{sim: s, limited: limited, permits: make(map[*Query]*admit.Permit), refused: make(map[*Query]string), forecasts: make(map[forecastKey]cachedForecast)}
		a.policy = s.policy.(*homePolicy)
		a.policy.onReply = a.recordForecast
		for i := range s.Hosts {
			controller := admit.New(admit.Limits{MaxConcurrent: benchMaxConcurrent, MaxBytes: benchMaxBytesInFlight}, rand.New(rand.NewPCG(uint64(i), 4)))
			controller.Reconfigure(&bundle.Config{Classes: []bundle.Class{Interactive: {Name: "interactive"}, Standard: {Name: "standard"}, Batch: {Name: "batch"}}})
			a.controllers = append(a.controllers, controller)
		}
		return a
	}
	return spec
}

type searchAdmission struct {
	refused     map[*Query]string // why the forecasts refused it
	sim         *Sim
	policy      *homePolicy
	limited     bool
	controllers []*admit.Controller // by entry host
	permits     map[*Query]*admit.Permit
	forecasts   map[forecastKey]cachedForecast
}

type forecastKey struct{ host, service, class int }

type cachedForecast struct {
	forecast leg.Forecast
	at       time.Duration
}

const benchForecastTTL = 500 * time.Millisecond

func (a *searchAdmission) recordForecast(l *Leg, f leg.Forecast) {
	a.forecasts[forecastKey{l.Query.Host, l.Service.Index, l.Query.Traffic.Class}] = cachedForecast{f, a.sim.now}
}

func (a *searchAdmission) forecast(host int, service *Service, class int) leg.Forecast {
	if target, ok := a.policy.target(host, service, false); ok && target == host {
		return a.policy.runner(host, service).state.Forecast(a.sim.Now(), class)
	}
	cached, ok := a.forecasts[forecastKey{host, service.Index, class}]
	if age := a.sim.now - cached.at; ok && age <= benchForecastTTL {
		cached.forecast.QueueTime = max(0, cached.forecast.QueueTime-age)
		return cached.forecast
	}
	return leg.Forecast{}
}

// Arrive implements Admission. A refusal takes about as much of the processor as a leg.
func (a *searchAdmission) Arrive(q *Query) {
	a.sim.OnProcessor(q.Host, 1, func() { a.decide(q) })
}

func (a *searchAdmission) decide(q *Query) {
	if q.ended {
		return
	}
	now := a.sim.Now()
	plan := scatter.Plan{Request: q.ID, Started: now, Deadline: q.DeadlineTime(), SoftDeadline: q.softDeadline(), MinCoverage: q.Traffic.MinCoverage}
	if a.limited {
		permit, refusal := a.controllers[q.Host].Admit(now, admit.Request{
			Caller: q.Traffic.Caller, Weight: 1, Class: q.Traffic.Class, Priority: q.Traffic.Class, Deadline: q.DeadlineTime(), Target: q.softDeadline(), ProcessorDelay: a.sim.ProcessorDelay(q.Host),
		})
		if refusal != nil {
			a.sim.result.RefusedFor[refusal.Reason]++
			a.sim.Refuse(q, refusal.Code, refusal.RetryAfter)
			return
		}
		a.permits[q], plan.QueueShare = permit, permit.QueueShare()
	}
	forecasts := make([]leg.Forecast, len(q.Legs))
	for i, l := range q.Legs {
		forecasts[i] = a.forecast(q.Host, l.Service, q.Traffic.Class)
	}
	decision := scatter.DecideAdmission(&plan, plan.SoftDeadline.Sub(now), forecasts)
	if decision.Refuse {
		delay := scatter.RetryAfter(&plan, now)
		if a.limited {
			delay = a.controllers[q.Host].RetryAfter(now, q.Traffic.Class, plan.Deadline.Sub(now))
		}
		a.refused[q] = admit.ReasonForecast
		if decision.Silent {
			a.refused[q] = admit.ReasonSilent
		}
		a.sim.Refuse(q, result.Overloaded, delay)
		return
	}
	for i, optional := range decision.Optional {
		q.Legs[i].Optional = optional
	}
	a.sim.Release(q)
}

// LegEnded implements Admission.
func (a *searchAdmission) LegEnded(*Leg) {}

// QueryEnded implements Admission.
func (a *searchAdmission) QueryEnded(q *Query) {
	permit := a.permits[q]
	reason := a.refused[q]
	delete(a.permits, q)
	delete(a.refused, q)
	if permit == nil {
		return
	}
	a.controllers[q.Host].Release(a.sim.Now(), permit, admit.Completion{
		Answered: q.covered(), NotRun: !q.released, Refused: reason, Legs: a.legTimings(q), ProcessorDelay: a.sim.ProcessorDelay(q.Host),
	})
}

func (a *searchAdmission) legTimings(q *Query) []admit.LegTiming {
	timings := make([]admit.LegTiming, len(q.Legs))
	for i, l := range q.Legs {
		timings[i] = admit.LegTiming{Service: l.Service.Name, Time: a.sim.now - l.Submitted, QueueTime: queueTime(l), TimedOut: !l.Ended}
		if l.Ended {
			timings[i].Time = l.endedAt - l.Submitted
		}
	}
	return timings
}

// InTimePerSecond returns the answers in time per second of arrival between the two times.
func (r *Result) InTimePerSecond(from, until time.Duration) float64 {
	answers := 0
	for second := int(from / time.Second); second < int(until/time.Second); second++ {
		answers += r.PerSecond[second].InTime
	}
	return float64(answers) / (until - from).Seconds()
}

// PrintOverload describes the answers during and after the burst.
func (r *Result) PrintOverload(shape Shape) string {
	return fmt.Sprintf("%s: goodput %.3f, after %.3f; in time/s %.0f, after %.0f; refused %d of %d, p99 %v",
		r.Policy, r.GoodputShare(shape, burstStart, burstEnd), r.GoodputShare(shape, burstEnd+time.Second, burstEnd+3*time.Second),
		r.InTimePerSecond(burstStart, burstEnd), r.InTimePerSecond(burstEnd+time.Second, burstEnd+3*time.Second), r.All.Refused, r.All.Arrived, r.All.Latency(0.99))
}

// Pausing returns the case with servers that pause in turn, each once in the period.
func (c Case) Pausing(period, length time.Duration) Case {
	const factor = 10 // about as long as the pause, for requests that start in it
	for service := range c.Shape.Services {
		for server := range c.Shape.Servers {
			offset := period * time.Duration(service*c.Shape.Servers+server) / time.Duration(c.Shape.Services*c.Shape.Servers)
			for at := offset; at < c.Length; at += period {
				set := func(factor float64) func(*Sim) {
					return func(s *Sim) { s.Services[service].Servers[server].SlowFactor = factor }
				}
				c.Changes = append(c.Changes, Change{At: at, Apply: set(factor)}, Change{At: at + length, Apply: set(1)})
			}
		}
	}
	return c
}
