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
	loopbackAnyPort   = "127.0.0.1:0"
	headerTimeout     = 5 * time.Second
	defaultCrashDown  = 200 * time.Millisecond
	defaultColdFactor = 5
	restartEvery      = 10 * time.Millisecond
)

// BackendConfig shapes a backend server stand-in.
type BackendConfig struct {
	Name    string
	Service string
	Region  string
	Zone    string // availability zone
	// Slots is how many requests it serves at once; default 2.
	Slots int
	// QueueLimit is how many more may wait; above it calls are refused.
	QueueLimit int
	// MaxConnections is the connection limit; 0: none.
	MaxConnections int
	// HeldSnapshots lists the snapshots held, by index; nil: it holds all.
	HeldSnapshots map[string][]snapshot.Version
	// ServiceTime is the distribution of the service time.
	ServiceTime ServiceTime
	// ColdDuration is how long after a start service times are multiplied by ColdFactor.
	ColdDuration time.Duration
	ColdFactor   float64 // default 5
	// CrashMarker in a request's body crashes the server; empty: never.
	CrashMarker string
	// CrashDown is how long it stays down after a crash; default 200 ms;
	// negative: for good.
	CrashDown time.Duration
	Seed      uint64
	// Record takes the runs; nil: one of its own.
	Record *Record
}

// ServiceTime is base + exponential, and a share of stragglers on top.
type ServiceTime struct {
	Base           time.Duration
	Mean           time.Duration // of the exponential part
	Straggler      time.Duration // added to a share of the requests
	StragglerShare float64
}

func (s ServiceTime) draw(random *rand.Rand) time.Duration {
	d := s.Base + time.Duration(random.ExpFloat64()*float64(s.Mean))
	if random.Float64() < s.StragglerShare {
		d += s.Straggler
	}
	return d
}

// Backend is a backend server stand-in. Its methods are safe for concurrent use.
type Backend struct {
	config BackendConfig
	record *Record

	mu          sync.Mutex
	address     string
	incarnation uint64
	startedAt   time.Time
	life        *life // nil while it is down
	closed      bool
	faults      BackendFaults
	draining    bool
	holds       map[string]map[snapshot.Version]bool // nil: all
	random      *rand.Rand
	loadLog     []loadAt
	lastReply   *writtenReply
	pause       chan struct{} // work in service waits for it while not nil
}

// life is one incarnation: its listener, server, slots and queue.
type life struct {
	listener *trackedListener
	server   *http.Server
	running  int
	queue    []chan struct{}
	attempts map[attemptKey]bool // waiting or in service
}

type attemptKey struct {
	request ident.RequestID
	attempt ident.AttemptID
}

type loadAt struct {
	at   time.Time
	load backend.Load
}

// NewBackend makes a backend server that does not listen yet.
func NewBackend(config BackendConfig) *Backend {
	if config.Slots == 0 {
		config.Slots = 2
	}
	if config.ColdFactor == 0 {
		config.ColdFactor = defaultColdFactor
	}
	if config.CrashDown == 0 {
		config.CrashDown = defaultCrashDown
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
		b.holds = make(map[string]map[snapshot.Version]bool)
		for index, versions := range config.HeldSnapshots {
			for _, version := range versions {
				b.hold(index, version)
			}
		}
	}
	return b
}

// Start listens on the address, IP and port; an empty one means a free
// loopback port.
func (b *Backend) Start(address string) error {
	if address == "" {
		address = loopbackAnyPort
	}
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "backend server stand-in %s", b.config.Name)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.life != nil {
		_ = raw.Close()
		return errors.Errorf("backend server stand-in %s: started twice or closed", b.config.Name)
	}
	b.address = raw.Addr().String()
	b.incarnation++
	b.startedAt = time.Now()
	b.draining = false
	b.life = b.newLife(raw)
	return nil
}

func (b *Backend) newLife(raw net.Listener) *life {
	l := &life{
		listener: newTrackedListener(raw, b.config.MaxConnections),
		attempts: make(map[attemptKey]bool),
	}
	l.server = &http.Server{
		Handler:           b.routes(l),
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       withConn,
	}
	go func() { _ = l.server.Serve(l.listener) }()
	return l
}

