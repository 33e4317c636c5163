package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/customer"
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
	// weights holds the customers' shares of scarce capacity, by name.
	weights map[string]float64
	// warmups holds the services whose servers get limited load while they are cold.
	warmups map[string]eligible.Warmup
	// customers is nil if the configuration lists none.
	customers *customer.Directory
	// keys holds the keys of customers, and those that earlier versions have held; nil if no
	// version had any.
	keys *customer.Directory
}

// newConfiguration compiles a configuration that follows the previous one, if any.
func newConfiguration(revision metastore.Revision, config *route.Config, previous *configuration) (*configuration, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	keys, err := newDirectory(config, previous)
	if err != nil {
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
		weights:       weightsOf(config.Customers),
		warmups:       make(map[string]eligible.Warmup),
		keys:          keys,
	}
	if len(config.Customers) > 0 {
		c.customers = keys
	}
	for _, service := range config.Services {
		if service.Warmup.Bounded() {
			c.warmups[service.Name] = service.Warmup
		}
	}
	priorities := customerPriorities(config)
	for i := range config.Routes {
		r := &config.Routes[i]
		for _, priority := range append([]int{r.Priority}, priorities...) {
			c.targets[className(priority, r.TargetLatency)] = r.TargetLatency
		}
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
	priorities := customerPriorities(config)
	for i := range config.Routes {
		r := &config.Routes[i]
		for _, priority := range append([]int{r.Priority}, priorities...) {
			if name := className(priority, r.TargetLatency); !seen[name] {
				seen[name] = true
				docs.Classes = append(docs.Classes, bundle.Class{Name: name, MaxQueue: maxQueuedLegs})
			}
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

// newDirectory returns the directory of the configuration's customers; nil if neither it nor an
// earlier version has any.
func newDirectory(config *route.Config, previous *configuration) (*customer.Directory, error) {
	var before *customer.Directory
	if previous != nil {
		before = previous.keys
	}
	if len(config.Customers) == 0 && before == nil {
		return nil, nil
	}
	keys, err := customer.NewDirectory(config.Customers, before)
	return keys, errors.Wrapf(err, "configuration %d", config.Version)
}

// customerPriorities returns the different priorities of customers in ascending order.
// Requests on a route have one of them or the route's.
func customerPriorities(config *route.Config) []int {
	seen := make(map[int]bool)
	for i := range config.Customers {
		if p := config.Customers[i].Priority; p != nil {
			seen[*p] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// classOf returns the class of a customer's requests on a route; the customer may be nil. The
// customer's priority takes precedence over that of the route.
func classOf(r *route.Route, who *customer.Customer) string {
	return className(priorityOf(r, who), r.TargetLatency)
}

// priorityOf returns the priority of a request: the customer's, if it has one, or the route's.
func priorityOf(r *route.Route, who *customer.Customer) int {
	if who != nil && who.Priority != nil {
		return *who.Priority
	}
	return r.Priority
}

// className groups requests by priority and target, so that hundreds of routes share a few
// classes. The timeout is left out: a change of it must not reset the latency statistics.
func className(priority int, target time.Duration) string {
	return fmt.Sprintf("p%d-%v", priority, target)
}

// weightsOf returns the weights of the customers: as configured, else by their limits, which
// follow their usual rates. A customer without a limit weighs as much as the mean of those
// with one.
func weightsOf(customers []customer.Account) map[string]float64 {
	weights := make(map[string]float64, len(customers))
	sum, limited := 0.0, 0.0
	for i := range customers {
		if limit := customers[i].Limit; limit.Bounded() {
			sum += limit.PerSecond
			limited++
		}
	}
	for i := range customers {
		c := &customers[i]
		switch {
		case c.Weight > 0:
			weights[c.Name] = c.Weight
		case c.Limit.Bounded():
			weights[c.Name] = c.Limit.PerSecond / (sum / limited)
		default:
			weights[c.Name] = 1
		}
	}
	return weights
}

// weight returns the customer's weight; 1 if it is not known.
func (c *configuration) weight(name string) float64 {
	if weight, known := c.weights[name]; known {
		return weight
	}
	return 1
}
