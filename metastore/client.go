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

// Defaults of ClientOptions. The platform takes several hundred writes and
// about 2,000 reads a second from the whole fleet. Seven hosts that all run
// into their own limit stay at 1,400 reads and 140 writes; larger fleets reach
// the store through few watchers, and no host comes near its limit.
const (
	defaultTimeout         = 2 * time.Second
	defaultReadsPerSecond  = 200
	defaultWritesPerSecond = 20
	defaultWatchWait       = 2 * time.Second
	// firstReadShare is the part of Timeout that the first try of a read gets.
	firstReadShare  = 4
	firstBackoff    = 20 * time.Millisecond
	maxBackoff      = time.Second
	maxReplyBytes   = 64 << 20
	maxDiscardBytes = 4 << 10
)

// ClientOptions shape a Client; zero values read as the defaults.
type ClientOptions struct {
	// Timeout bounds one call with its retries; default 2 s.
	Timeout time.Duration
	// ReadsPerSecond and WritesPerSecond bound this host's calls; defaults 200
	// and 20. A waiting watch is one read.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// WatchWait is how long one watch call may wait; default 2 s: a watch on a
	// connection that went silent is late by that and Timeout/4, under the 4 s
	// in which configuration has to be in force, for half a read a second.
	WatchWait time.Duration
	// TLS is for a platform that speaks TLS; nil: plain text.
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

// Client is the HTTP client of the platform: Store and HostList.
type Client struct {
	options   ClientOptions
	addresses []string
	scheme    string
	transport *http.Transport
	reads     *rate.Limiter
	writes    *rate.Limiter
	// preferred is the place of the address that answered last.
	preferred atomic.Uint64
}

var (
	_ Store    = (*Client)(nil)
	_ HostList = (*Client)(nil)
)

// NewClient makes a client of the platform at the addresses, IP and port each.
// At least one is needed.
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

// newLimiter allows bursts of one second's worth.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Close drops the idle connections.
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

// ListStale implements Store; this object API knows one kind of list.
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

// Watch implements Store. It asks again, in bounded waits, until something
// changes or ctx ends.
//
// Failure: the connection of a waiting watch goes silent, and the host sits on
// old configuration for as long as it believes that nothing changes. The guard
// holds because each wait is short and its end without a reply is an error,
// which drops the idle connections and asks again on a new one.
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
	err := c.readWithin(ctx, wait, call{method: http.MethodGet, path: PathWatch, query: query, into: &reply})
	return reply, err
}

func (c *Client) read(ctx context.Context, path string, query url.Values, into any) error {
	return c.readWithin(ctx, 0, call{method: http.MethodGet, path: path, query: query, into: into})
}

// readWithin reads within Timeout and the time that the platform is asked to
// wait. The first try gets a part of it only: if its connection went silent,
// there is time left for one on a new connection; if the store is slow, the
// next try has more time than the first.
func (c *Client) readWithin(ctx context.Context, wait time.Duration, call call) error {
	patience := c.options.Timeout / firstReadShare
	return c.retry(ctx, wait+c.options.Timeout, c.reads, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, wait+patience)
		defer cancel()
		patience = c.options.Timeout
		return c.send(ctx, call)
	})
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, errors.Wrapf(ErrTooLarge, "put %s", key)
	}
	query := url.Values{ParamKey: {key}, ParamExpect: {strconv.FormatUint(expect, 10)}}
	var object Object
	err := c.retry(ctx, c.options.Timeout, c.writes, func(ctx context.Context) error {
		return c.send(ctx, call{method: http.MethodPut, path: PathObject, query: query, body: value, write: true, into: &object})
	})
	return object, errors.Wrapf(err, "put %s", key)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	query := url.Values{ParamKey: {key}, ParamExpect: {strconv.FormatUint(expect, 10)}}
	err := c.retry(ctx, c.options.Timeout, c.writes, func(ctx context.Context) error {
		return c.send(ctx, call{method: http.MethodDelete, path: PathObject, query: query, write: true})
	})
	return errors.Wrapf(err, "delete %s", key)
}

// retry runs the call until it succeeds, fails for a reason that another try
// can't mend, or the time is over. ErrAmbiguous is never tried again: a second
// conditional write would meet the first one's effect and report a conflict
// with a write that is the caller's own.
func (c *Client) retry(ctx context.Context, within time.Duration, limit *rate.Limiter, try func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	delays := &backoff.ExponentialBackOff{
		InitialInterval:     firstBackoff,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         maxBackoff,
	}
	delays.Reset()
	for {
		// The limiter refuses at once if the deadline comes before the turn.
		if err := limit.Wait(ctx); err != nil {
			return errors.Wrap(ErrUnavailable, "client's own rate limit or deadline")
		}
		err := try(ctx)
		if err == nil || !errors.Is(err, ErrUnavailable) {
			return err
		}
		if !pause(ctx, delays.NextBackOff()) {
			return err
		}
	}
}

// pause reports whether there is time for another try after the delay.
func pause(ctx context.Context, delay time.Duration) bool {
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= delay {
		return false
	}
	return wait.For(ctx, delay)
}

// call is one request to one address.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	write  bool
	into   any // decoded from the reply; nil: none
}

func (c *Client) send(ctx context.Context, call call) error {
	place := c.preferred.Load()
	err := c.sendTo(ctx, c.addresses[place%uint64(len(c.addresses))], call)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAmbiguous) {
		c.preferred.CompareAndSwap(place, place+1)
		// Whatever silenced one connection may have silenced the idle ones too.
		c.transport.CloseIdleConnections()
	}
	return err
}

// sendTo sends once. net/http sends a write again on its own only if no byte of
// it was written, which it knows by count; it replays only methods that read.
func (c *Client) sendTo(ctx context.Context, address string, call call) error {
	var connected atomic.Bool
	// Without a connection nothing was sent. With one, a write that fails may
	// have been sent: net/http writes from a goroutine of its own, and can
	// report the end of ctx while that goroutine is still about to write.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := url.URL{Scheme: c.scheme, Host: address, Path: call.path, RawQuery: call.query.Encode()}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.method, target.String(), bytes.NewReader(call.body))
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return lost(call.write && connected.Load(), err)
	}
	defer response.Body.Close()
	return receive(call, response)
}

// lost classifies a call without a usable reply. A read can be sent again; a
// write may have taken effect once a byte of it was sent.
func lost(sentWrite bool, cause error) error {
	if sentWrite {
		return errors.Wrap(ErrAmbiguous, cause.Error())
	}
	return errors.Wrap(ErrUnavailable, cause.Error())
}

func receive(call call, response *http.Response) error {
	if response.StatusCode/100 != 2 {
		_, _ = io.CopyN(io.Discard, response.Body, maxDiscardBytes)
		if err, known := statusErrors[response.StatusCode]; known {
			return err
		}
		return lost(call.write, errors.Errorf("status %d", response.StatusCode))
	}
	if call.into == nil {
		return nil
	}
	err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(call.into)
	if err != nil {
		return lost(call.write, err)
	}
	return nil
}
