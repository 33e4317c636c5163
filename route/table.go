package route

import (
	"math"
	"slices"
	"strings"
	"sync/atomic"
)

// Table finds routes in one version of the configuration. It is safe for
// concurrent use, and immutable but for the counters of weighted routes.
type Table struct {
	Config         *Config
	routes         map[string]map[string]*entry // by host name, by prefix
	allowedRegions map[string][]string          // by host name, allowed by all of its restricted routes
}

type entry struct {
	route *Route
	// requests counts the requests of a weighted route.
	requests atomic.Uint64
}

// NewTable indexes a valid configuration. Of two routes with the same host and
// prefix the later one takes effect.
func NewTable(config *Config) *Table {
	t := &Table{Config: config, routes: make(map[string]map[string]*entry), allowedRegions: make(map[string][]string)}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = make(map[string]*entry)
		}
		t.routes[host][r.Prefix] = &entry{route: r}
		t.restrictRegions(host, r.Regions)
	}
	return t
}

// restrictRegions intersects the regions of a host name with those of one more of
// its routes.
func (t *Table) restrictRegions(host string, regions []string) {
	if len(regions) == 0 {
		return
	}
	existing, restricted := t.allowedRegions[host]
	if !restricted {
		t.allowedRegions[host] = slices.Clone(regions)
		return
	}
	t.allowedRegions[host] = slices.DeleteFunc(existing, func(region string) bool { return !slices.Contains(regions, region) })
}

// Regions are the regions that all routes of the host name allow; empty: no route
// is restricted, or no region is allowed by all.
func (t *Table) Regions(host string) []string { return t.allowedRegions[normalizeHost(host)] }

// Match returns the route of the host with the longest matching path prefix, and
// for a plain route the service that gets this request.
func (t *Table) Match(host, path string) (r *Route, service string, ok bool) {
	prefixes := t.routes[normalizeHost(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if e := prefixes[path[:end+1]]; e != nil {
			return e.route, e.nextService(), true
		}
	}
	return nil, "", false
}

// normalizeHost removes the port and converts to lower case.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// nextService chooses the service of the next request by weight. Multiples of the
// golden ratio, modulo 1, spread evenly, so that each service's share is exact to
// about one request; random draws would miss it by several percent over a few
// hundred requests.
func (e *entry) nextService() string {
	services := e.route.WeightedServices
	if len(services) <= 1 {
		if len(services) == 0 {
			return ""
		}
		return services[0].Service
	}
	total := 0.0
	for _, s := range services {
		total += s.Weight
	}
	_, point := math.Modf(float64(e.requests.Add(1)) * math.Phi)
	point *= total
	for _, s := range services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return heaviest(services)
}

// heaviest is the fallback for rounding errors; it never has weight 0.
func heaviest(services []WeightedService) string {
	best := services[0]
	for _, s := range services[1:] {
		if s.Weight > best.Weight {
			best = s
		}
	}
	return best.Service
}
