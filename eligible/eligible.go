package eligible

import (
	"slices"
	"time"
)

// Reason is why a server may not get a request now.
type Reason uint8

// The reasons, in the order in which they are checked.
const (
	// Allowed means that the server may get the request.
	Allowed Reason = iota
	// EvacuationsUnknown: the evacuated zones aren't known yet.
	EvacuationsUnknown
	// ZoneEvacuated: the operator has evacuated the server's zone.
	ZoneEvacuated
	// OtherRegion: the request's route is restricted to other regions.
	OtherRegion
	// Cold: the server is cold, and this host is not the one that warms it.
	Cold
	// RequestHeldBack: servers crashed under the request.
	RequestHeldBack
	// KeyRemoved: the key of the request's customer was removed.
	KeyRemoved
	// KeysOutdated: the key may have been removed without this host knowing.
	KeysOutdated
	// ListsOutdated: newer lists of servers or evacuated zones have arrived and are not in force.
	ListsOutdated
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"allowed", "evacuations_not_known", "zone_evacuated", "other_region", "cold", "request_held_back", "key_removed", "keys_outdated", "lists_outdated"}[r]
}

// Rules are the rules for all servers at one moment. They are immutable.
type Rules struct {
	Evacuations *Evacuations
	// Regions maps availability zones to their regions.
	Regions map[string]string
	// ColdUntil holds the end of the cold period of each cold server with a warm-up limit,
	// by server name.
	ColdUntil map[string]time.Time
}

// CheckZone decides whether a request restricted to the regions may go to servers of the
// availability zone; no regions means any. It is checked whenever an attempt is sent,
// since the request may have been queued, or the server chosen by another host, before
// an evacuation was known there.
func (r *Rules) CheckZone(zone string, regions []string) Reason {
	switch {
	case r == nil || r.Evacuations == nil:
		return EvacuationsUnknown
	case r.Evacuations.Active(zone):
		return ZoneEvacuated
	case !InRegions(regions, r.Regions[zone]):
		return OtherRegion
	default:
		return Allowed
	}
}

// CheckForwarded decides whether this host may forward another host's request to the
// server. Cold servers get none, since the other host doesn't count what this host
// sends them.
func (r *Rules) CheckForwarded(now time.Time, server, zone string, regions []string) Reason {
	if reason := r.CheckZone(zone, regions); reason != Allowed {
		return reason
	}
	if now.Before(r.ColdUntil[server]) {
		return Cold
	}
	return Allowed
}

// InRegions reports whether the region is allowed; an empty list allows any.
func InRegions(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}
