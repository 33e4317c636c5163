package gateway

import (
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// AdviceRequest is a caller that asks which hosts to use.
type AdviceRequest struct {
	Host   string // host name that its requests will state
	Region string // its own; empty: not known
}

// Advise names the hosts that the caller should use, by the callers' address.
func (g *Gateway) Advise(asker AdviceRequest) []string {
	var addresses []string
	for _, host := range g.carriersFor(asker) {
		addresses = append(addresses, host.CallerAddress)
	}
	return addresses
}

func (g *Gateway) carriersFor(asker AdviceRequest) []member.Host {
	view, servers := g.members.View(), g.serversByZone()
	for _, regions := range entry.RegionOrder(asker.Region, g.boundTo(asker.Host), g.servesIn) {
		if within := entry.FilterRegions(view, regions...); len(within.Hosts) > 0 {
			if chosen := entry.AdvisedHosts(within, servers); len(chosen) > 0 {
				return chosen
			}
		}
	}
	return entry.AdvisedHosts(view, servers)
}

// boundTo are the regions that requests with the host name are bound to; empty: none.
func (g *Gateway) boundTo(host string) []string {
	if c := g.inForce.Load(); c != nil {
		return c.table.Regions(host)
	}
	return nil
}

// servesIn reports whether backend servers in service stand in the region.
func (g *Gateway) servesIn(region string) bool {
	for zone, servers := range g.serversByZone() {
		if servers > 0 && g.options.Regions[zone] == region {
			return true
		}
	}
	return false
}

// serversByZone counts the backend servers of each availability zone.
func (g *Gateway) serversByZone() map[string]int {
	if known := g.zones.Load(); known != nil {
		return *known
	}
	return nil
}
