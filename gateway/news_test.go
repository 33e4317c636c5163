package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// The users pay for each call to the store, and a waiting watch is one: the
// watchers must not grow with the number of hosts, and with that of zones only
// as far as each zone needs two.
func TestWatchersDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ hosts, zones, wanted int }{
		{83, 3, 9}, {87, 5, 10}, {300, 4, 8}, {3400, 8, 16}, {40, 1, 8},
	} {
		view := &member.View{}
		for i := range c.hosts {
			view.Hosts = append(view.Hosts, member.Host{
				ID: ident.HostID(fmt.Sprintf("host-%04d", i)), Zone: fmt.Sprintf("zone-%d", i%c.zones),
			})
		}
		watchers := 0
		for zone := range c.zones {
			watchers += len(view.Watchers(fmt.Sprintf("zone-%d", zone), watchersPerZone(view)))
		}
		is.Equal(watchers, c.wanted)
	}
}
