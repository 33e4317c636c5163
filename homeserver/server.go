// Package homeserver runs the homes of this host: it carries out the decisions of
// package home, sends attempts to the backend servers, and reports each leg's result.
package homeserver

import (
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

	mu           sync.RWMutex
	services     map[string]*service
	known        map[string][]KnownServer // by service, including those without a home yet
	config       *bundle.Config
	nextHome     uint64
	nextLeg      atomic.Uint64
	latencyStats *home.LatencyStats
	workers      *workerPool
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
	return &Server{
		runner:        runner,
		counter:       counter,
		observer:      observer,
		now:           now,
		currentConfig: currentConfig,
		services:      make(map[string]*service),
		known:         make(map[string][]KnownServer),
		latencyStats:  home.NewLatencyStats(),
		workers:       newWorkers(),
	}
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
}

// ReapplyConfig applies the current result of the ConfigOverride to the homes.
func (s *Server) ReapplyConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config != nil {
		s.reconfigure(s.config)
	}
}

// refresh applies the current configuration, which it reads under s.mu: one that was read before
// may be older than the one that is applied.
func (s *Server) refresh() {
	config := s.currentConfig()
	if config == s.config || config == nil {
		return
	}
	s.config = config
	s.reconfigure(config)
}

func (s *Server) reconfigure(config *bundle.Config) {
	for name, svc := range s.services {
		spec, ok := config.Service(name)
		if !ok {
			// Legs that were submitted before are still completed.
			delete(s.services, name)
			continue
		}
		svc.reconfigure(s.homeConfig(config, spec))
	}
}

// SetServers replaces the backend servers of all services.
func (s *Server) SetServers(known map[string][]KnownServer) {
	s.mu.Lock()
	changed := make([]*service, 0, len(s.services))
	for name, svc := range s.services {
		if !slices.Equal(known[name], s.known[name]) {
			changed = append(changed, svc)
		}
	}
	s.known = known
	s.mu.Unlock()
	for _, svc := range changed {
		svc.setServers(known[svc.name])
	}
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
	svc.submit(id, request, done)
	return func() { svc.cancel(id) }
}

func (s *Server) homeFor(request leg.Request) (*service, *leg.Result) {
	config := s.currentConfig()
	if config == nil {
		return nil, refusal(request, result.NotReady, "no configuration yet")
	}
	if _, _, ok := config.Class(request.Class); !ok {
		return nil, refusal(request, result.BadRequest, "unknown class "+request.Class)
	}
	s.mu.RLock()
	svc, current := s.services[request.Service], s.config
	s.mu.RUnlock()
	if svc == nil || current != config {
		svc = s.openHome(request.Service)
	}
	if svc == nil {
		return nil, refusal(request, result.NoBackend, "unknown service "+request.Service)
	}
	return svc, nil
}

func refusal(request leg.Request, code result.Code, detail string) *leg.Result {
	r := leg.Failed(request, code, result.OutcomeUnsent, detail)
	return &r
}

// attemptIDsPerHome separates the attempt IDs of homes, so that they are unique on this
// host.
const attemptIDsPerHome = 1 << 40

func (s *Server) openHome(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	if svc := s.services[name]; svc != nil {
		return svc
	}
	spec, ok := s.config.Service(name)
	if !ok {
		return nil
	}
	s.nextHome++
	attemptIDBase := ident.AttemptID(s.nextHome * attemptIDsPerHome)
	svc := newService(s, name, home.New(s.homeConfig(s.config, spec), attemptIDBase))
	s.services[name] = svc
	svc.setServers(s.known[name])
	return svc
}

func (s *Server) homeConfig(config *bundle.Config, spec bundle.Service) home.Config {
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
	s.mu.RLock()
	svc, config := s.services[service], s.config
	s.mu.RUnlock()
	if svc == nil || config == nil {
		return leg.Forecast{}
	}
	if _, _, ok := config.Class(class); !ok {
		return leg.Forecast{}
	}
	return svc.forecast(class)
}

// ServerInZone returns the name of the service's first server by name in the
// availability zone, or an empty string if none is in service there.
func (s *Server) ServerInZone(service, zone string) string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	first := ""
	for _, k := range s.known[service] {
		if k.Server.Zone == zone && !k.Leaving && (first == "" || k.Server.Name < first) {
			first = k.Server.Name
		}
	}
	return first
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
