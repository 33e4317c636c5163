package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/member"
)

// Guards against advising hosts that need a second hop between regions, or that must
// not see the request.
func TestRegionOrder(t *testing.T) {
	serves := func(region string) bool { return region != "empty" }
	for _, c := range []struct {
		name  string
		own   string
		bound []string
		want  [][]string
	}{
		{"not bound", "north", nil, [][]string{{"north"}}},
		{"not bound, no servers in the region", "empty", nil, nil},
		{"not bound, region not known", "", nil, nil},
		{"bound to several regions including its own", "north", []string{"north", "south"}, [][]string{{"north"}, {"north", "south"}}},
		{"bound to another region", "north", []string{"south"}, [][]string{{"south"}, {"north"}}},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(RegionOrder(c.own, c.bound, serves), c.want) })
	}
}

// Guards against modifying the view when it is restricted to a region.
func TestViewRestrictedToRegion(t *testing.T) {
	is := is.New(t)
	view := &member.View{Hosts: []member.Host{{ID: "a", Region: "north"}, {ID: "b", Region: "south"}}}
	filtered := FilterRegions(view, "south")
	is.Equal(len(filtered.Hosts), 1)
	is.Equal(string(filtered.Hosts[0].ID), "b")
	is.Equal(len(view.Hosts), 2)
	is.Equal(FilterRegions(view, "north", "south"), view)
}
