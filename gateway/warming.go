package gateway

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/place"
)

// warming decides which cold servers this host may send to, and at what rate. Each cold
// server is warmed by one host of its availability zone: the home of its service, or, for
// services that are not spread, the zone's proxy. It is guarded by Gateway.serversMu.
type warming struct {
	self      ident.HostID
	zone      string // availability zone of this host
	tolerance eligible.WarmupTolerance
	// services holds those whose servers get limited load while cold.
	services map[string]eligible.Warmup

	zoneRole              eligible.WarmupRole // to warm services that are not spread
	homeRole              eligible.WarmupRole // to warm services whose home is here
	placement             *place.Homes        // placement that homeRole applies to
	split                 map[string]bool
	warmsZone, warmsHomed bool
}

// limits returns this host's limit for cold servers of the service in the zone.
func (w *warming) limits(service, zone string) home.WarmupLimit {
	warmup, bounded := w.services[service]
	if !bounded {
		return home.WarmupLimit{}
	}
	limits := home.WarmupLimit{Duration: warmup.Duration}
	if zone == w.zone && w.warms(service) {
		limits.PerSecond = w.tolerance.PerHostRate(warmup)
	}
	return limits
}

func (w *warming) warms(service string) bool {
	if w.placement == nil || !w.split[service] {
		return w.warmsZone
	}
	assigned, _ := w.placement.Lookup(service)
	return w.warmsHomed && assigned == w.self
}

// configure sets the services with a warmup limit, and reports whether they have changed.
func (w *warming) configure(services map[string]eligible.Warmup, split map[string]bool) bool {
	w.split = split
	if maps.Equal(services, w.services) {
		return false
	}
	w.services = services
	return true
}

// update applies the current membership and placement, and reports whether this host's part
// in warming has changed.
func (w *warming) update(now time.Time, view *member.View, placement *place.Homes, contact eligible.PeerContact) bool {
	proxy, known := entry.Proxies(view)[w.zone]
	w.zoneRole.SetAssigned(now, known && proxy.ID == w.self)
	moved := placement != w.placement
	if moved {
		w.placement = placement
		w.homeRole.Reset()
	}
	w.homeRole.SetAssigned(now, placement != nil)
	zone, homed := w.zoneRole.MayWarm(now, contact), w.homeRole.MayWarm(now, contact)
	changed := moved || zone != w.warmsZone || homed != w.warmsHomed
	w.warmsZone, w.warmsHomed = zone, homed
	return changed
}

// updateWarming determines which cold servers this host warms.
func (g *Gateway) updateWarming() {
	g.serversMu.Lock()
	defer g.serversMu.Unlock()
	if len(g.warming.services) == 0 {
		return
	}
	view := g.members.View()
	contact := eligible.PeerContact{Alone: len(view.Hosts) < 2, LastContact: g.members.LastPeerContact()}
	if !g.warming.update(g.options.Now(), view, g.sharedHomes.withinZone(g.options.Zone), contact) {
		return
	}
	g.log.Info("part in warming cold servers", zap.Bool("of_zone", g.warming.warmsZone), zap.Bool("of_homed_services", g.warming.warmsHomed))
	g.publishServers()
}

// configureWarming applies the warmup limits of the configuration.
func (g *Gateway) configureWarming(c *configuration) {
	g.serversMu.Lock()
	defer g.serversMu.Unlock()
	if g.warming.configure(c.warmups, c.isSplit) {
		g.publishServers()
	}
}
