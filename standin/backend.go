package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/snapshot"
)

const (
	loopbackAnyPort      = "127.0.0.1:0"
	headerTimeout        = 5 * time.Second
	defaultCrashDowntime = 200 * time.Millisecond
	defaultColdFactor    = 5
	restartRetryInterval = 10 * time.Millisecond
)

// BackendConfig configures a Backend.
type BackendConfig struct {
	Name    string
	Service string
	Region  string
	Zone    string // availability zone
	// Slots is how many calls the server runs concurrently; default 2.
	Slots int
	// QueueLimit is how many calls can wait for a slot; more are refused.
	QueueLimit int
	// MaxConnections is the connection limit; 0: none.
	MaxConnections int
	// HeldSnapshots lists the snapshots that the server holds by index; nil: all.
	HeldSnapshots map[string][]snapshot.Version
	ServiceTime   ServiceTime
	// ColdDuration is how long after a start ColdFactor multiplies service times.
	ColdDuration time.Duration
	ColdFactor   float64 // default 5
	// CrashMarker in a request body crashes the server; empty: never.
	CrashMarker string
	// CrashDowntime is how long the server is down after a crash; default 200 ms,
	// negative: forever.
	CrashDowntime time.Duration
	Seed          uint64
	// Record receives the runs; nil: a new record.
	Record *Record
}

// ServiceTime is a distribution: a constant plus an exponential part, and an extra
// delay for a share of the calls.
type ServiceTime struct {
	Base           time.Duration
	Mean           time.Duration // of the exponential part
	Straggler      time.Duration // added to StragglerShare of the calls
	StragglerShare float64
}

func (s ServiceTime) draw(random *rand.Rand) time.Duration {
	d := s.Base + time.Duration(random.ExpFloat64()*float64(s.Mean))
	if random.Float64() < s.StragglerShare {
		d += s.Straggler
	}
	return d
}

// Backend is a stand-in for a backend server. It is safe for concurrent use.
type Backend struct {
	config BackendConfig
	record *Record

	mu            sync.Mutex
	address       string
	incarnation   uint64
	startedAt     time.Time
	instance      *instance // nil while the server is down
	closed        bool
	faults        BackendFaults
	draining      bool
	heldSnapshots map[string]map[snapshot.Version]bool // by index; nil: all
	random        *rand.Rand
	loadHistory   []loadSample
	previousReply *sentReply
	resumed       chan struct{} // closed when the pause ends; nil: not paused
}

// instance is the state of one incarnation of the server.
type instance struct {
	listener *trackedListener
	server   *http.Server
	running  int
	queue    []chan struct{}
	attempts map[attemptKey]bool // queued or in service
}

type attemptKey struct {
	request ident.RequestID
	attempt ident.AttemptID
}

type loadSample struct {
	at   time.Time
	load backend.Load
}

// NewBackend returns a backend server that isn't started.
func NewBackend(config BackendConfig) *Backend {
	if config.Slots == 0 {
		config.Slots = 2
	}
	if config.ColdFactor == 0 {
		config.ColdFactor = defaultColdFactor
	}
	if config.CrashDowntime == 0 {
		config.CrashDowntime = defaultCrashDowntime
	}
	if config.Record == nil {
		config.Record = NewRecord()
	}
	b := &Backend{
		config: config,
		record: config.Record,
		random: rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(config.Name))),
	}
	if config.HeldSnapshots != nil {
		b.heldSnapshots = make(map[string]map[snapshot.Version]bool)
		for index, versions := range config.HeldSnapshots {
			for _, version := range versions {
				b.addSnapshot(index, version)
			}
		}
	}
	return b
}

// Start listens on address (IP and port). If it is empty, Start selects a free
// loopback port.
func (b *Backend) Start(address string) error {
	if address == "" {
		address = loopbackAnyPort
	}
	tcpListener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "backend server stand-in %s", b.config.Name)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.instance != nil {
		_ = tcpListener.Close()
		return errors.Errorf("backend server stand-in %s: already started or closed", b.config.Name)
	}
	b.address = tcpListener.Addr().String()
	b.incarnation++
	b.startedAt = time.Now()
	b.draining = false
	b.instance = b.newInstance(tcpListener)
	return nil
}

func (b *Backend) newInstance(tcpListener net.Listener) *instance {
	inst := &instance{
		listener: newTrackedListener(tcpListener, b.config.MaxConnections),
		attempts: make(map[attemptKey]bool),
	}
	inst.server = &http.Server{
		Handler:           b.routes(inst),
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       contextWithConn,
	}
	go func() { _ = inst.server.Serve(inst.listener) }()
	return inst
}

