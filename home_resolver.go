package goldcrestspan

import (
	"sync/atomic"

	"github.com/goldcrestspan/goldcrestspan/exchange"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/place"
)

// homeResolver finds the home of each service, which is the entry host that
// schedules the service's legs: this host, or a peer that it calls over the
// exchange. It implements scatter.Homes.
type homeResolver struct {
	view     func() *member.View
	local    *homeserver.Server
	remote   *exchange.Client
	services atomic.Pointer[[]place.Service]
	cache    place.Cache
}

func newHomeResolver(view func() *member.View, local *homeserver.Server, remote *exchange.Client) *homeResolver {
	h := &homeResolver{view: view, local: local, remote: remote}
	h.services.Store(&[]place.Service{})
	return h
}

// Lookup implements scatter.Homes.
func (h *homeResolver) Lookup(service string) (home, fallback ident.HostID) {
	return h.cache.Homes(h.view(), *h.services.Load()).Lookup(service)
}

// Reserve implements scatter.Homes. Queries have no limit on the servers of a leg, so that a leg
// of a lost home may go to any of them.
func (h *homeResolver) Reserve(string, ident.HostID) string { return "" }

// Runner implements scatter.Homes.
func (h *homeResolver) Runner(host ident.HostID) (leg.Runner, bool) {
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

// Forecast implements scatter.Homes. It knows this host's homes only.
func (h *homeResolver) Forecast(service, class string) leg.Forecast {
	return h.local.Forecast(service, class)
}
