// Package route matches forwarded requests to the operator's routes: which
// services a request goes to, and within which limits.
package route

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/customer"
	"github.com/goldcrestspan/goldcrestspan/eligible"
)

// Config is one version of the operator's configuration.
type Config struct {
	// Version increases with each configuration, not always by one.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Customers are the customers whose keys requests need; empty: requests need no key.
	Customers []customer.Account
}

// Limits bound what a caller may send on a connection. Zero: not stated.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // to receive the headers of a request
	IdleTimeout    time.Duration // between two requests
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the limit of each backend server, over all entry hosts; 0:
	// not known.
	MaxConnections int
	// Warmup limits the load of backend servers that have just started.
	Warmup eligible.Warmup
}

// Route is where requests with a host name and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Idempotent requests may run more than once; others at most once.
	Idempotent bool
	// Timeout is the longest time until a request is answered.
	Timeout time.Duration
	// TargetLatency is the latency up to which an answer is fully useful to its caller.
	TargetLatency time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxServers bounds the backend servers that one request, or one shard's
	// part of it, may be sent to; 0: no bound.
	MaxServers int
	// WeightedServices are the services of a plain route, of which one gets each
	// request.
	WeightedServices []WeightedService
	// Shards are the services of a fan-out route, which all get each request;
	// empty: a plain route.
	Shards []string
	// TopK is the number of records in an answer of a fan-out route.
	TopK int
	// MinCoverage is the share of shards, 0 to 1, below which there is no answer.
	MinCoverage float64
	// Regions are the regions whose backend servers may run requests; empty: any.
	Regions []string
	// Public requests need no key.
	Public bool
}

// WeightedService is one service of a plain route and its relative weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// IsFanout reports whether requests go to every shard.
func (r *Route) IsFanout() bool { return len(r.Shards) > 0 }

// Services lists the services that requests on the route may go to.
func (r *Route) Services() []string {
	if r.IsFanout() {
		return r.Shards
	}
	names := make([]string, len(r.WeightedServices))
	for i, weighted := range r.WeightedServices {
		names[i] = weighted.Service
	}
	return names
}

// Validate rejects a configuration by which requests could not be routed.
func (c *Config) Validate() error {
	if c.Version == 0 {
		return errors.New("route: configuration has no version")
	}
	known := make(map[string]bool, len(c.Services))
	for _, service := range c.Services {
		known[service.Name] = true
	}
	for i := range c.Routes {
		if err := c.Routes[i].validate(known); err != nil {
			return errors.Wrapf(err, "route %s of configuration %d", c.Routes[i].Name, c.Version)
		}
	}
	return nil
}

func (r *Route) validate(known map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.New("no host name")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Errorf("prefix %q must begin and end with a slash", r.Prefix)
	case r.IsFanout() == (len(r.WeightedServices) > 0):
		return errors.New("must have either shards or a service")
	case r.IsFanout() && r.TopK <= 0:
		return errors.New("a fan-out route must state the number of records to return")
	case r.IsFanout() && !r.Idempotent:
		return errors.New("a fan-out route must be idempotent")
	case r.MinCoverage < 0 || r.MinCoverage > 1:
		return errors.Errorf("minimum share of shards %v is not between 0 and 1", r.MinCoverage)
	case r.Timeout < 0 || r.TargetLatency < 0:
		return errors.New("timeout or target latency is negative")
	}
	total := 0.0
	for _, weighted := range r.WeightedServices {
		if weighted.Weight < 0 {
			return errors.Errorf("the weight of service %s is negative", weighted.Service)
		}
		total += weighted.Weight
	}
	if len(r.WeightedServices) > 0 && total <= 0 {
		return errors.New("the weights add up to zero")
	}
	seen := make(map[string]bool)
	for _, name := range r.Services() {
		if !known[name] {
			return errors.Errorf("service %q is not defined", name)
		}
		if seen[name] {
			return errors.Errorf("service %q is listed twice", name)
		}
		seen[name] = true
	}
	return nil
}
