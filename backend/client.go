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

// Defaults of Options.
const (
	defaultConnections   = 24
	defaultReplyBytes    = 4 << 20
	defaultDialTimeout   = 500 * time.Millisecond
	defaultSilenceBound  = time.Second
	defaultProbeTimeout  = 500 * time.Millisecond
	defaultIdleFor       = 30 * time.Second
	defaultFreshFor      = 2 * time.Second
	maxHealthBytes       = 1 << 20
	maxReplyHeaderBytes  = 16 << 10
	statusServerFailed   = http.StatusInternalServerError
	statusRefusedNotRun  = http.StatusServiceUnavailable
	discardedRefusalBody = 4 << 10
)

// Options of a Client; zero values read as the defaults.
type Options struct {
	// ConnectionsPerServer bounds this host's connections to each server;
	// default 24.
	ConnectionsPerServer int
	// ConnectionLimit gives the bound for each server in place of ConnectionsPerServer.
	// It is asked at each call and must be cheap; nil: none.
	ConnectionLimit func(Server) int
	// MaxReplyBytes bounds one reply's body; default 4 MiB.
	MaxReplyBytes int64
	// DialTimeout bounds a new connection; default 500 ms.
	DialTimeout time.Duration
	// ReadIdleTimeout is how long a connection with work may bring no bytes
	// before the server is asked, on another one, whether it still runs the
	// call; default 1 s, negative: never.
	ReadIdleTimeout time.Duration
	// ProbeTimeout bounds that question; default 500 ms.
	ProbeTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; default 30 s.
	IdleTimeout time.Duration
	// FreshFor is how recently a connection must have been used to carry a
	// call that is not idempotent; default 2 s.
	FreshFor time.Duration
	// TLS is for servers that speak TLS; nil: plain text.
	TLS *tls.Config
	// Protocol is what the servers speak; nil: the product's own.
	Protocol Protocol
}

func (o Options) withDefaults() Options {
	orDefault(&o.ConnectionsPerServer, defaultConnections)
	orDefault(&o.MaxReplyBytes, defaultReplyBytes)
	orDefault(&o.DialTimeout, defaultDialTimeout)
	orDefault(&o.ReadIdleTimeout, defaultSilenceBound)
	orDefault(&o.ProbeTimeout, defaultProbeTimeout)
	orDefault(&o.IdleTimeout, defaultIdleFor)
	orDefault(&o.FreshFor, defaultFreshFor)
	if o.Protocol == nil {
		o.Protocol = nativeProtocol{maxReplyBytes: o.MaxReplyBytes}
	}
	return o
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Stats counts what the Client did since it was made.
type Stats struct {
	Dials            uint64 // connections opened, probes included
	Probes           uint64 // questions after a silence
	Silent           uint64 // connections dropped as silent
	MisroutedReplies uint64 // replies dropped as another request's
	CorruptReplies   uint64 // replies dropped for their length or digest
}

// Client is the HTTP Runner. It never sends a call twice: each goes out on one
// connection that the Client holds itself, so net/http has no way to retry.
type Client struct {
	options Options
	scheme  string

	mu      sync.Mutex
	pools   map[string]*pool // by the server's address
	sweeper *time.Timer      // of idle connections; nil until the first pool

	dials, probes, silent, crossed, half atomic.Uint64
}

var _ Runner = (*Client)(nil)

// NewClient makes a client without connections.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	scheme := "http"
	if options.TLS != nil {
		scheme = "https"
	}
	return &Client{
		options: options,
		scheme:  scheme,
		pools:   make(map[string]*pool),
	}
}

// Stats returns the counts so far.
func (c *Client) Stats() Stats {
	return Stats{
		Dials:            c.dials.Load(),
		Probes:           c.probes.Load(),
		Silent:           c.silent.Load(),
		MisroutedReplies: c.crossed.Load(),
		CorruptReplies:   c.half.Load(),
	}
}

// Run implements Runner.
func (c *Client) Run(ctx context.Context, server Server, call Call) CallResult {
	if end, ok := ctx.Deadline(); !ok || end.After(call.Deadline) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	p, link, err := c.connect(ctx, server, call)
	if err != nil {
		return unsent(err)
	}
	attempt, reusable := c.exchange(ctx, server, link, call)
	if reusable {
		link.keepFor = attempt.KeepAliveTimeout
		p.put(link, time.Now())
		return attempt
	}
	link.drop()
	p.forget()
	return attempt
}

// unsent classifies a failure to get a connection: no byte of the call left.
func unsent(err error) CallResult {
	if errors.Is(err, errNoConnection) {
		return CallResult{Outcome: result.OutcomeUnsent, Fault: FaultConnectionLimit}
	}
	return CallResult{Outcome: result.OutcomeUnsent, Fault: FaultUnreachable}
}

