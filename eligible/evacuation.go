// Package eligible decides which backend servers may get a request now, considering
// evacuated availability zones, the regions that a route is restricted to, and cold
// servers. It reads no clock: the time is passed in.
package eligible

import (
	"maps"
	"slices"
	"time"
)

// Evacuations are the availability zones taken out of use by the operator. The value is
// immutable; nil means that they aren't known yet, so that no server may get a request.
type Evacuations struct {
	active map[string]bool
	// restored holds the times at which evacuations ended.
	restored map[string]time.Time
}

// ZoneChange is the start or end of a zone's evacuation.
type ZoneChange struct {
	Zone      string
	Evacuated bool
}

// Update returns the state in which exactly these zones are evacuated, and the changes to
// it.
func (e *Evacuations) Update(now time.Time, zones []string) (*Evacuations, []ZoneChange) {
	next := &Evacuations{active: make(map[string]bool), restored: make(map[string]time.Time)}
	if e != nil {
		maps.Copy(next.restored, e.restored)
	}
	var changes []ZoneChange
	for _, zone := range zones {
		next.active[zone] = true
		delete(next.restored, zone)
		if !e.Active(zone) {
			changes = append(changes, ZoneChange{Zone: zone, Evacuated: true})
		}
	}
	for _, zone := range e.Zones() {
		if !next.active[zone] {
			next.restored[zone] = now
			changes = append(changes, ZoneChange{Zone: zone})
		}
	}
	return next, changes
}

// Active reports whether the zone is evacuated.
func (e *Evacuations) Active(zone string) bool { return e != nil && e.active[zone] }

// Zones returns the evacuated zones, sorted by name.
func (e *Evacuations) Zones() []string {
	if e == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(e.active))
}

// ColdUntil returns until when the zone's servers count as cold after the end of an
// evacuation; zero if they don't. They may have been restarted meanwhile, and their new
// incarnations may not be known here yet.
func (e *Evacuations) ColdUntil(zone string, warmup time.Duration) time.Time {
	if e == nil {
		return time.Time{}
	}
	at, known := e.restored[zone]
	if !known {
		return time.Time{}
	}
	return at.Add(warmup)
}
