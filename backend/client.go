package backend

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
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
	// Limit gives the bound for each server in place of ConnectionsPerServer.
	// It is asked at each call and must be cheap; nil: none.
	Limit func(Server) int
	// MaxReplyBytes bounds one reply's body; default 4 MiB.
	MaxReplyBytes int64
	// DialTimeout bounds a new connection; default 500 ms.
	DialTimeout time.Duration
	// SilenceBound is how long a connection with work may bring no bytes
	// before the server is asked, on another one, whether it still runs the
	// call; default 1 s.
	SilenceBound time.Duration
	// ProbeTimeout bounds that question; default 500 ms.
	ProbeTimeout time.Duration
	// IdleFor is how long an idle connection is kept; default 30 s.
	IdleFor time.Duration
	// FreshFor is how recently a connection must have been used to carry a
	// call that is not idempotent; default 2 s.
	FreshFor time.Duration
	// TLS is for servers that speak TLS; nil: plain text.
	TLS *tls.Config
}

func (o Options) withDefaults() Options {
	orDefault(&o.ConnectionsPerServer, defaultConnections)
	orDefault(&o.MaxReplyBytes, defaultReplyBytes)
	orDefault(&o.DialTimeout, defaultDialTimeout)
	orDefault(&o.SilenceBound, defaultSilenceBound)
	orDefault(&o.ProbeTimeout, defaultProbeTimeout)
	orDefault(&o.IdleFor, defaultIdleFor)
	orDefault(&o.FreshFor, defaultFreshFor)
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
	Dials       uint64 // connections opened, probes included
	Probes      uint64 // questions after a silence
	Silent      uint64 // connections dropped as silent
	Crossed     uint64 // replies dropped as another request's
	HalfReplies uint64 // replies dropped for their length or digest
}

// Client is the HTTP Runner. It never sends a call twice: each goes out on one
// connection that the Client holds itself, so net/http has no way to retry.
type Client struct {
	options   Options
	scheme    string
	transport *http.Transport

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
		transport: &http.Transport{
			DialContext:            dialWire,
			TLSClientConfig:        options.TLS,
			TLSHandshakeTimeout:    options.DialTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxReplyHeaderBytes,
		},
		pools: make(map[string]*pool),
	}
}

// Stats returns the counts so far.
func (c *Client) Stats() Stats {
	return Stats{
		Dials:       c.dials.Load(),
		Probes:      c.probes.Load(),
		Silent:      c.silent.Load(),
		Crossed:     c.crossed.Load(),
		HalfReplies: c.half.Load(),
	}
}

// Run implements Runner.
func (c *Client) Run(ctx context.Context, server Server, call Call) Attempt {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	p, link, err := c.connect(ctx, server, call)
	if err != nil {
		return unsent(err)
	}
	attempt, reusable := c.exchange(ctx, server, link, call)
	if reusable && link.http.Err() == nil {
		p.put(link, time.Now())
		return attempt
	}
	link.drop()
	p.forget()
	return attempt
}

// unsent classifies a failure to get a connection: no byte of the call left.
func unsent(err error) Attempt {
	if errors.Is(err, errNoConnection) {
		return Attempt{Outcome: result.OutcomeUnsent, Fault: FaultConnectionLimit}
	}
	return Attempt{Outcome: result.OutcomeUnsent, Fault: FaultUnreachable}
}

// connect takes an idle connection or dials one.
//
// A call that is not idempotent takes only a connection that was in use a
// moment ago: on one that went silent while idle it would end as unknown
// though it never ran, and an unknown booking costs a person's time.
func (c *Client) connect(ctx context.Context, server Server, call Call) (*pool, *conn, error) {
	fresh := c.options.IdleFor
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
	return dial(ctx, c.transport, c.scheme, server.Address)
}

// exchange sends the call on the connection and reads its reply. reusable is
// false when the connection must be dropped.
func (c *Client) exchange(ctx context.Context, server Server, link *conn, call Call) (attempt Attempt, reusable bool) {
	before := link.wire.mark()
	watch := c.watchSilence(ctx, server, link, call)
	defer watch.stop()
	response, err := link.http.RoundTrip(c.request(ctx, server, call))
	if err != nil {
		return sendFailure(ctx, watch, link.drop() != before), false
	}
	defer response.Body.Close()
	return c.read(ctx, watch, response, call)
}

// sendFailure classifies a call that got no head of a reply. Only the proof
// that no write was begun makes it unsent.
func sendFailure(ctx context.Context, watch *silenceWatch, written bool) Attempt {
	fault := brokenFault(ctx, watch)
	if !written {
		if fault == FaultBroken {
			fault = FaultUnreachable
		}
		return Attempt{Outcome: result.OutcomeUnsent, Fault: fault}
	}
	return Attempt{Outcome: result.OutcomeUnknown, Fault: fault}
}

