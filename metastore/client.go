package metastore

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/goldcrestspan/goldcrestspan/internal/wait"
)

// Defaults and limits of a Client. With the default rates a small fleet stays below the
// platform's limits of several hundred writes and about 2,000 reads a second; in a
// large one few hosts call the store.
const (
	defaultTimeout         = 2 * time.Second
	defaultReadsPerSecond  = 200
	defaultWritesPerSecond = 20
	defaultWatchWait       = 2 * time.Second
	// The first attempt of a read gets Timeout/firstAttemptDivisor.
	firstAttemptDivisor = 4
	firstBackoff        = 20 * time.Millisecond
	maxBackoff          = time.Second
	maxReplyBytes       = 64 << 20
	maxDiscardBytes     = 4 << 10
)

// ClientOptions configure a Client; zero values take the defaults.
type ClientOptions struct {
	// Timeout bounds a call including its retries; default 2 s.
	Timeout time.Duration
	// ReadsPerSecond and WritesPerSecond limit this host's calls; defaults 200
	// and 20. A waiting watch counts as one read.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// WatchWait is how long one watch call may wait; default 2 s. A watch on a dead
	// connection delays changes by WatchWait and Timeout/4.
	WatchWait time.Duration
	// TLS is nil for plain text.
	TLS *tls.Config
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = defaultReadsPerSecond
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = defaultWritesPerSecond
	}
	if o.WatchWait == 0 {
		o.WatchWait = defaultWatchWait
	}
	return o
}

// Client is the platform's HTTP client. It implements Store and HostList.
type Client struct {
	options   ClientOptions
	addresses []string
	scheme    string
	transport *http.Transport
	reads     *rate.Limiter
	writes    *rate.Limiter
	// preferredIndex is the index of the address to call, modulo their number.
	preferredIndex atomic.Uint64
}

var (
	_ Store    = (*Client)(nil)
	_ HostList = (*Client)(nil)
)

// NewClient returns a client of the platform at the addresses, IP and port each.
// At least one is required.
func NewClient(addresses []string, options ClientOptions) *Client {
	options = options.withDefaults()
	scheme := "http"
	if options.TLS != nil {
		scheme = "https"
	}
	return &Client{
		options:   options,
		addresses: append([]string(nil), addresses...),
		scheme:    scheme,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: options.Timeout}).DialContext,
			TLSClientConfig:     options.TLS,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		reads:  newLimiter(options.ReadsPerSecond),
		writes: newLimiter(options.WritesPerSecond),
	}
}

// newLimiter returns a limiter with a burst of one second's calls.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.read(ctx, PathObject, url.Values{ParamKey: {key}}, &object)
	return object, errors.Wrapf(err, "get %s", key)
}

// ListStale implements Store. The object API has no stale reads.
func (c *Client) ListStale(ctx context.Context, prefix string) ([]Object, Revision, error) {
	return c.List(ctx, prefix)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, Revision, error) {
	var reply WatchReply
	err := c.read(ctx, PathList, url.Values{ParamPrefix: {prefix}}, &reply)
	return reply.Objects, reply.Revision, errors.Wrapf(err, "list %s", prefix)
}

// Hosts implements HostList.
func (c *Client) Hosts(ctx context.Context, kind HostKind) ([]ListedHost, error) {
	var hosts []ListedHost
	err := c.read(ctx, PathHosts, url.Values{ParamKind: {string(kind)}}, &hosts)
	return hosts, errors.Wrap(err, "host list")
}

// Watch implements Store by repeated watch calls of at most WatchWait each, so that a
// dead connection is detected and replaced.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision) ([]Object, Revision, error) {
	for {
		reply, err := c.watchOnce(ctx, prefix, after)
		if err != nil {
			return nil, after, errors.Wrapf(err, "watch %s", prefix)
		}
		after = max(after, reply.Revision)
		if len(reply.Objects) > 0 {
			return reply.Objects, after, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, after, err
		}
	}
}

func (c *Client) watchOnce(ctx context.Context, prefix string, after Revision) (WatchReply, error) {
	wait := c.options.WatchWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	query := url.Values{
		ParamPrefix: {prefix},
		ParamAfter:  {strconv.FormatUint(uint64(after), 10)},
		ParamWait:   {wait.String()},
	}
	var reply WatchReply
	err := c.readWithWait(ctx, wait, operation{method: http.MethodGet, path: PathWatch, query: query, result: &reply})
	return reply, err
}

func (c *Client) read(ctx context.Context, path string, query url.Values, result any) error {
	return c.readWithWait(ctx, 0, operation{method: http.MethodGet, path: path, query: query, result: result})
}

