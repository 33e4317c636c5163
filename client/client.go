// Package client is the Go library for callers: it asks the system which entry
// hosts to use, keeps that answer for its time, spreads requests over them,
// and sends again only what surely did not run.
//
//	c, err := client.New(client.Options{Seeds: []string{"127.0.0.1:7000"}, Token: token})
//	answer, err := c.Query(ctx, "slots", client.Query{Body: []byte(`{"day":"monday"}`)})
//	if err == nil && !answer.Coverage.Complete {
//		// a true partial answer: answer.Missing names the shards
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

// Options say where to start and who the caller is.
type Options struct {
	// Seeds are callers' listeners of some entry hosts, IP and port.
	Seeds []string
	// Token is the caller's bearer token; empty with a client certificate.
	Token string
	// Zone is the caller's own availability zone, to be served nearby; optional.
	Zone string
	// TLS is for https; nil speaks plain text.
	TLS *tls.Config
	// RetryBudget is the share of requests that may be sent again; default 0.1.
	RetryBudget float64
	// MaxTries bounds the sendings of one request; default 3.
	MaxTries int
	// Now is for tests; default time.Now.
	Now func() time.Time
}

const (
	defaultRetryBudget = 0.1
	defaultMaxTries    = 3
	// lastWait is the shortest time left in which another try makes sense.
	lastWait = 5 * time.Millisecond
)

// Query is one search.
type Query struct {
	// Class is one of the route's; empty takes the route's first.
	Class string
	// Body is JSON, passed to the backend servers as it is.
	Body []byte
	// Detail asks for the list of missing shards with reasons.
	Detail bool
}

// Booking is one booking.
type Booking struct {
	// Body is JSON, passed to the backend server as it is.
	Body []byte
	// Resent: the booking was sent before under this ticket.
	Resent bool
}

// Answer is the reply to a query or booking; see the fields' comments in front.
type Answer = front.Reply

// Client sends requests. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	hosts   *hosts
	budget  *budget
}

// New makes a client; it connects with the first request.
func New(options Options) (*Client, error) {
	if len(options.Seeds) == 0 {
		return nil, errors.New("client: Seeds is empty: name the callers' listener of at least one entry host")
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
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		options: options,
		http:    &http.Client{Transport: transport},
		hosts:   newHosts(options.Seeds),
		budget:  newBudget(options.RetryBudget),
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Query runs a search by ctx's deadline, which it must have. A reply without an
// answer comes as *result.Error; any other error means that no reply was had.
func (c *Client) Query(ctx context.Context, route string, q Query) (*Answer, error) {
	left, err := c.timeLeft(ctx)
	if err != nil {
		return nil, err
	}
	m := front.QueryRequest{Class: q.Class, Body: q.Body, Detail: q.Detail}
	return c.do(ctx, "/v1/query/"+route, true, func(bool) any {
		m.DeadlineMS = max(left().Milliseconds(), 1)
		return m
	})
}

// Ticket asks for a ticket, with which a booking runs at most once however
// often it is sent.
//
// It asks another host after any failure: a ticket that nobody uses costs
// nothing, so asking twice does no harm.
func (c *Client) Ticket(ctx context.Context, route string) (string, error) {
	c.budget.deposit()
	tried := make(map[string]bool)
	for attempt := 1; ; attempt++ {
		ticket, err := c.ticketOnce(ctx, route, tried)
		after, again := c.again(err, true)
		if !again || attempt >= c.options.MaxTries || !c.mayWait(ctx, after) || !c.budget.withdraw() {
			return ticket, err
		}
		wait.For(ctx, after)
	}
}

func (c *Client) ticketOnce(ctx context.Context, route string, tried map[string]bool) (string, error) {
	reply, err := c.try(ctx, sending{path: "/v1/tickets/" + route}, tried)
	if err != nil {
		return "", err
	}
	var ticket front.TicketReply
	if err := reply.decode(http.StatusOK, &ticket); err != nil {
		return "", err
	}
	return ticket.Ticket, nil
}

// Book runs a booking under a ticket. The same ticket may be sent again after
// any error: it never runs twice, and a repeat gets the first one's outcome. A
// repeat sets Resent, so that no host calls it "not run" without knowing.
func (c *Client) Book(ctx context.Context, route, ticket string, b Booking) (*Answer, error) {
	left, err := c.timeLeft(ctx)
	if err != nil {
		return nil, err
	}
	return c.do(ctx, "/v1/bookings/"+route, false, func(resent bool) any {
		return front.BookingRequest{
			Ticket:     ticket,
			Body:       b.Body,
			DeadlineMS: max(left().Milliseconds(), 1),
			Resent:     resent || b.Resent,
		}
	})
}

func (c *Client) timeLeft(ctx context.Context) (func() time.Duration, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("client: ctx has no deadline: use context.WithTimeout")
	}
	return func() time.Duration { return deadline.Sub(c.options.Now()) }, nil
}

// do sends a request until it has a reply that is not worth another try.
func (c *Client) do(ctx context.Context, path string, idempotent bool, message func(resent bool) any) (*Answer, error) {
	c.budget.deposit()
	tried := make(map[string]bool)
	for attempt := 1; ; attempt++ {
		body, err := json.Marshal(message(attempt > 1))
		if err != nil {
			return nil, errors.Wrap(err, "client: body is not JSON")
		}
		answer, err := c.once(ctx, sending{path: path, body: body, resent: attempt > 1}, tried)
		after, again := c.again(err, idempotent)
		if !again || attempt >= c.options.MaxTries || !c.mayWait(ctx, after) || !c.budget.withdraw() {
			return answer, err
		}
		wait.For(ctx, after)
	}
}

func (c *Client) once(ctx context.Context, s sending, tried map[string]bool) (*Answer, error) {
	reply, err := c.try(ctx, s, tried)
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
		return answer, errorOf(answer)
	}
}

func errorOf(a *Answer) *result.Error {
	return &result.Error{
		Code:       a.Code,
		Detail:     a.Detail,
		RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond,
		Hosts:      a.Hosts,
	}
}

// NoReply is the ResultName of a request to which no reply was had.
const NoReply = "no_reply"

// ResultName names how a request ended, for reports: the name of its result
// code, or NoReply.
func ResultName(answer *Answer, err error) string {
	var refused *result.Error
	switch {
	case err == nil:
		return answer.Name
	case errors.As(err, &refused):
		return refused.Code.String()
	default:
		return NoReply
	}
}

// again decides whether the request may be sent again, and after which wait:
// only what ran nowhere, or what is idempotent.
func (c *Client) again(err error, idempotent bool) (time.Duration, bool) {
	if err == nil {
		return 0, false
	}
	var refused *result.Error
	if !errors.As(err, &refused) {
		var unsent *unsentError
		return 0, idempotent || errors.As(err, &unsent)
	}
	switch refused.Code.Info().Resend {
	case result.ResendElsewhere:
		return 0, true
	case result.ResendLater:
		return refused.RetryAfter, true
	case result.ResendIdempotent:
		return refused.RetryAfter, idempotent && refused.Code != result.DeadlineExceeded
	default:
		return 0, false
	}
}

func (c *Client) mayWait(ctx context.Context, after time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || deadline.Sub(c.options.Now()) > after+lastWait
}
