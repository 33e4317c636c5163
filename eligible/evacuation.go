// Package eligible owns the rules on which backend servers may get a request
// now: availability zones that the operator has evacuated, regions that a route
// is bound to, and servers that are cold. It is pure: time is passed in.
package eligible

import (
	"maps"
	"slices"
	"time"
)

// Evacuations tells which availability zones the operator has taken out of use.
// It is immutable; nil: none is known yet, so that no server may get anything.
type Evacuations struct {
	active map[string]bool
	// returned holds when a zone was heard to be in use again.
	returned map[string]time.Time
}

// ZoneChange is a zone that was evacuated or taken back into use.
type ZoneChange struct {
	Zone      string
	Evacuated bool
}

// Update is what holds once exactly these zones are evacuated, and what has changed.
func (e *Evacuations) Update(now time.Time, zones []string) (*Evacuations, []ZoneChange) {
	next := &Evacuations{active: make(map[string]bool), returned: make(map[string]time.Time)}
	if e != nil {
		maps.Copy(next.returned, e.returned)
	}
	var changes []ZoneChange
	for _, zone := range zones {
		next.active[zone] = true
		delete(next.returned, zone)
		if !e.Active(zone) {
			changes = append(changes, ZoneChange{Zone: zone, Evacuated: true})
		}
	}
	for _, zone := range e.Zones() {
		if !next.active[zone] {
			next.returned[zone] = now
			changes = append(changes, ZoneChange{Zone: zone})
		}
	}
	return next, changes
}

// Active reports whether the zone is evacuated.
func (e *Evacuations) Active(zone string) bool { return e != nil && e.active[zone] }

// Zones lists the evacuated zones by name.
func (e *Evacuations) Zones() []string {
	if e == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(e.active))
}

// ColdUntil is until when servers of the zone count as cold because it has just been
// taken back into use; zero: they don't.
//
// Failure: the servers of an evacuated zone were restarted meanwhile, and the word of
// that is later than the end of the evacuation. It shows as full load on servers that
// crash under it. The guard holds because they count as cold for as long as a server
// that starts at that moment would be.
func (e *Evacuations) ColdUntil(zone string, warmup time.Duration) time.Time {
	if e == nil {
		return time.Time{}
	}
	at, known := e.returned[zone]
	if !known {
		return time.Time{}
	}
	return at.Add(warmup)
}
