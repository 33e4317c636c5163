package gateway

import (
	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/place"
	"github.com/goldcrestspan/goldcrestspan/route"
)

// splitServices are the services of searches that are split between hosts.
type splitServices struct {
	services     []place.Service
	largestSplit int // services of the largest split search
}

// splitServices returns the services whose homes are spread over hosts; see
// entry.SearchHomes.
func (g *Gateway) splitServices() (services []place.Service, largestSplit int) {
	if split := g.split.Load(); split != nil {
		return split.services, split.largestSplit
	}
	return nil, 0
}

// addSplit records the services of the route if its searches are split.
func (c *configuration) addSplit(r *route.Route) {
	if !entry.ShouldSplit(len(r.Shards)) {
		return
	}
	c.largestSplit = max(c.largestSplit, len(r.Shards))
	for _, service := range r.Shards {
		c.isSplit[service] = true
	}
}

// splitServices returns the services of split searches that have servers, with the servers'
// availability zones.
func (c *configuration) splitServices(servers map[string]backend.Server) *splitServices {
	var relevant []backend.Server
	for _, server := range servers {
		if c.isSplit[server.Service] {
			relevant = append(relevant, server)
		}
	}
	return &splitServices{services: place.Services(relevant), largestSplit: c.largestSplit}
}
