// Package peer owns the transport between entry hosts: drpc over TCP, mutual
// TLS unless the settings say plain text. Each slice with control messages
// registers its service on the Server and calls through a Pool.
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
	// idleExpiry closes pooled connections that no call used for this long, so
	// that 3,400 hosts do not keep a full mesh of control connections.
	idleExpiry = 30 * time.Second
	// idlePerPeer bounds the pooled idle connections to one peer.
	idlePerPeer = 2
	// idleTotal bounds the pooled idle connections to all peers.
	idleTotal = 64
)

// Pool dials peers and keeps idle connections for later calls. A drpc
// connection carries one call at a time; the pool dials more when needed.
type Pool struct {
	tls    *tls.Config
	conns  *drpcpool.Pool[string, *drpcconn.Conn]
	closed atomic.Bool
}

// errClosed: the pool was closed, nothing was sent.
var errClosed = errors.New("peer: the pool is closed")

// NewPool makes a pool; a nil tls means plain text.
func NewPool(config *tls.Config) *Pool {
	return &Pool{
		tls: config,
		conns: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleExpiry,
			Capacity:    idleTotal,
			KeyCapacity: idlePerPeer,
		}),
	}
}

// Conn returns a connection to the peer's address, IP and port, for use with a
// generated client. It dials lazily, on the first call, and can be shared.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.conns.Get(ctx, address, p.dial)
}

// Dial opens a connection of its own, for a long-lived stream.
func (p *Pool) Dial(ctx context.Context, address string) (drpc.Conn, error) {
	return p.dial(ctx, address)
}

// Close closes the idle connections and refuses to dial any more.
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
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", address)
	}
	if p.tls == nil {
		return newConn(raw), nil
	}
	config := p.tls.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address) // dialled, so it has both
	secured := tls.Client(raw, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, errors.Wrapf(err, "TLS with peer %s", address)
	}
	return newConn(secured), nil
}

// newConn makes a connection that is closed when a call on it is cancelled or
// times out.
//
// Failure: something between the hosts loses track of a connection; it shows as
// a call without a reply while writes still succeed. With drpc's soft cancel the
// connection would go back into the pool, every later call would take it again,
// and a live peer would be dead to this host. The guard holds because a
// connection is pooled again only after a call on it has ended by itself.
func newConn(transport net.Conn) *drpcconn.Conn { return drpcconn.New(transport) }

// Server serves the registered services to peers.
type Server struct {
	mux *drpcmux.Mux
}

// NewServer makes a server without services.
func NewServer() *Server { return &Server{mux: drpcmux.New()} }

// Mux is where slices register their generated services, before Serve.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Serve answers calls on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.New(s.mux)
	return server.Serve(ctx, listener)
}
