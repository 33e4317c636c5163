package backend

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	defaultConnections              = 24
	defaultMaxReplyBytes            = 4 << 20
	defaultMaxReplyMemory           = 64 << 20
	defaultDialTimeout              = 500 * time.Millisecond
	defaultReadIdleTimeout          = time.Second
	defaultProbeTimeout             = 500 * time.Millisecond
	defaultIdleTimeout              = 30 * time.Second
	defaultNonIdempotentIdleTimeout = 2 * time.Second
	maxHealthBytes                  = 1 << 20
	maxReplyHeaderBytes             = 16 << 10
	statusFailed                    = http.StatusInternalServerError
	statusRefused                   = http.StatusServiceUnavailable
	maxDiscardBytes                 = 4 << 10
)

// Options configures a Client. A zero field selects its default.
type Options struct {
	// ConnectionsPerServer limits this host's connections to each server;
	// default 24.
	ConnectionsPerServer int
	// ConnectionLimit returns the connection limit of a server and overrides
	// ConnectionsPerServer. It runs on each call and must be cheap.
	ConnectionLimit func(Server) int
	// MaxReplyBytes limits the body of a reply; default 4 MiB.
	MaxReplyBytes int64
	// MaxReplyMemory limits the bytes of all replies that are read at once, apart from the first
	// 64 KiB of each; default 64 MiB. SetMaxReplyMemory changes it.
	MaxReplyMemory int64
	// DialTimeout limits how long opening a connection takes; default 500 ms.
	DialTimeout time.Duration
	// ReadIdleTimeout is how long a call may receive no data before the server is
	// asked, on a new connection, whether it still runs the call; default 1 s,
	// negative: never.
	ReadIdleTimeout time.Duration
	// ProbeTimeout limits that probe; default 500 ms.
	ProbeTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; default 30 s.
	IdleTimeout time.Duration
	// NonIdempotentIdleTimeout is the longest idle time of a connection that is
	// reused for a call that is not idempotent; default 2 s.
	NonIdempotentIdleTimeout time.Duration
	// TLS configures connections to the servers; nil: plain text.
	TLS *tls.Config
	// Protocol is the protocol of the servers; default: the native one.
	Protocol Protocol
}

func (o Options) withDefaults() Options {
	setDefault(&o.ConnectionsPerServer, defaultConnections)
	setDefault(&o.MaxReplyBytes, defaultMaxReplyBytes)
	setDefault(&o.MaxReplyMemory, defaultMaxReplyMemory)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.ReadIdleTimeout, defaultReadIdleTimeout)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.NonIdempotentIdleTimeout, defaultNonIdempotentIdleTimeout)
	if o.Protocol == nil {
		o.Protocol = nativeProtocol{maxReplyBytes: o.MaxReplyBytes}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Stats holds the Client's counters.
type Stats struct {
	Dials                   uint64 // connections opened, probes included
	Probes                  uint64 // health requests for calls that received no data
	UnresponsiveConnections uint64 // connections closed after a failed probe
	MisroutedReplies        uint64 // replies with the ids of another request
	RepliesOverMemory       uint64 // replies dropped as others took the memory for long ones
	UnidentifiedReplies     uint64 // replies without the ids of a request
	CorruptReplies          uint64 // replies with a wrong length or digest
}

// Client is a Runner over HTTP/1.1. It manages its connections itself, because
// net/http's transport may send a request twice.
type Client struct {
	options Options
	scheme  string

	replyMemory replyMemory

	mu        sync.Mutex
	pools     map[string]*pool // by server address
	idleTimer *time.Timer      // closes expired connections; nil before the first pool

	dials, probes, unresponsive, misroutedReplies, unidentifiedReplies, corruptReplies, repliesOverMemory atomic.Uint64
}

var _ Runner = (*Client)(nil)

// NewClient returns a client; it dials on demand.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	scheme := "http"
	if options.TLS != nil {
		scheme = "https"
	}
	c := &Client{
		options: options,
		scheme:  scheme,
		pools:   make(map[string]*pool),
	}
	c.SetMaxReplyMemory(options.MaxReplyMemory)
	return c
}

// SetMaxReplyMemory changes the limit on the bytes of all replies that are read at once. Replies
// that are being read keep what they have.
func (c *Client) SetMaxReplyMemory(bytes int64) { c.replyMemory.limit.Store(bytes) }

// Stats returns the current counters.
func (c *Client) Stats() Stats {
	return Stats{
		Dials:                   c.dials.Load(),
		Probes:                  c.probes.Load(),
		UnresponsiveConnections: c.unresponsive.Load(),
		MisroutedReplies:        c.misroutedReplies.Load(),
		RepliesOverMemory:       c.repliesOverMemory.Load(),
		UnidentifiedReplies:     c.unidentifiedReplies.Load(),
		CorruptReplies:          c.corruptReplies.Load(),
	}
}

// Run implements Runner.
func (c *Client) Run(ctx context.Context, server Server, call Call) CallResult {
	if deadline, ok := ctx.Deadline(); !ok || deadline.After(call.Deadline) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	key := c.options.Protocol.Key(call)
	p, connection, err := c.connect(ctx, server, call, key)
	if err != nil {
		return connectFailure(err)
	}
	callsBefore := connection.carried.count()
	connection.carried.add(key)
	res, reusable := c.exchange(ctx, server, connection, call)
	if res.Unidentified {
		c.unidentifiedReplies.Add(1)
		reusable = false
	}
	res.Connection, res.ConnectionCalls = connection.number, callsBefore
	if reusable && !connection.carried.full() {
		connection.keepAliveTimeout = res.KeepAliveTimeout
		p.put(connection, time.Now())
		return res
	}
	connection.abort()
	p.releaseSlot()
	return res
}

