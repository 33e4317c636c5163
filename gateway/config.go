package gateway

import (
	"fmt"
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/route"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

const (
	// hedgeQuantile is the quantile of the service time after which a leg is hedged.
	hedgeQuantile = 0.92
	// crossZonePenaltySeconds is added to the expected finish time at servers in other
	// zones: traffic between zones is billed, so it is avoided while a local server has
	// capacity.
	crossZonePenaltySeconds = 0.015
	// slowStartReplies is how many replies a new server gives before it gets as much
	// concurrent work as the others. A service may have two servers of two slots: keeping one
	// of four slots idle for longer costs more than a new server's slowness.
	slowStartReplies = 1
	// unknownClassHedgeFraction is the fraction of its target after which a class without
	// enough latency samples is hedged.
	unknownClassHedgeFraction = 0.4
	// defaultSlotsPerServer is for servers that do not report their concurrency.
	defaultSlotsPerServer = 2
	// maxQueuedLegs bounds the queued legs of one class at one service: a second of work of two
	// servers with two slots at 10 ms.
	maxQueuedLegs = 400
)

// configuration is one compiled, immutable version of the operator's configuration.
type configuration struct {
	revision      metastore.Revision // in the store
	table         *route.Table
	compiled      *bundle.Config
	shards        map[*route.Route]*snapshot.Snapshot
	singleService map[string]*snapshot.Snapshot // by service, for routes to a single service
	targets       map[string]time.Duration      // by class
	isSplit       map[string]bool               // services of searches that are split between hosts
	largestSplit  int                           // services of the largest split search
	// warmups holds the services whose servers get limited load while they are cold.
	warmups map[string]eligible.Warmup
}

func newConfiguration(revision metastore.Revision, config *route.Config) (*configuration, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	compiled, err := bundle.Compile(config.Version, bundleDocuments(config))
	if err != nil {
		return nil, err
	}
	c := &configuration{
		revision:      revision,
		table:         route.NewTable(config),
		compiled:      compiled,
		shards:        make(map[*route.Route]*snapshot.Snapshot),
		singleService: make(map[string]*snapshot.Snapshot),
		targets:       make(map[string]time.Duration),
		isSplit:       make(map[string]bool),
		warmups:       make(map[string]eligible.Warmup),
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
			c.addSplit(r)
		}
		for _, weighted := range r.WeightedServices {
			c.singleService[weighted.Service] = newSnapshot(config.Version, []string{weighted.Service})
		}
	}
	return c, nil
}

// version returns the operator's version number.
func (c *configuration) version() uint64 { return c.table.Config.Version }

// hasService reports whether the configuration contains the service.
func (c *configuration) hasService(service string) bool {
	_, found := c.compiled.Service(service)
	return found
}

// newSnapshot builds a snapshot whose shards are the services, in order.
func newSnapshot(version uint64, services []string) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Version: snapshot.Version(version)}
	for i, service := range services {
		s.Shards = append(s.Shards, snapshot.Shard{ID: snapshot.ShardID(i), Service: service})
	}
	return s
}

// bundleDocuments converts the operator's routes and services to the documents that the
// homes are configured from.
func bundleDocuments(config *route.Config) bundle.Documents {
	var docs bundle.Documents
	seen := make(map[string]bool)
	for i := range config.Routes {
		r := &config.Routes[i]
		if name := className(r); !seen[name] {
			seen[name] = true
			docs.Classes = append(docs.Classes, bundle.Class{Name: name, MaxQueue: maxQueuedLegs, Priority: &r.Priority})
		}
	}
	for _, service := range config.Services {
		docs.Services = append(docs.Services, bundle.Service{
			Name: service.Name, SlotsPerServer: defaultSlotsPerServer, ConnectionsPerServer: service.MaxConnections,
		})
	}
	docs.Policy.HedgeQuantile = hedgeQuantile
	return docs
}

// className groups routes by priority and target, so that hundreds of routes share a few
// classes. The timeout is left out: a change of it must not reset the latency statistics.
func className(r *route.Route) string {
	return fmt.Sprintf("p%d-%v", r.Priority, r.TargetLatency)
}
