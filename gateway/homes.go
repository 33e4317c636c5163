package gateway

import (
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/exchange"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/member"
	"github.com/goldcrestspan/goldcrestspan/place"
)

// homes decides which host is the home of each service. Services of split searches (see
// entry.ShouldSplit) are spread over the hosts that entry.SearchHomes chooses for this host's
// zone. All others have their home on this host.
type homes struct {
	self  ident.HostID
	zone  string // availability zone of this host
	local *homeserver.Server
	view  func() *member.View
	zones func() map[string]int // number of backend servers by availability zone
	// split returns the services of split searches and the size of the largest search.
	split     func() (services []place.Service, largest int)
	links     *exchange.Client
	forecasts *remoteForecasts
	log       *zap.Logger

	latest atomic.Pointer[placement]
	mu     sync.Mutex // held while a placement is computed
}

// placement assigns services to homes, for one membership view and list of services.
type placement struct {
	membership *member.View
	services   []place.Service
	hosts      []ident.HostID
	address    map[ident.HostID]string // peer addresses
	homes      *place.Homes            // nil if no service is spread
	// elsewhere holds the homes for zones whose own hosts don't share searches alone; nil if
	// this host is none of them, or homes are the same.
	elsewhere      *place.Homes
	elsewhereHosts []ident.HostID
}

// sameHomes reports whether two placements have the same homes.
func (p *placement) sameHomes(other *placement) bool {
	return other != nil && p.homes == other.homes && p.elsewhere == other.elsewhere
}

// areSpread reports whether the services of split searches are spread over several hosts.
func (h *homes) areSpread() bool { return h.current().homes != nil }

// isHome reports whether this host is the home of the service for searches of any
// availability zone.
func (h *homes) isHome(service string) bool {
	p := h.current()
	return lookupIs(p.homes, service, h.self) || lookupIs(p.elsewhere, service, h.self)
}

func lookupIs(homes *place.Homes, service string, host ident.HostID) bool {
	if homes == nil {
		return false
	}
	found, _ := homes.Lookup(service)
	return found == host
}

// Lookup implements scatter.Homes. The fallback is this host, so that legs of a lost home fail
// over without a third host. A home that owes replies and does not answer pings is
// skipped, since membership takes seconds to notice that it is gone.
func (h *homes) Lookup(service string) (home, fallback ident.HostID) {
	p := h.current()
	if p.homes == nil {
		return h.self, ""
	}
	home, _ = p.homes.Lookup(service)
	if home == "" || home == h.self || h.links.Suspects(p.address[home]) {
		return h.self, ""
	}
	return home, h.self
}

// Reserve implements scatter.Homes. A server that the home prefers leaves it the most freedom: its
// first attempt mostly goes there, and the next one anywhere.
func (h *homes) Reserve(service string, host ident.HostID) (server string) {
	if host == h.self {
		return ""
	}
	if preferred := h.forecasts.preferredServer(service); preferred != "" && h.local.InService(service, preferred) {
		return preferred
	}
	zone := ""
	if found, known := h.view().Find(host); known {
		zone = found.Zone
	}
	return h.local.ServerNearZone(service, zone)
}

// Runner implements scatter.Homes.
func (h *homes) Runner(host ident.HostID) (leg.Runner, bool) {
	if host == h.self {
		return failoverRunner{h}, true
	}
	address, known := h.current().address[host]
	if !known {
		return nil, false
	}
	return remoteHomeRunner{links: h.links, address: address, forecasts: h.forecasts, local: failoverRunner{h}}, true
}

// failoverRunner runs legs on this host. A leg whose home was lost goes only to the server that was
// reserved for this when the leg was sent: which servers the home has used isn't known, and it may
// go on if it was only silent.
type failoverRunner struct{ homes *homes }

// Run implements leg.Runner.
func (r failoverRunner) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	if request.FailedHome != "" {
		r.homes.log.Info("leg taken over from a lost home", zap.String("request", request.Forward.AttemptID), zap.String("service", request.Service), zap.String("home", string(request.FailedHome)), zap.String("server", request.ReservedServer))
		request.MaxServers, request.PinnedServer = 1, request.ReservedServer
	}
	return r.homes.local.Run(request, done)
}

// Forecast implements scatter.Homes.
func (h *homes) Forecast(service, class string) leg.Forecast {
	if home, _ := h.Lookup(service); home == h.self {
		return h.local.Forecast(service, class)
	}
	return h.forecasts.forecast(service, class)
}

