package gateway

import (
	"github.com/goldcrestspan/goldcrestspan/entry"
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
