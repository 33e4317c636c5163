package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/admit"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/customer"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// Guards against limiting requests to a single service, which may not be repeatable, and
// against permits of searches that are never given back.
func TestOnlySearchesAreLimited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := newSearchAdmission(func() time.Time { return now })
	compiled, err := bundle.Compile(1, bundle.Documents{Classes: []bundle.Class{{Name: "p1"}}})
	is.NoErr(err)
	a.controller.Reconfigure(compiled)
	keys, err := customer.NewDirectory([]customer.Account{{Customer: customer.Customer{Name: "a"}}}, nil)
	is.NoErr(err)
	c := &configuration{compiled: compiled, customers: keys}
	spec := scatter.QuerySpec{Class: "p1", Plan: scatter.Plan{Snapshot: newSnapshot(1, []string{"a"}), Deadline: now.Add(2 * time.Second), SoftDeadline: now.Add(time.Second)}}
	permit, refusal := a.admit(c, 1, &spec)
	is.True(permit == nil && refusal == nil)
	spec.Snapshot = newSnapshot(1, []string{"a", "b"})
	permit, refusal = a.admit(c, 1, &spec)
	is.True(permit != nil && refusal == nil)
	is.Equal(a.controller.Stats().InFlight, 1)
	a.release(permit, &scatter.Answer{Code: result.Overloaded, Reason: admit.ReasonForecast})
	is.Equal(a.controller.Stats().InFlight, 0)
	is.Equal(a.controller.Stats().Classes[0].Refusals[admit.ReasonForecast], 1)
	is.True(spec.RetryAfter(now) <= 600*time.Millisecond) // callers wait a third of their time
	c.customers = nil                                     // deployments without customers are served as before
	permit, refusal = a.admit(c, 1, &spec)
	is.True(permit == nil && refusal == nil)
}

// Guards against large customers being cut to the share of small ones: limits follow the
// usual rates.
func TestWeightsFollowLimits(t *testing.T) {
	is := is.New(t)
	account := func(name string, weight, limit float64) customer.Account {
		return customer.Account{Customer: customer.Customer{Name: name, Weight: weight, Limit: customer.Limit{PerSecond: limit}}}
	}
	weights := weightsOf([]customer.Account{account("large", 0, 30), account("small", 0, 10), account("unlimited", 0, 0), account("set", 5, 10)})
	is.Equal(weights["large"], 3*weights["small"])
	is.Equal(weights["unlimited"], 1.0)
	is.Equal(weights["set"], 5.0)
}
