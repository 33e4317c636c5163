package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/front"
)

const (
	maxIdlePerHost = 32
	idleTimeout    = 30 * time.Second
	// maxReplyBytes bounds what a reply may cost the caller's memory.
	maxReplyBytes = 64 << 20
)

// unsentError is a failure before any byte of the request was written: it ran
// nowhere.
type unsentError struct{ cause error }

func (e *unsentError) Error() string { return "client: not sent: " + e.cause.Error() }
func (e *unsentError) Unwrap() error { return e.cause }

// sending is one sending of a request.
type sending struct {
	path   string
	body   []byte
	resent bool
}

type httpReply struct {
	status int
	body   []byte
}

func (r httpReply) decode(want int, into any) error {
	if r.status != want {
		answer := &Answer{}
		if json.Unmarshal(r.body, answer) == nil && answer.Code != 0 {
			return errorOf(answer)
		}
		return errors.Errorf("client: HTTP status %d", r.status)
	}
	return errors.Wrap(json.Unmarshal(r.body, into), "client: the reply is not JSON")
}

// try sends a request to one host that was not tried yet.
func (c *Client) try(ctx context.Context, s sending, tried map[string]bool) (httpReply, error) {
	if c.hosts.stale(c.options.Now()) {
		c.refresh(ctx)
	}
	address := c.hosts.pick(c.options.Now(), tried)
	tried[address] = true
	request, err := c.newRequest(ctx, http.MethodPost, address, s.path, s.body)
	if err != nil {
		return httpReply{}, &unsentError{err}
	}
	if s.resent {
		request.Header.Set(front.HeaderResent, "true")
	}
	reply, err := c.send(request)
	if err != nil {
		c.hosts.pass(address, c.options.Now())
	}
	if reply.status == http.StatusServiceUnavailable {
		c.hosts.pass(address, c.options.Now())
	}
	return reply, err
}

func (c *Client) newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	scheme := "http://"
	if c.options.TLS != nil {
		scheme = "https://"
	}
	// The reader hides its type from net/http, which could otherwise send the
	// body again by itself on another connection.
	var reader io.Reader
	if body != nil {
		reader = io.MultiReader(bytes.NewReader(body))
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+address+path, reader)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	return request, nil
}

// send does one HTTP exchange and believes only a whole reply.
func (c *Client) send(request *http.Request) (httpReply, error) {
	// Once there is a connection, some of the request may leave at any moment,
	// also after Do has returned; only without one is it surely unsent.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := c.http.Do(request)
	if err != nil {
		if !connected.Load() {
			return httpReply{}, &unsentError{err}
		}
		return httpReply{}, errors.Wrap(err, "client")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return httpReply{}, errors.Wrap(err, "client: half a reply")
	}
	want := response.Header.Get(front.HeaderDigest)
	if want != strconv.FormatUint(xxhash.Sum64(body), 16) {
		return httpReply{}, errors.New("client: the reply does not match its digest")
	}
	return httpReply{status: response.StatusCode, body: body}, nil
}
