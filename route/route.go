// Package route owns the routes of requests that are passed on as their callers
// sent them: which route a request takes, which services it goes to, and within
// which limits. It is pure.
package route

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/eligible"
)

// Config is one version of the operator's configuration.
type Config struct {
	// Version rises with each configuration, in uneven steps.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Limits bound what a caller may send on a connection. Zero: no bound stated.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // for the head of a request
	IdleTimeout    time.Duration // between two requests
}

// Service is a set of backend servers that answer equally well.
type Service struct {
	Name string
	// MaxConnections is each backend server's limit over all hosts; 0: not known.
	MaxConnections int
	// Warmup is what its backend servers bear while they are cold.
	Warmup eligible.Warmup
}

// Route says where requests of a host name and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Idempotent requests may run more than once; others at most once.
	Idempotent bool
	// Timeout is the longest a request is kept waiting.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer has its full worth.
	TargetLatency time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxServers bounds the backend servers that one request, or one shard's
	// part of it, may be sent to; 0: no bound.
	MaxServers int
	// WeightedServices are the services of a plain route; one of them gets the request.
	WeightedServices []WeightedService
	// Shards are the services of a route that asks all of them; empty: plain.
	Shards []string
	// TopK is how many records an answer of all shards holds.
	TopK int
	// MinShardShare is the share of shards, 0 to 1, below which there is no answer.
	MinShardShare float64
	// Regions are those whose backend servers may run the route's requests; empty: any.
	Regions []string
}

// WeightedService is one service of a plain route and its weight against the others.
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
	for i, share := range r.WeightedServices {
		names[i] = share.Service
	}
	return names
}

// Validate refuses what would make a request go nowhere or be judged wrongly.
func (c *Config) Validate() error {
	if c.Version == 0 {
		return errors.New("route: the configuration has no version")
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
		return errors.New("it must name either shards or a service")
	case r.IsFanout() && r.TopK <= 0:
		return errors.New("a route over shards must say how many records it returns")
	case r.IsFanout() && !r.Idempotent:
		return errors.New("a route over shards must be idempotent")
	case r.MinShardShare < 0 || r.MinShardShare > 1:
		return errors.Errorf("least share %v is not between 0 and 1", r.MinShardShare)
	case r.Timeout < 0 || r.TargetLatency < 0:
		return errors.New("a time is negative")
	}
	total := 0.0
	for _, share := range r.WeightedServices {
		if share.Weight < 0 {
			return errors.Errorf("the weight of service %s is negative", share.Service)
		}
		total += share.Weight
	}
	if len(r.WeightedServices) > 0 && total <= 0 {
		return errors.New("the weights add up to nothing")
	}
	seen := make(map[string]bool)
	for _, name := range r.Services() {
		if !known[name] {
			return errors.Errorf("service %q is not among the services", name)
		}
		if seen[name] {
			return errors.Errorf("service %q is named twice", name)
		}
		seen[name] = true
	}
	return nil
}
