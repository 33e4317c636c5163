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

// warming says which cold servers this host may send to, and how much: of each server
// one host of its availability zone, the home of its service there or, where hosts share
// no services, the one that parts of other zones come through. Guarded by
// Gateway.serversMu.
type warming struct {
	self   ident.HostID
	zone   string // availability zone of this host
	bounds eligible.WarmupTolerance
	// services are those whose servers bear little while they are cold.
	services map[string]eligible.Warmup

	zoneTurn eligible.WarmupRole // to warm what is not shared
	homeTurn eligible.WarmupRole // to warm servers of the services that are homed here
	placed   *place.Homes        // of the homes that homeTurn is for
	split    map[string]bool
	// now in force
	warmsZone, warmsHomed bool
}

// limits are the bounds of this host on servers of the service in the zone.
func (w *warming) limits(service, zone string) home.WarmupLimit {
	warmup, bounded := w.services[service]
	if !bounded {
		return home.WarmupLimit{}
	}
	limits := home.WarmupLimit{Duration: warmup.Duration}
	if zone == w.zone && w.warms(service) {
		limits.PerSecond = w.bounds.PerHostRate(warmup)
	}
	return limits
}

func (w *warming) warms(service string) bool {
	if w.placed == nil || !w.split[service] {
		return w.warmsZone
	}
	first, _ := w.placed.Lookup(service)
	return w.warmsHomed && first == w.self
}

// configure takes in which services bear little while they are cold, and reports whether
// that has changed.
func (w *warming) configure(services map[string]eligible.Warmup, split map[string]bool) bool {
	w.split = split
	if maps.Equal(services, w.services) {
		return false
	}
	w.services = services
	return true
}

// look takes in who is there now, and reports whether this host's part has changed.
func (w *warming) look(now time.Time, view *member.View, placed *place.Homes, contact eligible.PeerContact) bool {
	proxy, known := entry.Proxies(view)[w.zone]
	w.zoneTurn.SetAssigned(now, known && proxy.ID == w.self)
	moved := placed != w.placed
	if moved {
		w.placed = placed
		w.homeTurn.Reset()
	}
	w.homeTurn.SetAssigned(now, placed != nil)
	zone, homed := w.zoneTurn.MayWarm(now, contact), w.homeTurn.MayWarm(now, contact)
	changed := moved || zone != w.warmsZone || homed != w.warmsHomed
	w.warmsZone, w.warmsHomed = zone, homed
	return changed
}

// lookAtWarming finds out anew which cold servers this host warms.
func (g *Gateway) lookAtWarming() {
	g.serversMu.Lock()
	defer g.serversMu.Unlock()
	if len(g.warming.services) == 0 {
		return
	}
	view := g.members.View()
	contact := eligible.PeerContact{Alone: len(view.Hosts) < 2, LastContact: g.members.LastPeerContact()}
	if !g.warming.look(g.options.Now(), view, g.sharedHomes.within(g.options.Zone), contact) {
		return
	}
	g.log.Info("part in warming cold servers", zap.Bool("of_zone", g.warming.warmsZone), zap.Bool("of_homed_services", g.warming.warmsHomed))
	g.publishServers()
}

// configureWarming takes in what the configuration in force says of cold servers.
func (g *Gateway) configureWarming(c *configuration) {
	g.serversMu.Lock()
	defer g.serversMu.Unlock()
	if g.warming.configure(c.warmups, c.split) {
		g.publishServers()
	}
}
