package gateway

import (
	"github.com/goldcrestspan/goldcrestspan/entry"
)

// Advise names the hosts that callers should use, by the callers' address.
func (g *Gateway) Advise() []string {
	zones := map[string]int{}
	if known := g.zones.Load(); known != nil {
		zones = *known
	}
	var addresses []string
	for _, host := range entry.Carriers(g.members.View(), zones) {
		addresses = append(addresses, host.CallerAddress)
	}
	return addresses
}
