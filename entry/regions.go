package entry

import (
	"slices"

	"github.com/goldcrestspan/goldcrestspan/member"
)

// FilterRegions returns the view restricted to the hosts of the given regions. It returns
// the view itself, without a copy, if all hosts are in them.
func FilterRegions(view *member.View, regions ...string) *member.View {
	outside := func(h member.Host) bool { return !slices.Contains(regions, h.Region) }
	if !slices.ContainsFunc(view.Hosts, outside) {
		return view
	}
	filtered := *view
	filtered.Hosts = slices.DeleteFunc(slices.Clone(view.Hosts), outside)
	return &filtered
}

// RegionOrder returns the sets of regions whose hosts a caller should use, best first.
// The hosts of the first set that has any are advised, or those of all regions if none
// has. allowed are the regions that the caller's requests are restricted to, if any;
// serves reports whether a region has backend servers.
//
// The caller's own region comes first if the request may be served there; otherwise the
// allowed regions, so that only one hop crosses regions; then its own, whose hosts
// forward requests.
func RegionOrder(own string, allowed []string, serves func(region string) bool) [][]string {
	var order [][]string
	switch {
	case len(allowed) == 0 && own != "" && serves(own):
		order = append(order, []string{own})
	case len(allowed) > 0 && slices.Contains(allowed, own):
		order = append(order, []string{own}, allowed)
	case len(allowed) > 0:
		order = append(order, allowed)
		if own != "" {
			order = append(order, []string{own})
		}
	}
	return order
}