// readWithWait reads within Timeout plus the time that the platform is asked to wait.
// The first attempt gets only a part of Timeout, which leaves time for another one on a
// new connection if the first one is dead.
func (c *Client) readWithWait(ctx context.Context, wait time.Duration, op operation) error {
	timeout := c.options.Timeout / firstAttemptDivisor
	return c.retry(ctx, wait+c.options.Timeout, c.reads, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, wait+timeout)
		defer cancel()
		timeout = c.options.Timeout
		return c.send(ctx, op)
	})
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expectedVersion uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, errors.Wrapf(ErrTooLarge, "put %s", key)
	}
	query := url.Values{ParamKey: {key}, ParamExpect: {strconv.FormatUint(expectedVersion, 10)}}
	var object Object
	err := c.retry(ctx, c.options.Timeout, c.writes, func(ctx context.Context) error {
		return c.send(ctx, operation{method: http.MethodPut, path: PathObject, query: query, body: value, write: true, result: &object})
	})
	return object, errors.Wrapf(err, "put %s", key)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expectedVersion uint64) error {
	query := url.Values{ParamKey: {key}, ParamExpect: {strconv.FormatUint(expectedVersion, 10)}}
	err := c.retry(ctx, c.options.Timeout, c.writes, func(ctx context.Context) error {
		return c.send(ctx, operation{method: http.MethodDelete, path: PathObject, query: query, write: true})
	})
	return errors.Wrapf(err, "delete %s", key)
}

// retry repeats the call while it fails with ErrUnavailable and time remains.
// ErrAmbiguous is not retried: a second conditional write could report a conflict with
// the caller's own first write.
func (c *Client) retry(ctx context.Context, timeout time.Duration, limiter *rate.Limiter, attempt func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	delays := &backoff.ExponentialBackOff{
		InitialInterval:     firstBackoff,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         maxBackoff,
	}
	delays.Reset()
	for {
		// The limiter fails at once if the deadline is before the next free slot.
		if err := limiter.Wait(ctx); err != nil {
			return errors.Wrap(ErrUnavailable, "client-side rate limit or deadline")
		}
		err := attempt(ctx)
		if err == nil || !errors.Is(err, ErrUnavailable) {
			return err
		}
		if !waitForRetry(ctx, delays.NextBackOff()) {
			return err
		}
	}
}

// waitForRetry waits for the delay and reports whether there is time for another attempt.
func waitForRetry(ctx context.Context, delay time.Duration) bool {
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= delay {
		return false
	}
	return wait.For(ctx, delay)
}

// operation is a request to the platform.
type operation struct {
	method string
	path   string
	query  url.Values
	body   []byte
	write  bool
	result any // destination of the decoded reply; nil: none
}

func (c *Client) send(ctx context.Context, op operation) error {
	index := c.preferredIndex.Load()
	err := c.sendTo(ctx, c.addresses[index%uint64(len(c.addresses))], op)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAmbiguous) {
		c.preferredIndex.CompareAndSwap(index, index+1)
		// The idle connections may be dead for the same reason.
		c.transport.CloseIdleConnections()
	}
	return err
}

// sendTo sends the request once. net/http itself repeats a write only if none of it was
// sent.
func (c *Client) sendTo(ctx context.Context, address string, op operation) error {
	var connected atomic.Bool
	// Once there is a connection a failed write may have been sent: net/http writes in
	// its own goroutine, and can return at the end of ctx before that goroutine writes.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := url.URL{Scheme: c.scheme, Host: address, Path: op.path, RawQuery: op.query.Encode()}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), op.method, target.String(), bytes.NewReader(op.body))
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return replyError(op.write && connected.Load(), err)
	}
	defer response.Body.Close()
	return decodeReply(op, response)
}

// replyError classifies a call without a usable reply: ErrAmbiguous for a write that may
// have been sent, ErrUnavailable otherwise.
func replyError(sentWrite bool, cause error) error {
	if sentWrite {
		return errors.Wrap(ErrAmbiguous, cause.Error())
	}
	return errors.Wrap(ErrUnavailable, cause.Error())
}

// decodeReply decodes the reply or maps its status to an error.
func decodeReply(op operation, response *http.Response) error {
	if response.StatusCode/100 != 2 {
		_, _ = io.CopyN(io.Discard, response.Body, maxDiscardBytes)
		if err, known := statusErrors[response.StatusCode]; known {
			return err
		}
		return replyError(op.write, errors.Errorf("status %d", response.StatusCode))
	}
	if op.result == nil {
		return nil
	}
	err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(op.result)
	if err != nil {
		return replyError(op.write, err)
	}
	return nil
}
