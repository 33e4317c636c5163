package eligible

import (
	"slices"
	"time"
)

// Reason says why a server may not get a request now.
type Reason uint8

// The reasons, in the order in which they are looked at.
const (
	// Allowed: it may.
	Allowed Reason = iota
	// EvacuationsUnknown: which zones are evacuated is not known yet.
	EvacuationsUnknown
	// ZoneEvacuated: the operator wants nothing sent to the server's zone.
	ZoneEvacuated
	// OtherRegion: the request's route is bound to other regions.
	OtherRegion
	// Cold: the server is cold, and this host is not the one that warms it.
	Cold
)

// String is the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"allowed", "evacuations_not_known", "zone_evacuated", "other_region", "cold"}[r]
}

// Rules are what holds for all servers at one moment. They are immutable.
type Rules struct {
	Evacuations *Evacuations
	// Regions is the region of each availability zone.
	Regions map[string]string
	// ColdUntil holds until when servers whose load is bounded while they are cold are so,
	// by name.
	ColdUntil map[string]time.Time
}

// CheckZone decides whether a request that is bound to the regions may go to servers of the
// availability zone; no regions: any.
//
// Load: every way to a server (a first attempt, a hedge, a retry, a leg of another host,
// one taken over) asks at the moment of sending. Harm prevented: one of them was queued,
// or chosen by a host that knows less, before the operator's word came, and reaches a
// zone that is being taken down, or a region that must not see the request.
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

// CheckForwarded decides whether this host may pass another host's request on to the server.
// The other host does not count what this one sends to a cold server, so nothing goes
// there.
func (r *Rules) CheckForwarded(now time.Time, server, zone string, regions []string) Reason {
	if reason := r.CheckZone(zone, regions); reason != Allowed {
		return reason
	}
	if now.Before(r.ColdUntil[server]) {
		return Cold
	}
	return Allowed
}

// InRegions reports whether the region is one of those allowed; none named: any is.
func InRegions(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}
