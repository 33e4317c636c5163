package load

import (
	"fmt"
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/standin"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// Stream is a stream of requests of one route.
type Stream struct {
	Index string
	Route string
	Class string
	// Role names the group of callers that send the stream.
	Role string
	// Share is the stream's share of the index's requests.
	Share float64
	// Booking streams send non-idempotent requests to one shard each.
	Booking bool
	Prefer  bundle.PartialStrategy
	// MinCoverage is the route's minimum coverage of an answer.
	MinCoverage float64
}

// Shape describes a deployment's services and its callers' requests.
type Shape struct {
	Name    string
	Groups  []testbed.ServiceGroup
	Classes []bundle.Class
	Streams []Stream
	// CallersOfRole is the number of callers of each role.
	CallersOfRole map[string]int
}

// scaled multiplies service times and deadlines by the factor: the same slot
// utilization then takes less CPU time.
func (s Shape) scaled(factor float64) Shape {
	groups := append([]testbed.ServiceGroup(nil), s.Groups...)
	for i := range groups {
		groups[i].Time = scaleServiceTime(groups[i].Time, factor)
	}
	classes := append([]bundle.Class(nil), s.Classes...)
	for i := range classes {
		classes[i].DefaultDeadline = bundle.Duration(scaleDuration(time.Duration(classes[i].DefaultDeadline), factor))
	}
	s.Groups, s.Classes = groups, classes
	return s
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func scaleServiceTime(t standin.ServiceTime, factor float64) standin.ServiceTime {
	t.Base = scaleDuration(t.Base, factor)
	t.Mean = scaleDuration(t.Mean, factor)
	t.Straggler = scaleDuration(t.Straggler, factor)
	return t
}

func meanServiceTime(t standin.ServiceTime) time.Duration {
	return t.Base + t.Mean + scaleDuration(t.Straggler, t.StragglerShare)
}

// arrivalRate returns the requests per second of the group's streams that cause the
// utilization of its slots: a query takes a slot in every service, a booking in one.
func (s Shape) arrivalRate(g testbed.ServiceGroup, utilization float64) float64 {
	perService := float64(g.Servers*g.Slots) / meanServiceTime(g.Time).Seconds()
	return utilization * perService / s.legsPerService(g)
}

// legsPerService returns the mean number of legs that a request of the group's
// streams runs at each of its services.
func (s Shape) legsPerService(g testbed.ServiceGroup) float64 {
	legs, shares := 0.0, 0.0
	for _, stream := range s.Streams {
		if stream.Index != g.Index {
			continue
		}
		shares += stream.Share
		if stream.Booking {
			legs += stream.Share / float64(g.Services)
		} else {
			legs += stream.Share
		}
	}
	return legs / shares
}

func (s Shape) services(index string) int {
	for _, group := range s.Groups {
		if group.Index == index {
			return group.Services
		}
	}
	return 0
}

func (s Shape) timeout(class string) time.Duration {
	for _, c := range s.Classes {
		if c.Name == class {
			return time.Duration(c.DefaultDeadline)
		}
	}
	return time.Second
}

func (s Shape) maxTimeout() time.Duration {
	timeout := time.Duration(0)
	for _, class := range s.Classes {
		timeout = max(timeout, time.Duration(class.DefaultDeadline))
	}
	return timeout
}

func callerName(role string, i int) string { return fmt.Sprintf("%s-%d", role, i+1) }

func callerToken(caller string) string { return "load-token-of-" + caller }

func (s Shape) callersOf(role string) []string {
	names := make([]string, s.CallersOfRole[role])
	for i := range names {
		names[i] = callerName(role, i)
	}
	return names
}

// documents returns the shape's bundle; the testbed adds the services.
func (s Shape) documents(policy bundle.Policy) bundle.Documents {
	docs := bundle.Documents{Classes: s.Classes, Policy: policy}
	for role := range s.CallersOfRole {
		for _, name := range s.callersOf(role) {
			docs.Callers = append(docs.Callers, bundle.Caller{Name: name, TokenSHA256: testbed.TokenHash(callerToken(name))})
		}
	}
	for _, stream := range s.Streams {
		docs.Routes = append(docs.Routes, s.route(stream))
	}
	return docs
}

func (s Shape) route(stream Stream) bundle.Route {
	kind := bundle.KindQuery
	if stream.Booking {
		kind = bundle.KindBooking
	}
	return bundle.Route{
		Name:        stream.Route,
		Kind:        kind,
		Index:       stream.Index,
		Callers:     s.callersOf(stream.Role),
		Classes:     []string{stream.Class},
		Prefer:      stream.Prefer,
		MinCoverage: stream.MinCoverage,
		MaxDeadline: bundle.Duration(s.maxTimeout()),
	}
}
