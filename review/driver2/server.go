package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a backend server: it serves a number of requests at once, queues some
// and sheds the rest, as PROTOCOL.md describes.
type server struct {
	id, service, zone string
	slots, queue      int
	work              func(rnd *rand.Rand) time.Duration
	record            *record
	listener          net.Listener
	http              *http.Server
	free              chan struct{} // holds a token for each free slot

	// The server pauses for pauseFor at each pauseEvery after pausePhase; 0: never. Set them before
	// the first request.
	pauseFor, pauseEvery time.Duration
	pausePhase           time.Time

	mu       sync.Mutex
	rnd      *rand.Rand
	running  int
	waiting  int
	draining bool
	arrivals []arrival
}

// arrival is a request that has reached a server and was not answered 421.
type arrival struct {
	attempt string
	at      time.Time
	ran     bool
}

// recordSize is the size of a record of a part.
const recordSize = 16

func startServer(id, service, zone string, slots, queue int, rnd *rand.Rand, work func(*rand.Rand) time.Duration, r *record) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, slots: slots, queue: queue, work: work, record: r, listener: listener, free: make(chan struct{}, slots), rnd: rnd}
	for range slots {
		s.free <- struct{}{}
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(listener) }() // returns on close
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

// entry is the server's entry in the store.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return map[string]any{
		"Service": s.service, "Address": s.listener.Addr().String(), "Zone": s.zone, "ConfigVersion": "v1",
		"MaxConcurrency": s.slots, "State": state, "WarmupLeftMs": 0, "Sequence": 1,
	}
}

func (s *server) setDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// taken returns the arrivals so far.
func (s *server) taken() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	draining := s.draining
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots))
	s.mu.Unlock()
	if draining {
		w.Header().Set("Connection", "close")
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", s.id)
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case r.Header.Get("Expected-Instance") != "" && r.Header.Get("Expected-Instance") != s.id:
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	n := s.arrive(attempt)
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !s.takeSlot(ctx) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	s.markRun(n)
	s.answer(ctx, w, attempt)
}

func (s *server) arrive(attempt string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{attempt: attempt, at: time.Now()})
	return len(s.arrivals) - 1
}

func (s *server) markRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[n].ran = true
}

// takeSlot waits for a slot, unless the queue is full.
func (s *server) takeSlot(ctx context.Context) bool {
	s.mu.Lock()
	if s.running >= s.slots && s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	taken := false
	select {
	case <-s.free:
		taken = true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if taken {
		s.running++
	}
	return taken
}

func (s *server) releaseSlot() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.free <- struct{}{}
}

// pauseWithin returns for how long the server pauses during work that starts now.
func (s *server) pauseWithin(now time.Time, work time.Duration) time.Duration {
	phase := now.Sub(s.pausePhase) % s.pauseEvery
	switch {
	case phase < s.pauseFor:
		return s.pauseFor - phase
	case phase+work > s.pauseEvery:
		return s.pauseFor
	default:
		return 0
	}
}

// answer works on the request and answers it; it stops at the deadline, and when the caller has gone.
func (s *server) answer(ctx context.Context, w http.ResponseWriter, attempt string) {
	s.mu.Lock()
	work := s.work(s.rnd)
	s.mu.Unlock()
	if s.pauseEvery > 0 {
		work += s.pauseWithin(time.Now(), work)
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	status := http.StatusOK
	select {
	case <-timer.C:
	case <-ctx.Done():
		status = http.StatusGatewayTimeout
	}
	sum := sha256.Sum256([]byte(s.id + attempt))
	body := sum[:recordSize]
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Server-Stamp", fmt.Sprintf("%x", sum[recordSize:recordSize+12]))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may have gone
}
