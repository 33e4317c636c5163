package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/route"
)

// Guards against a number of store watches, which are billed, that grows with the fleet.
func TestWatcherCountDoesNotGrowWithTheFleet(t *testing.T) {
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

// Guards against hosts that fetch the whole configuration from peers while a newer one is on its
// way, and against a host that stays with a restored backup.
func TestOnlyLostConfigurationsAreFetchedWhole(t *testing.T) {
	is := is.New(t)
	revision := func(era, counter uint64) metastore.Revision {
		r, err := metastore.NewRevision(era, counter)
		is.NoErr(err)
		return r
	}
	inForce := func(r metastore.Revision, version uint64) *configuration {
		c, err := newConfiguration(r, &route.Config{Version: version}, nil)
		is.NoErr(err)
		return c
	}
	update := func(r metastore.Revision, version uint64) member.ConfigUpdate {
		return member.ConfigUpdate{Generation: uint64(r), Store: member.StoreRevisions{ConfigVersion: version}}
	}
	is.True(inForce(revision(2, 3), 3).hasLost(update(revision(1, 63), 21)))
	is.True(inForce(revision(2, 3), 3).hasLost(update(revision(2, 3), 21))) // a peer that has fetched it
	is.True(!inForce(revision(2, 3), 21).hasLost(update(revision(1, 63), 21)))
	is.True(!inForce(revision(1, 63), 21).hasLost(update(revision(1, 70), 25))) // on its way
	is.True(!inForce(revision(1, 63), 21).hasLost(update(revision(1, 60), 17)))
	is.True(!(*configuration)(nil).hasLost(update(revision(1, 63), 21)))
}
