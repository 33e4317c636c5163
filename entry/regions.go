package entry

import (
	"slices"

	"github.com/goldcrestspan/goldcrestspan/member"
)

// FilterRegions is the view without the hosts of other regions. Where there are none it is the
// view itself: most fleets have one region, and each caller asks once a second.
func FilterRegions(view *member.View, regions ...string) *member.View {
	elsewhere := func(h member.Host) bool { return !slices.Contains(regions, h.Region) }
	if !slices.ContainsFunc(view.Hosts, elsewhere) {
		return view
	}
	kept := *view
	kept.Hosts = slices.DeleteFunc(slices.Clone(view.Hosts), elsewhere)
	return &kept
}

// RegionOrder lists the sets of regions whose hosts a caller should use, best first; the
// hosts of the first set that has any are advised, and those of all regions if none has.
// bound are the regions that the caller's requests are bound to; empty: none. serves
// tells whether backend servers stand in a region.
//
// Load: regions are milliseconds apart, and the requests of some callers may be seen in
// some regions only. Harm prevented: each request crosses regions twice, or is seen by a
// host where it must not be. Reason for the order: the caller's own region where it may
// be served there; else the regions that it is bound to, so that one hop crosses and not
// each part; else its own, whose hosts pass requests on.
func RegionOrder(own string, bound []string, serves func(region string) bool) [][]string {
	var order [][]string
	switch {
	case len(bound) == 0 && own != "" && serves(own):
		order = append(order, []string{own})
	case len(bound) > 0 && slices.Contains(bound, own):
		order = append(order, []string{own}, bound)
	case len(bound) > 0:
		order = append(order, bound)
		if own != "" {
			order = append(order, []string{own})
		}
	}
	return order
}
