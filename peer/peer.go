// Package peer is the transport between entry hosts: drpc over TCP, with mutual TLS unless the
// settings select plain text. Packages with messages between hosts register their service on the
// Server and make calls through a Pool.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
)

const (
	// dialTimeout bounds connecting and the TLS handshake with a peer.
	dialTimeout = 2 * time.Second
	// idleTimeout closes unused pooled connections, so that large fleets do not keep a full mesh of
	// connections.
	idleTimeout = 30 * time.Second
	// maxIdlePerPeer bounds the pooled idle connections to one peer.
	maxIdlePerPeer = 2
	// maxIdle bounds the pooled idle connections to all peers.
	maxIdle = 64
)

// Pool dials peers and pools idle connections. A drpc connection carries one call at a time; the
// pool dials more when needed.
type Pool struct {
	tls    *tls.Config
	conns  *drpcpool.Pool[string, *drpcconn.Conn]
	closed atomic.Bool
}

// errClosed is returned for calls after Close; nothing was sent.
var errClosed = errors.New("peer: the pool is closed")

// NewPool returns a pool; a nil config selects plain text.
func NewPool(config *tls.Config) *Pool {
	return &Pool{
		tls: config,
		conns: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    maxIdle,
			KeyCapacity: maxIdlePerPeer,
		}),
	}
}

// Conn returns a connection to the peer's address, IP and port, for use with a generated client. It
// dials on the first call and can be shared.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.conns.Get(ctx, address, p.dial)
}

// Dial opens a dedicated connection, for a long-lived stream.
func (p *Pool) Dial(ctx context.Context, address string) (drpc.Conn, error) {
	return p.dial(ctx, address)
}

// Close closes the idle connections; later dials fail.
func (p *Pool) Close() error {
	p.closed.Store(true)
	return p.conns.Close()
}

func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if p.closed.Load() {
		return nil, errClosed
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", address)
	}
	if p.tls == nil {
		return newConn(conn), nil
	}
	config := p.tls.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address) // valid, since it was dialled
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "TLS with peer %s", address)
	}
	return newConn(tlsConn), nil
}

// newConn returns a connection that is closed when a call on it is cancelled or times out. With
// drpc's soft cancel a lost connection would go back to the pool, and a live peer would look dead.
func newConn(transport net.Conn) *drpcconn.Conn { return drpcconn.New(transport) }

// Server serves the registered services to peers.
type Server struct {
	mux *drpcmux.Mux
}

// NewServer returns a server without services.
func NewServer() *Server { return &Server{mux: drpcmux.New()} }

// Mux is where packages register their generated services, before Serve.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Serve answers calls on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.New(s.mux)
	return server.Serve(ctx, listener)
}
