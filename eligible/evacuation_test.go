package eligible

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// An operator evacuates two zones and takes one back. A host that knows nothing yet must
// send nothing anywhere; from then on exactly the zones that are named get nothing, and
// one that is back counts as cold for as long as a restarted server there would be.
func TestEvacuatedZonesGetNothing(t *testing.T) {
	is := is.New(t)
	rules := func(e *Evacuations) *Rules { return &Rules{Evacuations: e} }
	var none *Evacuations
	is.Equal(rules(none).CheckZone("a", nil), EvacuationsUnknown)

	both, changes := none.Update(start, []string{"a", "b"})
	is.Equal(changes, []ZoneChange{{"a", true}, {"b", true}})
	is.Equal(rules(both).CheckZone("a", nil), ZoneEvacuated)
	is.Equal(rules(both).CheckZone("c", nil), Allowed)

	one, changes := both.Update(start.Add(time.Second), []string{"b"})
	is.Equal(changes, []ZoneChange{{"a", false}})
	is.Equal(rules(one).CheckZone("a", nil), Allowed)
	is.Equal(rules(one).CheckZone("b", nil), ZoneEvacuated)
	is.Equal(one.ColdUntil("a", 3*time.Second), start.Add(4*time.Second))
	is.True(one.ColdUntil("c", 3*time.Second).IsZero())

	again, _ := one.Update(start.Add(2*time.Second), []string{"a", "b"})
	is.Equal(again.Zones(), []string{"a", "b"})
	is.True(again.ColdUntil("a", 3*time.Second).IsZero())
}

// Every order of a few evacuations and returns of two zones: what holds is always what
// was told last, whatever came before.
func TestLastWordOnEachZoneHolds(t *testing.T) {
	is := is.New(t)
	lists := [][]string{nil, {"a"}, {"b"}, {"a", "b"}}
	var play func(e *Evacuations, depth int)
	play = func(e *Evacuations, depth int) {
		for _, zones := range lists {
			next, _ := e.Update(start, zones)
			for _, zone := range []string{"a", "b", "c"} {
				named := false
				for _, z := range zones {
					named = named || z == zone
				}
				is.Equal(next.Active(zone), named)
				if named {
					is.True(next.ColdUntil(zone, time.Second).IsZero())
				}
			}
			if depth > 1 {
				play(next, depth-1)
			}
		}
	}
	play(nil, 4)
}

// A route is bound to a region, and a server that a request could go to stands in another,
// or in a zone of which no region is known. Neither may get it.
func TestBoundRequestsStayInTheirRegions(t *testing.T) {
	is := is.New(t)
	known, _ := (*Evacuations)(nil).Update(start, nil)
	r := &Rules{Evacuations: known, Regions: map[string]string{"a": "north", "b": "south"}}
	is.Equal(r.CheckZone("a", []string{"north"}), Allowed)
	is.Equal(r.CheckZone("b", []string{"north"}), OtherRegion)
	is.Equal(r.CheckZone("c", []string{"north"}), OtherRegion)
	is.Equal(r.CheckZone("b", []string{"north", "south"}), Allowed)
	is.Equal(r.CheckZone("c", nil), Allowed)
}

// Another host has chosen a server that this one knows to be cold. It does not count what
// this host sends there, so the request must not go on.
func TestColdServersGetNothingForOtherHosts(t *testing.T) {
	is := is.New(t)
	known, _ := (*Evacuations)(nil).Update(start, nil)
	r := &Rules{Evacuations: known, ColdUntil: map[string]time.Time{"s": start.Add(time.Second)}}
	is.Equal(r.CheckForwarded(start, "s", "a", nil), Cold)
	is.Equal(r.CheckForwarded(start, "other", "a", nil), Allowed)
	is.Equal(r.CheckForwarded(start.Add(time.Second), "s", "a", nil), Allowed)
}