func (b *Backend) routes(inst *instance) http.Handler {
	router := chi.NewRouter()
	router.Post(backend.PathRun, func(w http.ResponseWriter, r *http.Request) { b.serveRun(inst, w, r) })
	router.Get(backend.PathHealth, b.serveHealth)
	router.Put(PathControl, b.serveControl)
	router.Get(PathControl, b.serveControl)
	router.Get(PathRecord, b.serveRecord)
	return router
}

// Close stops the server and closes its connections. It can't be started again.
func (b *Backend) Close() error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.SetPaused(false)
	b.Crash(-1)
	return nil
}

// Crash closes the listener and all connections. The server restarts on the same
// address as a new incarnation after downtime; never if it is negative.
func (b *Backend) Crash(downtime time.Duration) {
	b.mu.Lock()
	inst := b.instance
	b.instance = nil
	address := b.address
	b.mu.Unlock()
	if inst == nil {
		return
	}
	_ = inst.server.Close()
	inst.listener.forEach(func(c *trackedConn) { _ = c.Close() })
	if downtime >= 0 {
		time.AfterFunc(downtime, func() { b.restart(address) })
	}
}

// restart retries until the address is free: another socket may use it briefly.
func (b *Backend) restart(address string) {
	if err := b.Start(address); err != nil && !b.isClosed() {
		time.AfterFunc(restartRetryInterval, func() { b.restart(address) })
	}
}

func (b *Backend) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

// Server returns the server's description for backend clients.
func (b *Backend) Server() backend.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return backend.Server{
		Name: b.config.Name, Address: b.address, Service: b.config.Service,
		Region: b.config.Region, Zone: b.config.Zone, Incarnation: b.incarnation,
	}
}

// Address returns the IP and port that the server listens on.
func (b *Backend) Address() string { return b.Server().Address }

// Record returns the record of the runs.
func (b *Backend) Record() *Record { return b.record }

// IsRunning reports whether the server is listening.
func (b *Backend) IsRunning() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instance != nil
}

// OpenConnections returns the number of open connections and the peak of this
// incarnation.
func (b *Backend) OpenConnections() (open, peak int) {
	b.mu.Lock()
	inst := b.instance
	b.mu.Unlock()
	if inst == nil {
		return 0, 0
	}
	return inst.listener.counts()
}

// AddSnapshot adds a snapshot to those that the server holds.
func (b *Backend) AddSnapshot(index string, version snapshot.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addSnapshot(index, version)
}

func (b *Backend) addSnapshot(index string, version snapshot.Version) {
	if b.heldSnapshots == nil {
		b.heldSnapshots = make(map[string]map[snapshot.Version]bool)
	}
	if b.heldSnapshots[index] == nil {
		b.heldSnapshots[index] = make(map[snapshot.Version]bool)
	}
	b.heldSnapshots[index][version] = true
}

// RemoveSnapshot removes a snapshot; calls for it are refused.
func (b *Backend) RemoveSnapshot(index string, version snapshot.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.heldSnapshots[index], version)
}

// SetDraining starts or stops draining: new calls are refused, running ones continue.
func (b *Backend) SetDraining(enabled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = enabled
}

// BlackholeConnections makes all open connections discard data; new ones work.
func (b *Backend) BlackholeConnections() {
	b.mu.Lock()
	inst := b.instance
	b.mu.Unlock()
	if inst != nil {
		inst.listener.forEach(func(c *trackedConn) { c.blackholed.Store(true) })
	}
}

// BreakConnections closes all open connections; new ones work.
func (b *Backend) BreakConnections() {
	b.mu.Lock()
	inst := b.instance
	b.mu.Unlock()
	if inst != nil {
		inst.listener.forEach(func(c *trackedConn) { _ = c.Close() })
	}
}

// SetPaused pauses or resumes all calls in service.
func (b *Backend) SetPaused(paused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case paused && b.resumed == nil:
		b.resumed = make(chan struct{})
	case !paused && b.resumed != nil:
		close(b.resumed)
		b.resumed = nil
	}
}

// waitUntilResumed waits for the end of a pause and returns false if ctx ends
// first.
func (b *Backend) waitUntilResumed(ctx context.Context) bool {
	b.mu.Lock()
	resumed := b.resumed
	b.mu.Unlock()
	if resumed == nil {
		return true
	}
	select {
	case <-resumed:
		return true
	case <-ctx.Done():
		return false
	}
}
