package load

import (
	"fmt"
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/standin"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// Stream is one kind of request on one index.
type Stream struct {
	Index string
	Route string
	Class string
	// Role is the callers' role; its callers share the stream unevenly.
	Role string
	// Share is the stream's part of the index's requests.
	Share float64
	// Booking sends one non-idempotent request to one shard.
	Booking bool
	Prefer  bundle.PartialStrategy
	// MinCoverage is the route's.
	MinCoverage float64
}

// Shape is a user's services and what callers ask of them.
type Shape struct {
	Name    string
	Groups  []testbed.ServiceGroup
	Classes []bundle.Class
	Streams []Stream
	// CallersOfRole is how many callers each role has.
	CallersOfRole map[string]int
}

// scaled makes service times and deadlines longer by the factor, so that a
// small machine carries the same share of slots with less processor time.
func (s Shape) scaled(factor float64) Shape {
	groups := append([]testbed.ServiceGroup(nil), s.Groups...)
	for i := range groups {
		groups[i].Time = scaleTime(groups[i].Time, factor)
	}
	classes := append([]bundle.Class(nil), s.Classes...)
	for i := range classes {
		classes[i].DefaultDeadline = bundle.Duration(scale(time.Duration(classes[i].DefaultDeadline), factor))
	}
	s.Groups, s.Classes = groups, classes
	return s
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func scaleTime(t standin.ServiceTime, factor float64) standin.ServiceTime {
	t.Base = scale(t.Base, factor)
	t.Mean = scale(t.Mean, factor)
	t.Straggler = scale(t.Straggler, factor)
	return t
}

func meanTime(t standin.ServiceTime) time.Duration {
	return t.Base + t.Mean + scale(t.Straggler, t.StragglerShare)
}

// rate is how many requests a second of the group's streams use the share of
// its slots: a query takes a slot in every service, a booking in one.
func (s Shape) rate(g testbed.ServiceGroup, share float64) float64 {
	perService := float64(g.Servers*g.Slots) / meanTime(g.Time).Seconds()
	return share * perService / s.legsPerService(g)
}

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

func (s Shape) wait(class string) time.Duration {
	for _, c := range s.Classes {
		if c.Name == class {
			return time.Duration(c.DefaultDeadline)
		}
	}
	return time.Second
}

func (s Shape) longestWait() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, time.Duration(class.DefaultDeadline))
	}
	return longest
}

func callerName(role string, i int) string { return fmt.Sprintf("%s-%d", role, i+1) }

func tokenOf(caller string) string { return "load-token-of-" + caller }

func (s Shape) callersOf(role string) []string {
	names := make([]string, s.CallersOfRole[role])
	for i := range names {
		names[i] = callerName(role, i)
	}
	return names
}

// documents are the shape's bundle; the testbed adds the services.
func (s Shape) documents(policy bundle.Policy) bundle.Documents {
	docs := bundle.Documents{Classes: s.Classes, Policy: policy}
	for role := range s.CallersOfRole {
		for _, name := range s.callersOf(role) {
			docs.Callers = append(docs.Callers, bundle.Caller{Name: name, TokenSHA256: testbed.TokenHash(tokenOf(name))})
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
		MaxDeadline: bundle.Duration(s.longestWait()),
	}
}
