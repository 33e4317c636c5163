package gateway

import (
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// AdviceRequest describes a caller that asks which hosts to use.
type AdviceRequest struct {
	Host   string // host name in its requests
	Region string // empty if unknown
}

// Advise returns the caller-facing addresses of the hosts that the caller should use.
func (g *Gateway) Advise(request AdviceRequest) []string {
	var addresses []string
	for _, host := range g.hostsFor(request) {
		addresses = append(addresses, host.CallerAddress)
	}
	return addresses
}

func (g *Gateway) hostsFor(request AdviceRequest) []member.Host {
	view, servers := g.members.View(), g.serversByZone()
	for _, regions := range entry.RegionOrder(request.Region, g.regionsFor(request.Host), g.hasServersIn) {
		if regional := entry.FilterRegions(view, regions...); len(regional.Hosts) > 0 {
			if chosen := entry.AdvisedHosts(regional, servers); len(chosen) > 0 {
				return chosen
			}
		}
	}
	return entry.AdvisedHosts(view, servers)
}

// regionsFor returns the regions that requests with the host name are restricted to; empty
// if they are not restricted.
func (g *Gateway) regionsFor(host string) []string {
	if c := g.inForce.Load(); c != nil {
		return c.table.Regions(host)
	}
	return nil
}

// hasServersIn reports whether any backend server in service is in the region.
func (g *Gateway) hasServersIn(region string) bool {
	for zone, servers := range g.serversByZone() {
		if servers > 0 && g.options.Regions[zone] == region {
			return true
		}
	}
	return false
}

// serversByZone returns the number of backend servers in each availability zone.
func (g *Gateway) serversByZone() map[string]int {
	if counts := g.zoneServers.Load(); counts != nil {
		return *counts
	}
	return nil
}
