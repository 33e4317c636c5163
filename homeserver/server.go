// Package homeserver runs the homes of this host: it carries out the decisions of
// package home, sends attempts to the backend servers, and reports each leg's result.
package homeserver

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Counter counts attempts and cancellations, for metrics.
type Counter interface {
	Attempt(service string, hedge, retry bool)
	AttemptEnd(service string, fault backend.Fault)
	Cancelled(service string)
}

// AttemptObserver observes the attempts at backend servers and may refuse legs.
type AttemptObserver interface {
	// Started is called before an attempt is sent.
	Started(id ident.AttemptID, server backend.Server, fingerprint uint64)
	// Ended is called after each attempt. It reports whether the request is suspected
	// of having crashed the server, in which case its leg isn't retried.
	Ended(id ident.AttemptID, server backend.Server, fingerprint uint64, end backend.CallResult) (suspect bool)
	// CheckLeg is called before a leg is queued; nil admits it.
	CheckLeg(request leg.Request) *result.Error
}

// Server runs the homes of this host. Its methods are safe for concurrent use.
type Server struct {
	runner        backend.Runner
	counter       Counter
	observer      AttemptObserver
	now           func() time.Time
	currentConfig func() *bundle.Config
	override      ConfigOverride
	onChange      func(service string, change home.ServerChange)

	// mu guards services and the replacement of desired. No decision of a home, callback or
	// result of a leg runs under it, since these may call the server.
	mu           sync.RWMutex
	services     map[string]*service
	desired      atomic.Pointer[desiredState]
	nextHome     atomic.Uint64
	nextLeg      atomic.Uint64
	latencyStats *home.LatencyStats
	workers      *workerPool
}

// desiredState is what all homes follow. It is immutable and replaced as a whole. Homes take it
// over one by one, in any order and from several goroutines; the version keeps a home from going
// back to an older state.
type desiredState struct {
	version uint64
	config  *bundle.Config // nil before the first one
	// configVersion is the version with which the configuration or the limits of the
	// ConfigOverride last changed.
	configVersion uint64
	servers       map[string][]KnownServer // by service, including those without a home yet
}

// KnownServer is a backend server with its current state.
type KnownServer struct {
	Server   backend.Server
	SameZone bool
	Leaving  bool
	// Slots is how many requests the server serves at once; 0 means as configured for
	// the service.
	Slots  int
	Region string
	// ColdUntil is the end of the cold period that the server reported at its start.
	ColdUntil time.Time
	// Warmup limits the requests to the server while it is cold.
	Warmup home.WarmupLimit
}

// ConfigOverride adjusts the limits of a service's home before they are applied.
type ConfigOverride func(*home.Config)

// New returns a server without homes; they are created with their first leg. currentConfig
// returns the current configuration, or nil if there is none yet.
func New(runner backend.Runner, counter Counter, observer AttemptObserver, now func() time.Time, currentConfig func() *bundle.Config) *Server {
	s := &Server{
		runner:        runner,
		counter:       counter,
		observer:      observer,
		now:           now,
		currentConfig: currentConfig,
		services:      make(map[string]*service),
		latencyStats:  home.NewLatencyStats(),
		workers:       newWorkers(),
	}
	s.desired.Store(&desiredState{})
	return s
}

// SetConfigOverride sets the function that adjusts the limits of each home. It must be
// called before any leg runs.
func (s *Server) SetConfigOverride(override ConfigOverride) { s.override = override }

// SetOnServerChange sets the function that is called on state changes of backend servers. It
// must be called before any leg runs; onChange must not block.
func (s *Server) SetOnServerChange(onChange func(service string, change home.ServerChange)) {
	s.onChange = onChange
}

func (s *Server) notify(service string, change home.ServerChange) {
	if s.onChange != nil {
		s.onChange(service, change)
	}
}

// Refresh applies the current configuration to the homes. New legs do so by themselves;
// legs that already wait need the call.
func (s *Server) Refresh() {
	s.publish(func(*desiredState) {})
}

// ReapplyConfig applies the current result of the ConfigOverride to the homes.
func (s *Server) ReapplyConfig() {
	s.publish(func(next *desiredState) { next.configVersion = next.version })
}

// SetServers replaces the backend servers of all services.
func (s *Server) SetServers(known map[string][]KnownServer) {
	s.publish(func(next *desiredState) { next.servers = known })
}

// publish replaces the desired state and lets all homes follow it.
func (s *Server) publish(change func(next *desiredState)) {
	s.mu.Lock()
	next := s.replaceDesired(change)
	s.closeUnused(next)
	services := slices.Collect(maps.Values(s.services))
	s.mu.Unlock()
	for _, svc := range services {
		svc.follow(next)
	}
}

// replaceDesired replaces the desired state by one with the change and the current configuration;
// mu is held. The configuration is read here because one that was read before may be older than
// the one in the desired state.
func (s *Server) replaceDesired(change func(next *desiredState)) *desiredState {
	next := *s.desired.Load()
	next.version++
	if config := s.currentConfig(); config != nil && config != next.config {
		next.config, next.configVersion = config, next.version
	}
	change(&next)
	s.desired.Store(&next)
	return &next
}

// closeUnused closes the homes without legs whose services aren't configured any more; mu is held.
// Homes that still have legs go on following the servers, so that no leg that waits is sent to a
// server that has left.
func (s *Server) closeUnused(desired *desiredState) {
	for name, svc := range s.services {
		if !desired.hasService(name) && svc.closeIfUnused() {
			delete(s.services, name)
		}
	}
}

// hasService reports whether the service is configured.
func (d *desiredState) hasService(name string) bool {
	if d.config == nil {
		return false
	}
	_, ok := d.config.Service(name)
	return ok
}

