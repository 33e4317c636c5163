package eligible

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// Guards against sending to evacuated zones, to any zone before the evacuations are
// known, and full load to a zone that was just restored.
func TestEvacuatedZonesGetNoRequests(t *testing.T) {
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

// Guards against a result that depends on earlier updates rather than on the last one.
func TestLastEvacuationUpdateHolds(t *testing.T) {
	is := is.New(t)
	lists := [][]string{nil, {"a"}, {"b"}, {"a", "b"}}
	var check func(e *Evacuations, depth int)
	check = func(e *Evacuations, depth int) {
		for _, zones := range lists {
			next, _ := e.Update(start, zones)
			for _, zone := range []string{"a", "b", "c"} {
				evacuated := false
				for _, z := range zones {
					evacuated = evacuated || z == zone
				}
				is.Equal(next.Active(zone), evacuated)
				if evacuated {
					is.True(next.ColdUntil(zone, time.Second).IsZero())
				}
			}
			if depth > 1 {
				check(next, depth-1)
			}
		}
	}
	check(nil, 4)
}

// Guards against sending a region-restricted request to another region, or to a zone
// whose region isn't known.
func TestRegionRestrictedRequests(t *testing.T) {
	is := is.New(t)
	known, _ := (*Evacuations)(nil).Update(start, nil)
	r := &Rules{Evacuations: known, Regions: map[string]string{"a": "north", "b": "south"}}
	is.Equal(r.CheckZone("a", []string{"north"}), Allowed)
	is.Equal(r.CheckZone("b", []string{"north"}), OtherRegion)
	is.Equal(r.CheckZone("c", []string{"north"}), OtherRegion)
	is.Equal(r.CheckZone("b", []string{"north", "south"}), Allowed)
	is.Equal(r.CheckZone("c", nil), Allowed)
}

// Guards against forwarding another host's request to a cold server.
func TestNoForwardingToColdServers(t *testing.T) {
	is := is.New(t)
	known, _ := (*Evacuations)(nil).Update(start, nil)
	r := &Rules{Evacuations: known, ColdUntil: map[string]time.Time{"s": start.Add(time.Second)}}
	is.Equal(r.CheckForwarded(start, "s", "a", nil), Cold)
	is.Equal(r.CheckForwarded(start, "other", "a", nil), Allowed)
	is.Equal(r.CheckForwarded(start.Add(time.Second), "s", "a", nil), Allowed)
}
