package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/goldcrestspan/goldcrestspan/platform/standin"
)

// storeFront is the address at which one host reaches the store. The store may reject this host while
// it serves the others.
type storeFront struct {
	store    *standin.Store
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	rejects  int // status of all calls; 0 if they are served
	rejected chan struct{}
	calls    []time.Time
	cutAfter time.Duration // how long a watch may wait; 0: as long as it asks for
}

func startStoreFront(store *standin.Store) (*storeFront, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	f := &storeFront{store: store, listener: listener, rejected: make(chan struct{})}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = f.server.Serve(listener) }() // returns on close
	return f, nil
}

func (f *storeFront) close() { _ = f.server.Close() }

// reject answers all calls with the status, and cuts off the watches that wait; 0 ends that.
func (f *storeFront) reject(status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejects = status
	if status != 0 {
		close(f.rejected)
		f.rejected = make(chan struct{})
	}
}

// cutWatches closes the connection of each watch that has waited for so long.
func (f *storeFront) cutWatches(after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutAfter = after
}

// callsSince returns the number of calls since a time.
func (f *storeFront) callsSince(since time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.calls {
		if at.After(since) {
			n++
		}
	}
	return n
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.calls = append(f.calls, time.Now())
	status, rejected, cutAfter := f.rejects, f.rejected, f.cutAfter
	f.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if cutAfter > 0 && r.URL.Query().Has("Watch") {
		timer := time.AfterFunc(cutAfter, cancel)
		defer timer.Stop()
	}
	served := make(chan struct{})
	defer close(served)
	go func() {
		select {
		case <-rejected:
			cancel()
		case <-served:
		}
	}()
	f.store.ServeHTTP(w, r.WithContext(ctx))
	if ctx.Err() != nil && r.Context().Err() == nil {
		panic(http.ErrAbortHandler) // a watch that was cut off gets no answer
	}
}
