package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is a request of a caller, and its answer.
type call struct {
	id, path string
	host     *host
	sent     time.Time
	took     time.Duration
	status   int // 0 if there was no whole answer
	detail   string
}

// callers send requests and keep what became of them.
type callers struct {
	system *system
	client *http.Client
	lastID atomic.Uint64
	active sync.WaitGroup

	mu    sync.Mutex
	calls []*call
}

func newCallers(s *system) *callers {
	dialer := &net.Dialer{Timeout: time.Second}
	return &callers{system: s, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// send sends a request to a host and waits for its answer, until the deadline passes.
func (c *callers) send(h *host, path string, deadline time.Duration) *call {
	id := fmt.Sprintf("%016x", c.lastID.Add(1))
	k := &call{id: id, path: path, host: h, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.front+path+id, nil)
	if err == nil {
		request.Host = hostName
		request.Header.Set("Attempt-Id", id)
		request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
		err = c.exchange(request, k)
	}
	k.took = time.Since(k.sent)
	if err != nil {
		k.status, k.detail = 0, err.Error()
	}
	c.mu.Lock()
	c.calls = append(c.calls, k)
	c.mu.Unlock()
	c.system.record.line("request %s %s at %s sent at %.3f: status %d after %d ms %s", id, path, h.name, k.sent.Sub(c.system.record.started).Seconds(), k.status, k.took.Milliseconds(), k.detail)
	return k
}

func (c *callers) exchange(request *http.Request, k *call) error {
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	k.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		k.detail = strings.TrimSpace(string(text))
	} else if missing := response.Header.Get("Missing-Parts"); missing != "" {
		k.detail = "missing " + missing
	}
	return nil
}

// runArrivals sends requests at random times, at a mean rate, until stop is closed.
func (c *callers) runArrivals(stop <-chan struct{}, rnd *rand.Rand, perSecond float64, send func(rnd *rand.Rand)) {
	c.active.Add(1)
	go func() {
		defer c.active.Done()
		for {
			pause := time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			seed := rnd.Uint64()
			c.active.Add(1)
			go func() {
				defer c.active.Done()
				send(rand.New(rand.NewPCG(seed, 1)))
			}()
		}
	}()
}

// all returns the finished calls.
func (c *callers) all() []*call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*call(nil), c.calls...)
}

// summary notes how many calls on each path ended with each status.
func (c *callers) summary() {
	counts := make(map[string]int)
	for _, k := range c.all() {
		counts[fmt.Sprintf("%s %d", k.path, k.status)]++
	}
	for key, n := range counts {
		c.system.record.note("path and status %s: %d requests", key, n)
	}
}