// connect takes an idle connection or dials one.
//
// A call that is not idempotent takes only a connection that was in use a
// moment ago: on one that went silent while idle it would end as unknown
// though it never ran, and an unknown booking costs a person's time.
func (c *Client) connect(ctx context.Context, server Server, call Call) (*pool, *conn, error) {
	fresh := c.options.IdleTimeout
	if !call.Idempotent {
		fresh = c.options.FreshFor
	}
	p := c.pool(server)
	link, err := p.take(time.Now(), fresh, c.limit(server))
	for errors.Is(err, errRetired) {
		p = c.pool(server)
		link, err = p.take(time.Now(), fresh, c.limit(server))
	}
	if link != nil || err != nil {
		return p, link, err
	}
	link, err = c.dial(ctx, server)
	if err != nil {
		p.forget()
	}
	return p, link, err
}

func (c *Client) dial(ctx context.Context, server Server) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	c.dials.Add(1)
	return dial(ctx, c.options.TLS, server.Address)
}

// exchange sends the call on the connection and reads its reply. reusable is
// false when the connection must be dropped.
func (c *Client) exchange(ctx context.Context, server Server, link *conn, call Call) (attempt CallResult, reusable bool) {
	before := link.wire.mark()
	watch := c.watchSilence(ctx, server, link, call)
	defer watch.stop()
	request := c.options.Protocol.Request(server, call)
	request.URL.Scheme = c.scheme
	request.URL.Host = server.Address
	e, err := link.roundTrip(ctx, request)
	if err != nil {
		return sendFailure(ctx, watch, link.drop() != before), false
	}
	attempt, reusable, err = c.options.Protocol.Read(e.response, call)
	reusable = e.end() && reusable && err == nil
	return c.classify(ctx, watch, attempt, err), reusable
}

// classify counts replies that can't be believed, and says why one that is not
// whole broke off.
func (c *Client) classify(ctx context.Context, watch *silenceWatch, attempt CallResult, err error) CallResult {
	switch {
	case err != nil && (watch.silent.Load() || ctx.Err() != nil):
		return CallResult{Outcome: result.OutcomeUnknown, Fault: brokenFault(ctx, watch)}
	case err != nil:
		c.half.Add(1)
		return CallResult{Outcome: result.OutcomeUnknown, Fault: FaultCorruptReply}
	case attempt.Fault == FaultMisroutedReply:
		c.crossed.Add(1)
	}
	return attempt
}

// sendFailure classifies a call that got no head of a reply. Only the proof
// that no write was begun makes it unsent.
func sendFailure(ctx context.Context, watch *silenceWatch, written bool) CallResult {
	fault := brokenFault(ctx, watch)
	if !written {
		if fault == FaultConnectionLost {
			fault = FaultUnreachable
		}
		return CallResult{Outcome: result.OutcomeUnsent, Fault: fault}
	}
	return CallResult{Outcome: result.OutcomeUnknown, Fault: fault}
}

// brokenFault says why a connection with a call in flight gave no whole reply.
func brokenFault(ctx context.Context, watch *silenceWatch) Fault {
	switch {
	case watch.silent.Load():
		return FaultUnresponsive
	case !time.Now().Before(watch.call.Deadline):
		// Asked of the clock, not of ctx: a server that gives up at the deadline
		// can break the connection before our timer has fired, and must not
		// look like one that died.
		return FaultDeadline
	case ctx.Err() != nil:
		return FaultCancelled
	default:
		return FaultConnectionLost
	}
}

// Health asks the server for its load, state and snapshots, on a connection of
// its own.
func (c *Client) Health(ctx context.Context, server Server) (Health, error) {
	return c.health(ctx, server, nil)
}

func (c *Client) health(ctx context.Context, server Server, asked *Call) (Health, error) {
	var health Health
	link, err := c.dial(ctx, server)
	if err != nil {
		return health, errors.Wrapf(err, "health of %s", server.Name)
	}
	defer link.drop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+server.Address+PathHealth, nil)
	if err != nil {
		return health, errors.Wrapf(err, "health of %s", server.Name)
	}
	if asked != nil {
		newHeaderWriter(request.Header, callHeaders).setEchoes(*asked)
	}
	e, err := link.roundTrip(ctx, request)
	if err != nil {
		return health, errors.Wrapf(err, "health of %s", server.Name)
	}
	defer e.end()
	if e.response.StatusCode != http.StatusOK {
		return health, errors.Errorf("health of %s: status %d", server.Name, e.response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(e.response.Body, maxHealthBytes)).Decode(&health)
	return health, errors.Wrapf(err, "health of %s", server.Name)
}
