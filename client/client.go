// Package client is the Go library for callers. It discovers the entry hosts to
// use, balances requests over them, and retries only requests that did not run
// or that are idempotent.
//
//	c, err := client.New(client.Options{Seeds: []string{"127.0.0.1:7000"}, Token: token})
//	answer, err := c.Query(ctx, "slots", client.Query{Body: []byte(`{"day":"monday"}`)})
//	if err == nil && !answer.Coverage.Complete {
//		// a partial answer: answer.Missing lists the missing shards
//	}
package client

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/front"
	"github.com/goldcrestspan/goldcrestspan/internal/wait"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// Options configure a Client.
type Options struct {
	// Seeds are the caller listeners of some entry hosts, IP and port.
	Seeds []string
	// Token is the caller's bearer token; leave it empty with a client certificate.
	Token string
	// Zone is the caller's availability zone; entry hosts there are preferred. Optional.
	Zone string
	// TLS enables https; nil uses plain http.
	TLS *tls.Config
	// RetryBudget limits retries to this fraction of the requests; default 0.1.
	RetryBudget float64
	// MaxTries limits how often one request is sent; default 3.
	MaxTries int
	// Now returns the current time; default time.Now.
	Now func() time.Time
}

const (
	defaultRetryBudget = 0.1
	defaultMaxTries    = 3
	// minRetryTime is the time that must be left before the deadline for a retry.
	minRetryTime = 5 * time.Millisecond
)

// Query is one search.
type Query struct {
	// Class is one of the route's classes; empty selects the first.
	Class string
	// Body is JSON, passed to the backend servers unchanged.
	Body []byte
	// Detail requests the list of missing shards with reasons.
	Detail bool
}

// Booking is one booking.
type Booking struct {
	// Body is JSON, passed to the backend server unchanged.
	Body []byte
	// Resent must be set if the booking was sent before with this ticket.
	Resent bool
}

// Answer is the reply to a query or booking.
type Answer = front.Reply

// Client sends requests. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	hosts   *hostPool
	budget  *budget
}

