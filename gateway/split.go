package gateway

import (
	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/place"
	"github.com/goldcrestspan/goldcrestspan/route"
)

// splitServices are the services of the searches that are split.
type splitServices struct {
	services []place.Service
	largest  int // services of the largest such search
}

// sharedServices lists the services that hosts share; see entry.Homes.
func (g *Gateway) sharedServices() (services []place.Service, largest int) {
	if split := g.split.Load(); split != nil {
		return split.services, split.largest
	}
	return nil, 0
}

// noteSplit notes the services of the route if its searches are split.
func (c *configuration) noteSplit(r *route.Route) {
	if !entry.ShouldSplit(len(r.Shards)) {
		return
	}
	c.largest = max(c.largest, len(r.Shards))
	for _, service := range r.Shards {
		c.split[service] = true
	}
}

// splitServices are the services of split searches that have servers, with the
// availability zones of these.
func (c *configuration) splitServices(servers map[string]backend.Server) *splitServices {
	var asked []backend.Server
	for _, server := range servers {
		if c.split[server.Service] {
			asked = append(asked, server)
		}
	}
	return &splitServices{services: place.Services(asked), largest: c.largest}
}
