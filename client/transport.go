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
	maxIdleConnsPerHost = 32
	idleConnTimeout     = 30 * time.Second
	maxReplyBytes       = 64 << 20
)

// unsentError is a failure before any byte of the request was written, so that
// the request did not run.
type unsentError struct{ cause error }

func (e *unsentError) Error() string { return "client: request not sent: " + e.cause.Error() }
func (e *unsentError) Unwrap() error { return e.cause }

// outgoingRequest is one attempt of a request.
type outgoingRequest struct {
	path   string
	body   []byte
	resent bool
}

type httpReply struct {
	status int
	body   []byte
}

func (r httpReply) decode(wantStatus int, into any) error {
	if r.status != wantStatus {
		answer := &Answer{}
		if json.Unmarshal(r.body, answer) == nil && answer.Code != 0 {
			return resultError(answer)
		}
		return errors.Errorf("client: unexpected HTTP status %d", r.status)
	}
	return errors.Wrap(json.Unmarshal(r.body, into), "client: decode the reply")
}

// sendToHost sends a request to one host, if possible one that was not tried.
func (c *Client) sendToHost(ctx context.Context, outgoing outgoingRequest, tried map[string]bool) (httpReply, error) {
	if c.hosts.startRefresh(c.options.Now()) {
		c.refreshAdvice(ctx)
	}
	address := c.hosts.pick(c.options.Now(), tried)
	tried[address] = true
	request, err := c.newRequest(ctx, http.MethodPost, address, outgoing.path, outgoing.body)
	if err != nil {
		return httpReply{}, &unsentError{err}
	}
	if outgoing.resent {
		request.Header.Set(front.HeaderResent, "true")
	}
	reply, err := c.send(request)
	if err != nil {
		c.hosts.markUnavailable(address, c.options.Now())
	}
	if reply.status == http.StatusServiceUnavailable {
		c.hosts.markUnavailable(address, c.options.Now())
	}
	return reply, err
}

func (c *Client) newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	scheme := "http://"
	if c.options.TLS != nil {
		scheme = "https://"
	}
	// MultiReader hides the body's type: net/http must not resend the body by
	// itself on another connection.
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

// send does one HTTP exchange and accepts only a complete, intact reply.
func (c *Client) send(request *http.Request) (httpReply, error) {
	// Once there is a connection, net/http may write the request at any time,
	// even after Do has returned. Without one the request is certainly unsent.
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
		return httpReply{}, errors.Wrap(err, "client: read the reply")
	}
	digest := response.Header.Get(front.HeaderDigest)
	if digest != strconv.FormatUint(xxhash.Sum64(body), 16) {
		return httpReply{}, errors.New("client: the reply does not match its digest")
	}
	return httpReply{status: response.StatusCode, body: body}, nil
}
