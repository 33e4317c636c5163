package gateway

import (
	"fmt"
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/route"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

const (
	// hedgeQuantile of the service time, past which a part of an answer is
	// asked for a second time. With the budget below, hedges at this quantile
	// are paid for without running dry.
	hedgeQuantile = 0.92
	// hedgePart and retryPart are the parts of the budget of extra arrivals
	// that hedges and retries may use; the rest is headroom for hosts that
	// count the requests of a service differently.
	hedgePart = 0.56
	retryPart = 0.25
	// hedgeStart and retryStart are the parts of what hedges and retries may use at once
	// that a host has when it starts.
	//
	// Load: all hosts were killed, and start again while callers wait. Harm prevented:
	// without hedges each of the first searches lacks its slowest parts and comes at the
	// last moment. Limit: what the lives before have spent counts too, so that both
	// together keep the operator's bound.
	hedgeStart, retryStart = 0.25, 0.6
	// zoneCost is what a hop to a server in another availability zone counts
	// for, in seconds of finish time: the way itself is a millisecond, the rest
	// keeps the bytes, which the users pay for, within the zone while the near
	// server has room.
	zoneCost = 0.015
	// warmAfter is how many answers a new server gives before it gets as much at
	// once as the others. The users' servers are slow by 1.6 at first, and a
	// service has two: keeping one of four slots idle for 16 answers lost more.
	warmAfter = 1
	// hedgeUnknownPart is the part of its target after which a class of which
	// too little is known is hedged.
	hedgeUnknownPart = 0.4
	// defaultSlots stands in for a server that does not say what it serves at once.
	defaultSlots = 2
	// maxQueue bounds the waiting parts of one class at one service: a second
	// of the work of two servers with two slots at 10 ms.
	maxQueue = 400
)

// Budget bounds the arrivals at a service beyond the first of each request,
// summed over all hosts in any window.
type Budget struct {
	Ratio  float64       // of the requests for the service
	Slack  float64       // arrivals, whatever the load
	Window time.Duration // 0: not known, and Slack is used once
}

// configuration is one version in the form that requests are served from. It
// is immutable.
type configuration struct {
	revision metastore.Revision // of the store
	table    *route.Table
	homes    *bundle.Config
	shards   map[*route.Route]*snapshot.Snapshot
	single   map[string]*snapshot.Snapshot // by service, for plain routes
	targets  map[string]time.Duration      // by class
	split    map[string]bool               // services of searches that are split
	largest  int                           // services of the largest of these
	// warmups are the services whose servers bear little while they are cold.
	warmups map[string]eligible.Warmup
}

func newConfiguration(revision metastore.Revision, config *route.Config) (*configuration, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	homes, err := bundle.Compile(config.Version, documents(config))
	if err != nil {
		return nil, err
	}
	c := &configuration{
		revision: revision,
		table:    route.NewTable(config),
		homes:    homes,
		shards:   make(map[*route.Route]*snapshot.Snapshot),
		single:   make(map[string]*snapshot.Snapshot),
		targets:  make(map[string]time.Duration),
		split:    make(map[string]bool),
		warmups:  make(map[string]eligible.Warmup),
	}
	for _, service := range config.Services {
		if service.Warmup.Bounded() {
			c.warmups[service.Name] = service.Warmup
		}
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		c.targets[className(r)] = r.TargetLatency
		if r.IsFanout() {
			c.shards[r] = newSnapshot(config.Version, r.Shards)
			c.noteSplit(r)
		}
		for _, share := range r.WeightedServices {
			c.single[share.Service] = newSnapshot(config.Version, []string{share.Service})
		}
	}
	return c, nil
}

// version is the operator's.
func (c *configuration) version() uint64 { return c.table.Config.Version }

// names reports whether the configuration names the service.
func (c *configuration) names(service string) bool {
	_, named := c.homes.Service(service)
	return named
}

// newSnapshot numbers the services as the shards of one version.
func newSnapshot(version uint64, services []string) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Version: snapshot.Version(version)}
	for i, service := range services {
		s.Shards = append(s.Shards, snapshot.Shard{ID: snapshot.ShardID(i), Service: service})
	}
	return s
}

// documents puts the operator's routes and services into the classes and
// services that the homes know.
func documents(config *route.Config) bundle.Documents {
	var docs bundle.Documents
	seen := make(map[string]bool)
	for i := range config.Routes {
		r := &config.Routes[i]
		if name := className(r); !seen[name] {
			seen[name] = true
			docs.Classes = append(docs.Classes, bundle.Class{Name: name, MaxQueue: maxQueue})
		}
	}
	for _, service := range config.Services {
		docs.Services = append(docs.Services, bundle.Service{
			Name: service.Name, SlotsPerServer: defaultSlots, ConnectionsPerServer: service.MaxConnections,
		})
	}
	docs.Policy.HedgeQuantile = hedgeQuantile
	return docs
}

// className puts routes with the same priority and target into one class: their
// requests are alike, and hundreds of routes share a few classes. The timeout is
// left out: an operator changes it, and what was measured of the class is kept.
func className(r *route.Route) string {
	return fmt.Sprintf("p%d-%v", r.Priority, r.TargetLatency)
}

// slackByTime is the part of a host's slack that is earned anew in each window; the
// rest may be used at once. In a window no more than both are.
const slackByTime = 0.4

// tune shares the budget of extra arrivals out: each host earns its own
// requests' part, and the slack is divided by the hosts that may be advised at
// once while their views differ.
func (b Budget) tune(hosts int) func(*home.Config) {
	slack := b.Slack / float64(max(hosts, 1))
	rate := 0.0
	if b.Window > 0 {
		rate = slackByTime * slack / b.Window.Seconds()
		slack *= 1 - slackByTime
	}
	return func(config *home.Config) {
		config.HedgeBudget = hedgePart * b.Ratio
		config.RetryBudget = retryPart * b.Ratio
		config.HedgeBurst = max(1, hedgePart*slack)
		config.RetryBurst = max(1, retryPart*slack)
		config.HedgeInitialFill, config.RetryInitialFill = hedgeStart, retryStart
		config.HedgesPerSecond = hedgePart * rate
		config.RetriesPerSecond = retryPart * rate
		config.ChargeRefusals = true
		config.SlowStartReplies = warmAfter
		config.ReserveReportedLoad = true
		config.AvoidStalled = true
		config.CrossZonePenaltySeconds = zoneCost
	}
}
