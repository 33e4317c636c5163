package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in of one backend server, as PROTOCOL.md describes it. It works on slots
// requests at once, queues a few more and refuses the rest.
type backend struct {
	fleet                *fleet
	id, service, zone    string
	slots, queue         int
	work                 func() time.Duration
	listener             net.Listener
	free                 chan struct{} // holds a token for each free slot
	mu                   sync.Mutex
	waiting              int
	runs                 map[string][]workTime // by Attempt-Id
	refused, extraAnswer int
	// extraRate is the share of answers that are sent a second time, late: at the point where
	// the next answer on the connection is expected.
	extraRate float64
	// quiet leaves single requests out of the record and counts them instead.
	quiet   bool
	counted int
}

// workTime is when a run began and ended; the end is zero while it goes on.
type workTime struct{ began, ended time.Time }

// note records an event of a request.
func (b *backend) note(format string, args ...any) {
	if !b.quiet {
		b.fleet.record.printf(format, args...)
	}
}

// startBackend starts a server and registers it in the store.
func (f *fleet) startBackend(id, service, zone string, slots, queue int, work func() time.Duration) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		fleet: f, id: id, service: service, zone: zone, slots: slots, queue: queue, work: work, listener: listener,
		free: make(chan struct{}, slots), runs: make(map[string][]workTime),
	}
	for range slots {
		b.free <- struct{}{}
	}
	go b.accept()
	f.store.Put("servers", id, map[string]any{
		"Service": service, "Address": listener.Addr().String(), "Zone": zone, "ConfigVersion": "v1",
		"MaxConcurrency": slots, "State": "ready", "WarmupLeftMs": 0, "Sequence": 1,
	})
	f.record.printf("backend server %s of %s at %s, %d slots, queue of %d", id, service, listener.Addr(), slots, queue)
	return b, nil
}

// setExtraRate begins or ends the fault.
func (b *backend) setExtraRate(rate float64) {
	b.mu.Lock()
	b.extraRate = rate
	b.mu.Unlock()
	b.fleet.record.printf("backend server %s: share of answers sent a second time, late: %g", b.id, rate)
}

// connCount numbers the connections, for the record.
var connCount atomic.Uint64

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// idleTimeout is how long a connection is kept without a request.
const idleTimeout = 20 * time.Second

// serve handles the requests of one connection, one at a time.
func (b *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte // a second copy of the last answer
	number := connCount.Add(1)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if late != nil {
			b.fleet.record.printf("%s sends its last answer a second time, before it begins with %s", b.id, request.Header.Get("Attempt-Id"))
			if _, err := conn.Write(late); err != nil {
				return
			}
		}
		answer := b.answer(request, number)
		late = nil
		if b.sendsExtra() {
			late = answer
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

func (b *backend) sendsExtra() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	extra := rand.Float64() < b.extraRate
	if extra {
		b.extraAnswer++
	}
	return extra
}

// answer runs or refuses a request and returns the whole answer.
func (b *backend) answer(request *http.Request, conn uint64) []byte {
	attempt := request.Header.Get("Attempt-Id")
	if request.URL.Path == "/health" {
		return encodeAnswer(http.StatusOK, nil, "Instance-Id: "+b.id)
	}
	b.note("%s arrives at %s, connection %d", attempt, b.id, conn)
	if attempt == "" {
		return encodeAnswer(http.StatusBadRequest, nil, "Not-Executed: 1")
	}
	if request.Header.Get("Expected-Instance") != b.id {
		return encodeAnswer(http.StatusMisdirectedRequest, nil, "Attempt-Id: "+attempt, "Instance-Id: "+b.id, "Not-Executed: 1")
	}
	deadline, _ := strconv.Atoi(request.Header.Get("Deadline-Ms"))
	if !b.takeSlot(time.Duration(deadline) * time.Millisecond) {
		b.fleet.record.printf("%s is refused by %s, not run", attempt, b.id)
		return encodeAnswer(http.StatusServiceUnavailable, nil, "Attempt-Id: "+attempt, "Not-Executed: 1")
	}
	ended := b.begin(attempt)
	time.Sleep(b.work())
	ended()
	b.free <- struct{}{}
	return encodeAnswer(http.StatusOK, []byte("done "+attempt), "Attempt-Id: "+attempt, "Server-Stamp: "+b.stamp(attempt))
}

// begin records that a run begins; the result records its end.
func (b *backend) begin(attempt string) (ended func()) {
	b.note("%s runs at %s", attempt, b.id)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.quiet {
		b.counted++
		return func() {}
	}
	number := len(b.runs[attempt])
	b.runs[attempt] = append(b.runs[attempt], workTime{began: time.Now()})
	return func() {
		b.mu.Lock()
		b.runs[attempt][number].ended = time.Now()
		b.mu.Unlock()
		b.note("%s has run at %s", attempt, b.id)
	}
}

func (b *backend) stamp(attempt string) string { return b.id + "." + attempt }

// takeSlot waits for a slot, until the deadline; false if the server has no room.
func (b *backend) takeSlot(timeout time.Duration) bool {
	select {
	case <-b.free:
		return true
	default:
	}
	b.mu.Lock()
	if b.waiting >= b.queue {
		b.refused++
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case <-b.free:
		return true
	case <-time.After(timeout):
		return false
	}
}

func encodeAnswer(status int, body []byte, header ...string) []byte {
	lines := append([]string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status))}, header...)
	lines = append(lines, fmt.Sprintf("Keep-Alive: timeout=%d", int(idleTimeout.Seconds())), fmt.Sprintf("Content-Length: %d", len(body)), "", "")
	return append([]byte(strings.Join(lines, "\r\n")), body...)
}

// workTimes returns the runs of an attempt.
func (b *backend) workTimes(attempt string) []workTime {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]workTime(nil), b.runs[attempt]...)
}
