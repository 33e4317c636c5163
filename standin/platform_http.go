package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

const maxWatchWait = time.Minute

// platformServer is the listener of a Platform that was started.
type platformServer struct {
	mu       sync.Mutex
	server   *http.Server
	listener *trackedListener
}

// Start serves Handler on the address, IP and port, and returns the address; an
// empty one means a free loopback port.
func (p *Platform) Start(address string) (string, error) {
	if address == "" {
		address = loopbackAnyPort
	}
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "platform stand-in")
	}
	listener := newTrackedListener(raw, 0)
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: headerTimeout}
	p.server.mu.Lock()
	p.server.server, p.server.listener = server, listener
	p.server.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return raw.Addr().String(), nil
}

// Close stops the listener and breaks the connections; the state stays.
func (p *Platform) Close() error {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	if p.server.server == nil {
		return nil
	}
	err := p.server.server.Close()
	p.server.server = nil
	return err
}

// BreakConnections breaks all open connections; new ones work.
func (p *Platform) BreakConnections() {
	p.eachConn(func(c *trackedConn) { _ = c.Close() })
}

// BlackholeConnections makes the open connections silent; new ones work.
func (p *Platform) BlackholeConnections() {
	p.eachConn(func(c *trackedConn) { c.silent.Store(true) })
}

func (p *Platform) eachConn(f func(*trackedConn)) {
	p.server.mu.Lock()
	listener := p.server.listener
	p.server.mu.Unlock()
	if listener != nil {
		listener.each(f)
	}
}

// Handler is the object API, the host list and the control interface.
func (p *Platform) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get(metastore.PathObject, p.serveGet)
	router.Put(metastore.PathObject, p.servePut)
	router.Delete(metastore.PathObject, p.serveDelete)
	router.Get(metastore.PathList, p.serveList)
	router.Get(metastore.PathWatch, p.serveWatch)
	router.Get(metastore.PathHosts, p.serveHosts)
	router.Get(PathControl, p.serveControl)
	router.Put(PathControl, p.serveControl)
	router.Post(PathControlHost, p.serveAddHost)
	router.Delete(PathControlHost, p.serveRemoveHost)
	return router
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	object, err := p.Get(r.Context(), r.URL.Query().Get(metastore.ParamKey))
	answer(w, object, err)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.URL.Query().Get(metastore.ParamExpect), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, metastore.MaxValueBytes))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		err = metastore.ErrTooLarge
	}
	if err != nil {
		answer(w, nil, err)
		return
	}
	object, err := p.Put(r.Context(), r.URL.Query().Get(metastore.ParamKey), value, expect)
	answer(w, object, err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.URL.Query().Get(metastore.ParamExpect), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer(w, struct{}{}, p.Delete(r.Context(), r.URL.Query().Get(metastore.ParamKey), expect))
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	objects, revision, err := p.List(r.Context(), r.URL.Query().Get(metastore.ParamPrefix))
	answer(w, metastore.WatchReply{Objects: objects, Revision: revision}, err)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(metastore.ParamAfter), 10, 64)
	wait, err2 := time.ParseDuration(query.Get(metastore.ParamWait))
	if err != nil || err2 != nil {
		http.Error(w, "after or wait can't be read", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWatchWait))
	defer cancel()
	objects, revision, err := p.Watch(ctx, query.Get(metastore.ParamPrefix), metastore.Revision(after))
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil // the wait is over and nothing changed
	}
	answer(w, metastore.WatchReply{Objects: objects, Revision: revision}, err)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.Hosts(r.Context(), metastore.HostKind(r.URL.Query().Get(metastore.ParamKind)))
	answer(w, hosts, err)
}

// answer sends the body or the error. A lost reply breaks the connection, as
// the loss of the link would.
func answer(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.Is(err, metastore.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, metastore.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, metastore.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, metastore.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}