// connectFailure returns the result of a call for which no connection was available.
func connectFailure(err error) CallResult {
	if errors.Is(err, errConnectionLimit) {
		return CallResult{Outcome: result.OutcomeUnsent, Fault: FaultConnectionLimit}
	}
	return CallResult{Outcome: result.OutcomeUnsent, Fault: FaultUnreachable}
}

// connect reuses an idle connection that has carried no call with the same ids, or
// dials one. A call that is not idempotent
// reuses only a connection that was in use recently: if the connection died
// while idle, the outcome of the call would be unknown.
func (c *Client) connect(ctx context.Context, server Server, call Call, key uint64) (*pool, *conn, error) {
	maxIdle := c.options.IdleTimeout
	if !call.Idempotent {
		maxIdle = c.options.NonIdempotentIdleTimeout
	}
	p := c.pool(server)
	connection, err := p.get(time.Now(), maxIdle, c.limit(server), key)
	for errors.Is(err, errPoolRemoved) {
		p = c.pool(server)
		connection, err = p.get(time.Now(), maxIdle, c.limit(server), key)
	}
	if connection != nil || err != nil {
		return p, connection, err
	}
	connection, err = c.dial(ctx, server)
	if err != nil {
		p.releaseSlot()
	}
	return p, connection, err
}

func (c *Client) dial(ctx context.Context, server Server) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	c.dials.Add(1)
	return dial(ctx, c.options.TLS, server.Address)
}

// exchange sends the call on the connection and reads its reply. reusable is
// false if the connection must be closed.
func (c *Client) exchange(ctx context.Context, server Server, connection *conn, call Call) (res CallResult, reusable bool) {
	before := connection.tcp.writeCount()
	watch := c.watchReadIdle(ctx, server, connection, call)
	defer watch.stop()
	request := c.options.Protocol.Request(server, call)
	request.URL.Scheme = c.scheme
	request.URL.Host = server.Address
	e, err := connection.roundTrip(ctx, request, &c.replyMemory)
	if err != nil {
		return sendFailure(ctx, watch, connection.abort() != before), false
	}
	res, reusable, err = c.options.Protocol.Read(e.response, call)
	reusable = e.finish() && reusable && err == nil
	return c.classify(ctx, watch, res, err), reusable
}

// classify counts invalid replies and determines the fault of an incomplete one.
func (c *Client) classify(ctx context.Context, watch *readIdleWatch, res CallResult, err error) CallResult {
	switch {
	case err != nil && (watch.unresponsive.Load() || ctx.Err() != nil):
		return CallResult{Outcome: result.OutcomeUnknown, Fault: incompleteFault(ctx, watch)}
	case errors.Is(err, errReplyMemory):
		c.repliesOverMemory.Add(1)
		return CallResult{Outcome: result.OutcomeUnknown, Fault: FaultCorruptReply}
	case err != nil:
		c.corruptReplies.Add(1)
		return CallResult{Outcome: result.OutcomeUnknown, Fault: FaultCorruptReply}
	case res.Fault == FaultMisroutedReply:
		c.misroutedReplies.Add(1)
	}
	return res
}

// sendFailure returns the result of a call that received no reply headers. It is
// unsent only if no write to the connection was started.
func sendFailure(ctx context.Context, watch *readIdleWatch, written bool) CallResult {
	fault := incompleteFault(ctx, watch)
	if !written {
		if fault == FaultConnectionLost {
			fault = FaultUnreachable
		}
		return CallResult{Outcome: result.OutcomeUnsent, Fault: fault}
	}
	return CallResult{Outcome: result.OutcomeUnknown, Fault: fault}
}

// incompleteFault returns why a call received no complete reply.
func incompleteFault(ctx context.Context, watch *readIdleWatch) Fault {
	switch {
	case watch.unresponsive.Load():
		return FaultUnresponsive
	case !time.Now().Before(watch.call.Deadline):
		// Compares the time instead of checking ctx: a server that closes the
		// connection at the deadline, before the timer of ctx fires, must not
		// count as crashed.
		return FaultDeadline
	case ctx.Err() != nil:
		return FaultCancelled
	default:
		return FaultConnectionLost
	}
}

// Health fetches the server's load, state and snapshots on a new connection.
func (c *Client) Health(ctx context.Context, server Server) (Health, error) {
	return c.health(ctx, server, nil)
}

func (c *Client) health(ctx context.Context, server Server, call *Call) (Health, error) {
	var health Health
	connection, err := c.dial(ctx, server)
	if err != nil {
		return health, errors.Wrapf(err, "health of %s", server.Name)
	}
	defer connection.abort()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+server.Address+PathHealth, nil)
	if err != nil {
		return health, errors.Wrapf(err, "health of %s", server.Name)
	}
	if call != nil {
		newHeaderWriter(request.Header, callHeaderCount).setIDs(*call)
	}
	e, err := connection.roundTrip(ctx, request, &c.replyMemory)
	if err != nil {
		return health, errors.Wrapf(err, "health of %s", server.Name)
	}
	defer e.finish()
	if e.response.StatusCode != http.StatusOK {
		return health, errors.Errorf("health of %s: status %d", server.Name, e.response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(e.response.Body, maxHealthBytes)).Decode(&health)
	return health, errors.Wrapf(err, "health of %s", server.Name)
}
