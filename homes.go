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

// Lookup implements scatter.Homes.
func (h *homes) Lookup(service string) (first, second ident.HostID) {
	return h.cache.Homes(h.view(), *h.services.Load()).Lookup(service)
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

// Forecast implements scatter.Homes. Of homes elsewhere nothing is known.
func (h *homes) Forecast(service, class string) leg.Forecast {
	return h.local.Forecast(service, class)
}
