package goldcrestspan

import (
	"sync/atomic"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/exchange"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/place"
	"github.com/goldcrestspan/goldcrestspan/platform"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

// homes tells where the legs of a query run: at this host's own homes, or at a
// peer's over the exchange. It implements scatter.Homes.
type homes struct {
	view     func() *member.View
	local    *homeserver.Server
	remote   *exchange.Client
	services atomic.Pointer[[]place.Service]
	cache    place.Cache
}

func newHomes(view func() *member.View, local *homeserver.Server, remote *exchange.Client) *homes {
	h := &homes{view: view, local: local, remote: remote}
	h.services.Store(&[]place.Service{})
	return h
}

// Of implements scatter.Homes.
func (h *homes) Of(service string) (first, second ident.HostID) {
	return h.cache.Homes(h.view(), *h.services.Load()).Of(service)
}

// Runner implements scatter.Homes.
func (h *homes) Runner(host ident.HostID) (leg.Runner, bool) {
	view := h.view()
	if host == view.Self {
		return h.local, true
	}
	peer, ok := view.Find(host)
	if !ok {
		return nil, false
	}
	return h.remote.To(peer.PeerAddress), true
}

// servers takes what the platform says exists and hands it to the homes. It
// implements catalog.Sink.
type servers struct {
	region, zone string
	homes        *homes
	local        *homeserver.Server
	pins         *snapshot.Pins
	allowed      func(server backend.Server, listed platform.HostState) bool
}

// Servers implements catalog.Sink.
func (s *servers) Servers(rows []platform.ListedHost) {
	all := make([]backend.Server, 0, len(rows))
	known := make(map[string][]homeserver.Known)
	for _, row := range rows {
		server := backend.Server{
			Name:        row.Name,
			Address:     row.Address,
			Service:     row.Service,
			Region:      row.Region,
			Zone:        row.Zone,
			Incarnation: row.Incarnation,
		}
		all = append(all, server)
		known[row.Service] = append(known[row.Service], homeserver.Known{
			Server:   server,
			SameZone: row.Region == s.region && row.Zone == s.zone,
			Leaving:  !s.allowed(server, row.State),
		})
	}
	services := place.Services(all)
	if !samePlaces(services, *s.homes.services.Load()) {
		s.homes.services.Store(&services)
	}
	s.local.SetServers(known)
}

// samePlaces keeps the old slice in use while nothing changed, so that the
// placement is not computed again at each read of the host list.
func samePlaces(a, b []place.Service) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || len(a[i].Locations) != len(b[i].Locations) {
			return false
		}
		for j := range a[i].Locations {
			if a[i].Locations[j] != b[i].Locations[j] {
				return false
			}
		}
	}
	return true
}

// Snapshots implements catalog.Sink.
func (s *servers) Snapshots(all []*snapshot.Snapshot) { s.pins.Publish(all) }