// currentDesired returns the desired state with the current configuration. Homes that it is new to
// follow it with their next leg or the next call of Refresh.
func (s *Server) currentDesired() *desiredState {
	if desired := s.desired.Load(); desired.config == s.currentConfig() {
		return desired
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if desired := s.desired.Load(); desired.config == s.currentConfig() {
		return desired
	}
	return s.replaceDesired(func(*desiredState) {})
}

// Run runs a leg at this host's home of its service; see leg.Runner.
func (s *Server) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	svc, failure := s.homeFor(request)
	if failure != nil {
		done(*failure)
		return func() {}
	}
	if e := s.observer.CheckLeg(request); e != nil {
		r := leg.Failed(request, e.Code, result.OutcomeUnsent, e.Detail)
		r.RetryAfter = e.RetryAfter
		done(r)
		return func() {}
	}
	id := home.LegID(s.nextLeg.Add(1))
	for !svc.submit(id, request, done) {
		// The service has left the configuration in the meantime.
		if svc, failure = s.homeFor(request); failure != nil {
			done(*failure)
			return func() {}
		}
	}
	return func() { svc.cancel(id) }
}

// homeFor returns the home of the request's service, which follows the current configuration, or
// the result of a leg that can't run.
func (s *Server) homeFor(request leg.Request) (*service, *leg.Result) {
	desired := s.currentDesired()
	if desired.config == nil {
		return nil, refusal(request, result.NotReady, "no configuration yet")
	}
	if _, _, ok := desired.config.Class(request.Class); !ok {
		return nil, refusal(request, result.BadRequest, "unknown class "+request.Class)
	}
	if !desired.hasService(request.Service) {
		return nil, refusal(request, result.NoBackend, "unknown service "+request.Service)
	}
	svc := s.find(request.Service)
	if svc == nil {
		svc = s.openHome(request.Service, desired)
	}
	// The newest state, since a home that was just opened isn't reached by a change that came before.
	svc.follow(s.desired.Load())
	return svc, nil
}

// find returns the service's home, or nil.
func (s *Server) find(name string) *service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[name]
}

func refusal(request leg.Request, code result.Code, detail string) *leg.Result {
	r := leg.Failed(request, code, result.OutcomeUnsent, detail)
	return &r
}

// attemptIDsPerHome separates the attempt IDs of homes, so that they are unique on this
// host.
const attemptIDsPerHome = 1 << 40

// openHome returns the service's home and creates it if there is none.
func (s *Server) openHome(name string, desired *desiredState) *service {
	attemptIDBase := ident.AttemptID(s.nextHome.Add(1) * attemptIDsPerHome)
	opened := newService(s, name, home.New(s.homeConfig(desired.config, name), attemptIDBase), desired)
	s.mu.Lock()
	defer s.mu.Unlock()
	if svc := s.services[name]; svc != nil {
		return svc
	}
	s.services[name] = opened
	return opened
}

// homeConfig returns the limits of the service's home. The service must be configured.
func (s *Server) homeConfig(config *bundle.Config, name string) home.Config {
	spec, _ := config.Service(name)
	classes := make([]home.ClassSpec, len(config.Classes))
	for i, class := range config.Classes {
		classes[i] = home.ClassSpec{Name: class.Name, ReservedShare: class.ReservedShare, MaxQueue: class.MaxQueue}
	}
	limits := home.Config{
		Service:        spec.Name,
		SlotsPerServer: spec.SlotsPerServer,
		Classes:        classes,
		HedgeBudget:    config.Policy.HedgeBudget,
		HedgeQuantile:  config.Policy.HedgeQuantile,
		RetryBudget:    config.Policy.RetryBudget,
		LatencyStats:   s.latencyStats,
	}
	if s.override != nil {
		s.override(&limits)
	}
	return limits
}

// Forecast returns the forecast for a leg of the class at the service. It is zero if
// this host has no home of the service.
func (s *Server) Forecast(service, class string) leg.Forecast {
	svc, config := s.find(service), s.desired.Load().config
	if svc == nil || config == nil {
		return leg.Forecast{}
	}
	if _, _, ok := config.Class(class); !ok {
		return leg.Forecast{}
	}
	return svc.forecast(class)
}

// PreferredServer returns the server that the home of the service on this host prefers for legs of
// the class to the reserved one; empty if it prefers none.
func (s *Server) PreferredServer(service, class, reserved string) string {
	svc := s.find(service)
	if svc == nil || reserved == "" {
		return ""
	}
	return svc.preferredServer(class, reserved)
}

// InService reports whether the server of the service is in service.
func (s *Server) InService(service, server string) bool {
	for _, k := range s.desired.Load().servers[service] {
		if k.Server.Name == server {
			return !k.Leaving
		}
	}
	return false
}

// ServerNearZone returns the name of the service's first server by name in the availability zone, or
// of its first one in any zone if none is in service there; empty if none is in service.
func (s *Server) ServerNearZone(service, zone string) string {
	inZone, anywhere := "", ""
	for _, k := range s.desired.Load().servers[service] {
		name := k.Server.Name
		if k.Leaving {
			continue
		}
		if anywhere == "" || name < anywhere {
			anywhere = name
		}
		if k.Server.Zone == zone && (inZone == "" || name < inZone) {
			inZone = name
		}
	}
	if inZone == "" {
		return anywhere
	}
	return inZone
}

// OpenLegs returns the number of legs in progress at this host's homes.
func (s *Server) OpenLegs() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	open := 0
	for _, svc := range s.services {
		open += svc.openLegs()
	}
	return open
}
