package gateway

import (
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/place"
)

// Advise names the hosts that callers should use, by the callers' address.
func (g *Gateway) Advise() []string {
	var addresses []string
	for _, host := range entry.Carriers(g.members.View(), g.serversByZone()) {
		addresses = append(addresses, host.CallerAddress)
	}
	return addresses
}

// serversByZone counts the backend servers of each availability zone.
func (g *Gateway) serversByZone() map[string]int {
	if known := g.zones.Load(); known != nil {
		return *known
	}
	return nil
}

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