// brokenFault says why a connection with a call in flight gave no whole reply.
func brokenFault(ctx context.Context, watch *silenceWatch) Fault {
	switch {
	case watch.silent.Load():
		return FaultSilent
	case !time.Now().Before(watch.call.Deadline):
		// Asked of the clock, not of ctx: a server that gives up at the deadline
		// can break the connection before our timer has fired, and must not
		// look like one that died.
		return FaultDeadline
	case ctx.Err() != nil:
		return FaultCancelled
	default:
		return FaultBroken
	}
}

func (c *Client) request(ctx context.Context, server Server, call Call) *http.Request {
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: c.scheme, Host: server.Address, Path: PathRun},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        make(http.Header, callHeaders),
		Body:          io.NopCloser(bytes.NewReader(call.Body)),
		ContentLength: int64(len(call.Body)),
		Host:          server.Address,
	}
	if len(call.Body) == 0 {
		request.Body = http.NoBody
	}
	SetCallHeaders(request.Header, call, time.Until(call.Deadline))
	return request.WithContext(ctx)
}

// read checks a reply from its head to its last byte.
func (c *Client) read(ctx context.Context, watch *silenceWatch, response *http.Response, call Call) (Attempt, bool) {
	if !echoed(response.Header, call) {
		c.crossed.Add(1)
		return Attempt{Outcome: result.OutcomeUnknown, Fault: FaultCrossed}, false
	}
	switch response.StatusCode {
	case http.StatusOK:
		return c.readAnswer(ctx, watch, response, call)
	case statusRefusedNotRun:
		return readRefusal(response)
	case statusServerFailed:
		return Attempt{Outcome: result.OutcomeRan, Fault: FaultServer, Reply: replyHead(response)}, discard(response)
	default:
		return Attempt{Outcome: result.OutcomeUnknown, Fault: FaultBroken}, false
	}
}

// readRefusal believes a 503 only with the server's explicit word. A bare 503
// may come from something between the two ends after the work was passed on.
func readRefusal(response *http.Response) (Attempt, bool) {
	reason := NotRunReason(response.Header.Get(HeaderNotRun))
	fault, known := notRunFaults[reason]
	if !known {
		return Attempt{Outcome: result.OutcomeUnknown, Fault: FaultBroken}, false
	}
	wait, _ := strconv.ParseInt(response.Header.Get(HeaderRetryAfterNs), 10, 64)
	return Attempt{
		Outcome:    result.OutcomeRefused,
		Fault:      fault,
		Reply:      replyHead(response),
		RetryAfter: max(0, time.Duration(wait)),
	}, discard(response)
}

// discard reads a short body, which frees the connection for the next call.
func discard(response *http.Response) bool {
	_, err := io.CopyN(io.Discard, response.Body, discardedRefusalBody)
	return errors.Is(err, io.EOF)
}

func replyHead(response *http.Response) Reply {
	incarnation, _ := strconv.ParseUint(response.Header.Get(HeaderIncarnation), 10, 64)
	return Reply{
		Load:        readLoad(response.Header),
		Incarnation: incarnation,
		Held:        readVersions(response.Header.Get(HeaderHeld)),
	}
}

// readAnswer takes a body only if its length, its digest and its snapshot are
// the ones announced and asked for: a connection that breaks half-way would
// otherwise pass off half an answer as a whole one.
func (c *Client) readAnswer(ctx context.Context, watch *silenceWatch, response *http.Response, call Call) (Attempt, bool) {
	body, err := readWhole(response, c.options.MaxReplyBytes)
	if err != nil && (watch.silent.Load() || ctx.Err() != nil) {
		return Attempt{Outcome: result.OutcomeUnknown, Fault: brokenFault(ctx, watch)}, false
	}
	if err != nil || response.Header.Get(HeaderDigest) != Digest(body) {
		c.half.Add(1)
		return Attempt{Outcome: result.OutcomeUnknown, Fault: FaultHalfReply}, false
	}
	reply := replyHead(response)
	reply.Body = body
	answered, err := strconv.ParseUint(response.Header.Get(HeaderSnapshot), 10, 64)
	if err != nil || answered != uint64(call.Snapshot) {
		return Attempt{Outcome: result.OutcomeRan, Fault: FaultSnapshotMismatch, Reply: Reply{Load: reply.Load, Incarnation: reply.Incarnation}}, true
	}
	reply.Snapshot = call.Snapshot
	return Attempt{Outcome: result.OutcomeRan, Fault: FaultNone, Reply: reply}, true
}

// readWhole reads a body of the announced length, and its end, which frees the
// connection for the next call.
func readWhole(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength < 0 || response.ContentLength > limit {
		return nil, errors.Errorf("length %d is unknown or over the limit", response.ContentLength)
	}
	body := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return nil, err
	}
	var end [1]byte
	if _, err := response.Body.Read(end[:]); err != io.EOF {
		return nil, errors.New("the body is longer than announced")
	}
	return body, nil
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
	response, err := link.http.RoundTrip(request)
	if err != nil {
		return health, errors.Wrapf(err, "health of %s", server.Name)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return health, errors.Errorf("health of %s: status %d", server.Name, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxHealthBytes)).Decode(&health)
	return health, errors.Wrapf(err, "health of %s", server.Name)
}