// current returns the placement for the current view and services.
func (h *homes) current() *placement {
	view := h.view()
	services, largest := h.split()
	if p := h.latest.Load(); p.matches(view, services) {
		return p
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.latest.Load()
	if previous.matches(view, services) {
		return previous
	}
	next := h.place(view, services, largest, previous)
	h.latest.Store(next)
	return next
}

// withinZone returns the placement if all its hosts are in the availability zone; nil
// otherwise, or if no service is spread.
func (h *homes) withinZone(zone string) *place.Homes {
	p := h.current()
	if !p.all(func(host member.Host) bool { return host.Zone == zone }) {
		return nil
	}
	return p.homes
}

// allInRegions reports whether a request restricted to the regions may be seen by all homes;
// empty regions do not restrict it.
func (h *homes) allInRegions(regions []string) bool {
	if len(regions) == 0 {
		return true
	}
	return h.current().all(func(host member.Host) bool { return eligible.InRegions(regions, host.Region) })
}

// all reports whether the condition holds for every home.
func (p *placement) all(condition func(member.Host) bool) bool {
	for _, id := range p.hosts {
		if host, known := p.membership.Find(id); !known || !condition(host) {
			return false
		}
	}
	return true
}

func (p *placement) matches(view *member.View, services []place.Service) bool {
	return p != nil && p.membership == view && sameServices(p.services, services)
}

// sameServices compares two lists by identity: lists are replaced as a whole.
func sameServices(a, b []place.Service) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (h *homes) place(view *member.View, services []place.Service, largest int, previous *placement) *placement {
	next := &placement{membership: view, services: services}
	chosen := entry.SearchHomes(view, h.zones(), largest, h.zone)
	if len(chosen) == 0 {
		return next
	}
	next.address = make(map[ident.HostID]string, len(chosen))
	for i := range chosen {
		next.hosts = append(next.hosts, chosen[i].ID)
		next.address[chosen[i].ID] = chosen[i].PeerAddress
		chosen[i].Region = "" // zone names are unique across regions
	}
	slices.Sort(next.hosts)
	h.placeElsewhere(next, largest, previous)
	if previous != nil && previous.homes != nil && slices.Equal(previous.hosts, next.hosts) && sameServices(previous.services, services) {
		next.homes = previous.homes
		return next
	}
	next.homes = place.New(&member.View{Hosts: chosen}, services)
	if previous == nil || !slices.Equal(previous.hosts, next.hosts) {
		h.log.Info("services shared between homes", zap.Int("services", len(services)), zap.Any("homes", next.hosts))
	}
	return next
}

// placeElsewhere sets the homes for searches of other zones that this host may be one of.
func (h *homes) placeElsewhere(next *placement, largest int, previous *placement) {
	if !entry.ShareAcrossZones(next.membership, h.zones(), largest) {
		return
	}
	chosen := entry.SearchHomes(next.membership, h.zones(), largest, "")
	for i := range chosen {
		next.elsewhereHosts = append(next.elsewhereHosts, chosen[i].ID)
		chosen[i].Region = ""
	}
	slices.Sort(next.elsewhereHosts)
	if !slices.Contains(next.elsewhereHosts, h.self) || slices.Equal(next.elsewhereHosts, next.hosts) {
		return
	}
	if previous != nil && previous.elsewhere != nil && slices.Equal(previous.elsewhereHosts, next.elsewhereHosts) && sameServices(previous.services, next.services) {
		next.elsewhere = previous.elsewhere
		return
	}
	next.elsewhere = place.New(&member.View{Hosts: chosen}, next.services)
}

// remoteHomeRunner runs legs at a home on another host.
type remoteHomeRunner struct {
	links     *exchange.Client
	address   string
	forecasts *remoteForecasts
	local     leg.Runner // of this host
}

// Run implements leg.Runner. A leg that may have run at another home runs on this host; see
// failoverRunner.
func (r remoteHomeRunner) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	if request.FailedHome != "" {
		return r.local.Run(request, done)
	}
	return r.links.To(r.address).Run(request, func(res leg.Result) {
		if res.Forecast != nil {
			r.forecasts.record(request.Service, request.Class, *res.Forecast)
			r.forecasts.recordPreferred(request.Service, request.ReservedServer, res.Forecast.PreferredServer)
		}
		if res.Truncated && res.Reply != nil {
			res.Reply.FetchFull = fullPartFetcher(r.links, r.address, request)
		}
		done(res)
	})
}

// localHomes makes this host the home of every service, for single-service routes: their
// requests may run only once, and the whole reply is returned.
type localHomes struct {
	self  ident.HostID
	local *homeserver.Server
}

// Lookup implements scatter.Homes.
func (h localHomes) Lookup(string) (home, fallback ident.HostID) { return h.self, "" }

// Reserve implements scatter.Homes.
func (h localHomes) Reserve(string, ident.HostID) string { return "" }

// Runner implements scatter.Homes.
func (h localHomes) Runner(ident.HostID) (leg.Runner, bool) { return h.local, true }

// Forecast implements scatter.Homes.
func (h localHomes) Forecast(service, class string) leg.Forecast {
	return h.local.Forecast(service, class)
}