func (b *Backend) routes(l *life) http.Handler {
	router := chi.NewRouter()
	router.Post(backend.PathRun, func(w http.ResponseWriter, r *http.Request) { b.serveRun(l, w, r) })
	router.Get(backend.PathHealth, b.serveHealth)
	router.Put(PathControl, b.serveControl)
	router.Get(PathControl, b.serveControl)
	router.Get(PathRecord, b.serveRecord)
	return router
}

// Close stops it for good; connections break.
func (b *Backend) Close() error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.Pause(false)
	b.Crash(-1)
	return nil
}

// Crash closes the listener and breaks every connection at once. After down it
// comes back at the same address as a new incarnation; negative: never.
func (b *Backend) Crash(down time.Duration) {
	b.mu.Lock()
	l := b.life
	b.life = nil
	address := b.address
	b.mu.Unlock()
	if l == nil {
		return
	}
	_ = l.server.Close()
	l.listener.each(func(c *trackedConn) { _ = c.Close() })
	if down >= 0 {
		time.AfterFunc(down, func() { b.restart(address) })
	}
}

// restart tries until the address can be had again: another socket may hold it
// for a moment.
func (b *Backend) restart(address string) {
	if err := b.Start(address); err != nil && !b.isClosed() {
		time.AfterFunc(restartEvery, func() { b.restart(address) })
	}
}

func (b *Backend) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

// Server is the backend server as an entry host knows it.
func (b *Backend) Server() backend.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return backend.Server{
		Name: b.config.Name, Address: b.address, Service: b.config.Service,
		Region: b.config.Region, Zone: b.config.Zone, Incarnation: b.incarnation,
	}
}

// Address is the IP and port it listens on.
func (b *Backend) Address() string { return b.Server().Address }

// Record returns the record of what ran.
func (b *Backend) Record() *Record { return b.record }

// Up reports whether it listens.
func (b *Backend) Up() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.life != nil
}

// OpenConnections returns the connections now and the most of this life.
func (b *Backend) OpenConnections() (open, peak int) {
	b.mu.Lock()
	l := b.life
	b.mu.Unlock()
	if l == nil {
		return 0, 0
	}
	return l.listener.counts()
}

// AddSnapshot adds a snapshot, DropSnapshot takes one away.
func (b *Backend) AddSnapshot(index string, version snapshot.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hold(index, version)
}

func (b *Backend) hold(index string, version snapshot.Version) {
	if b.holds == nil {
		b.holds = make(map[string]map[snapshot.Version]bool)
	}
	if b.holds[index] == nil {
		b.holds[index] = make(map[snapshot.Version]bool)
	}
	b.holds[index][version] = true
}

// DropSnapshot makes the server refuse calls for the snapshot.
func (b *Backend) DropSnapshot(index string, version snapshot.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.holds[index], version)
}

// SetDraining makes the server refuse new work and say so; what runs goes on.
func (b *Backend) SetDraining(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = on
}

// BlackholeConnections makes the open connections silent; new ones work.
func (b *Backend) BlackholeConnections() {
	b.mu.Lock()
	l := b.life
	b.mu.Unlock()
	if l != nil {
		l.listener.each(func(c *trackedConn) { c.silent.Store(true) })
	}
}

// BreakConnections breaks the open connections; new ones work.
func (b *Backend) BreakConnections() {
	b.mu.Lock()
	l := b.life
	b.mu.Unlock()
	if l != nil {
		l.listener.each(func(c *trackedConn) { _ = c.Close() })
	}
}

// Pause makes all work in service stand still until it is turned off.
func (b *Backend) Pause(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case on && b.pause == nil:
		b.pause = make(chan struct{})
	case !on && b.pause != nil:
		close(b.pause)
		b.pause = nil
	}
}

// unpaused waits out a pause and reports whether ctx is still on.
func (b *Backend) unpaused(ctx context.Context) bool {
	b.mu.Lock()
	pause := b.pause
	b.mu.Unlock()
	if pause == nil {
		return true
	}
	select {
	case <-pause:
		return true
	case <-ctx.Done():
		return false
	}
}