// New creates a client. It connects when the first request is sent.
func New(options Options) (*Client, error) {
	if len(options.Seeds) == 0 {
		return nil, errors.New("client: Options.Seeds is empty: set the caller listener of at least one entry host")
	}
	if options.RetryBudget == 0 {
		options.RetryBudget = defaultRetryBudget
	}
	if options.MaxTries == 0 {
		options.MaxTries = defaultMaxTries
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	transport := &http.Transport{
		TLSClientConfig:     options.TLS,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{
		options: options,
		http:    &http.Client{Transport: transport},
		hosts:   newHostPool(options.Seeds),
		budget:  newBudget(options.RetryBudget),
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Query runs a search. The context must have a deadline. A refused or failed
// search returns *result.Error; any other error means that the arguments are invalid
// or that no valid reply was received.
func (c *Client) Query(ctx context.Context, route string, q Query) (*Answer, error) {
	remaining, err := c.remainingTime(ctx)
	if err != nil {
		return nil, err
	}
	message := front.QueryRequest{Class: q.Class, Body: q.Body, Detail: q.Detail}
	return c.sendWithRetries(ctx, "/v1/query/"+route, true, func(bool) any {
		message.DeadlineMS = max(remaining().Milliseconds(), 1)
		return message
	})
}

// Ticket requests a ticket. A booking runs at most once per ticket, however
// often it is sent. Ticket requests are retried after any failure, since an
// unused ticket has no effect.
func (c *Client) Ticket(ctx context.Context, route string) (string, error) {
	c.budget.earn()
	tried := make(map[string]bool)
	for attempt := 1; ; attempt++ {
		ticket, err := c.requestTicket(ctx, route, tried)
		delay, shouldRetry := c.shouldRetry(err, true)
		if !shouldRetry || attempt >= c.options.MaxTries || !c.timeAllows(ctx, delay) || !c.budget.spend() {
			return ticket, err
		}
		wait.For(ctx, delay)
	}
}

func (c *Client) requestTicket(ctx context.Context, route string, tried map[string]bool) (string, error) {
	reply, err := c.sendToHost(ctx, outgoingRequest{path: "/v1/tickets/" + route}, tried)
	if err != nil {
		return "", err
	}
	var ticket front.TicketReply
	if err := reply.decode(http.StatusOK, &ticket); err != nil {
		return "", err
	}
	return ticket.Ticket, nil
}

// Book runs a booking with a ticket. After any error it may be called again with
// the same ticket and Resent set: the booking never runs twice, and the call
// returns the outcome of the first run.
func (c *Client) Book(ctx context.Context, route, ticket string, b Booking) (*Answer, error) {
	remaining, err := c.remainingTime(ctx)
	if err != nil {
		return nil, err
	}
	return c.sendWithRetries(ctx, "/v1/bookings/"+route, false, func(resent bool) any {
		return front.BookingRequest{
			Ticket:     ticket,
			Body:       b.Body,
			DeadlineMS: max(remaining().Milliseconds(), 1),
			Resent:     resent || b.Resent,
		}
	})
}

// remainingTime returns a function that computes the time left until ctx's deadline.
func (c *Client) remainingTime(ctx context.Context) (func() time.Duration, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("client: the context has no deadline: use context.WithTimeout")
	}
	return func() time.Duration { return deadline.Sub(c.options.Now()) }, nil
}

// sendWithRetries sends a request until it succeeds or may not be retried.
func (c *Client) sendWithRetries(ctx context.Context, path string, idempotent bool, message func(resent bool) any) (*Answer, error) {
	c.budget.earn()
	tried := make(map[string]bool)
	for attempt := 1; ; attempt++ {
		body, err := json.Marshal(message(attempt > 1))
		if err != nil {
			return nil, errors.Wrap(err, "client: the body is not valid JSON")
		}
		answer, err := c.sendOnce(ctx, outgoingRequest{path: path, body: body, resent: attempt > 1}, tried)
		delay, shouldRetry := c.shouldRetry(err, idempotent)
		if !shouldRetry || attempt >= c.options.MaxTries || !c.timeAllows(ctx, delay) || !c.budget.spend() {
			return answer, err
		}
		wait.For(ctx, delay)
	}
}

func (c *Client) sendOnce(ctx context.Context, request outgoingRequest, tried map[string]bool) (*Answer, error) {
	reply, err := c.sendToHost(ctx, request, tried)
	if err != nil {
		return nil, err
	}
	answer := &Answer{}
	if err := reply.decode(reply.status, answer); err != nil {
		return nil, err
	}
	switch answer.Code.Group() {
	case result.GroupComplete, result.GroupPartial:
		return answer, nil
	default:
		return answer, resultError(answer)
	}
}

func resultError(answer *Answer) *result.Error {
	return &result.Error{
		Code:       answer.Code,
		Detail:     answer.Detail,
		RetryAfter: time.Duration(answer.RetryAfterMS) * time.Millisecond,
		Hosts:      answer.Hosts,
	}
}

// NoReply is the ResultName of a request that received no reply.
const NoReply = "no_reply"

// ResultName returns the name of a request's result code, or NoReply.
func ResultName(answer *Answer, err error) string {
	var resultErr *result.Error
	switch {
	case err == nil:
		return answer.Name
	case errors.As(err, &resultErr):
		return resultErr.Code.String()
	default:
		return NoReply
	}
}

// shouldRetry reports whether a request may be retried, and after which delay.
// Only a request that did not run or that is idempotent is retried.
func (c *Client) shouldRetry(err error, idempotent bool) (time.Duration, bool) {
	if err == nil {
		return 0, false
	}
	var resultErr *result.Error
	if !errors.As(err, &resultErr) {
		var unsent *unsentError
		return 0, idempotent || errors.As(err, &unsent)
	}
	switch resultErr.Code.Info().Resend {
	case result.ResendElsewhere:
		return 0, true
	case result.ResendLater:
		return resultErr.RetryAfter, true
	case result.ResendIdempotent:
		return resultErr.RetryAfter, idempotent && resultErr.Code != result.DeadlineExceeded
	default:
		return 0, false
	}
}

// timeAllows reports whether a retry after the delay can finish by the deadline.
func (c *Client) timeAllows(ctx context.Context, delay time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || deadline.Sub(c.options.Now()) > delay+minRetryTime
}
