package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/client"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// outcome is the result of one request as its caller saw it.
type outcome struct {
	took time.Duration // since the scheduled send time
	code string
	// legs is the number of shards that had to answer; 0 if the request was
	// refused without running.
	legs           int
	covered, total int // shards; total is 0 without an answer
	request        string
}

func (o outcome) answered() bool { return o.total > 0 }

// side sends requests through the entry hosts or directly.
type side interface {
	send(ctx context.Context, r request) outcome
}

// tier sends requests through entry hosts with the client library.
type tier struct {
	shape   Shape
	clients map[string]*client.Client
	checker *testbed.Checker
	noReply atomic.Int64 // requests without a reply
}

func newTier(shape Shape, cluster *testbed.Cluster, checker *testbed.Checker) (*tier, error) {
	t := &tier{shape: shape, clients: make(map[string]*client.Client), checker: checker}
	for role := range shape.CallersOfRole {
		for _, name := range shape.callersOf(role) {
			c, err := client.New(client.Options{Seeds: cluster.CallerAddresses(), Token: callerToken(name)})
			if err != nil {
				return nil, err
			}
			t.clients[name] = c
		}
	}
	return t, nil
}

func (t *tier) close() {
	for _, c := range t.clients {
		c.Close()
	}
}

func (t *tier) send(ctx context.Context, r request) outcome {
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	var answer *client.Answer
	var err error
	legs := 1
	if r.stream.Booking {
		answer, err = t.book(ctx, r)
	} else {
		legs = t.shape.services(r.stream.Index)
		answer, err = t.clients[r.caller].Query(ctx, r.stream.Route, client.Query{Class: r.stream.Class, Body: r.body, Detail: true})
	}
	o := outcome{took: time.Since(r.intended), code: t.resultName(answer, err), legs: legs}
	if answer != nil {
		t.checkAnswer(r, answer, &o)
	}
	return o
}

// book obtains a ticket and books with it.
func (t *tier) book(ctx context.Context, r request) (*client.Answer, error) {
	c := t.clients[r.caller]
	ticket, err := c.Ticket(ctx, r.stream.Route)
	if err != nil {
		return nil, err
	}
	t.checker.AddBooking(backend.Digest(r.body))
	return c.Book(ctx, r.stream.Route, ticket, client.Booking{Body: r.body})
}

// checkAnswer passes the answer to the checker and copies its coverage to the
// outcome.
func (t *tier) checkAnswer(r request, answer *client.Answer, o *outcome) {
	o.request = answer.RequestID
	if r.stream.Booking {
		t.checker.CheckBookingAnswer(r.body, answer)
	} else {
		t.checker.CheckAnswer(r.body, answer)
	}
	if answer.Code.NotRun() {
		o.legs = 0
	}
	if answer.Coverage != nil && len(answer.Shards) > 0 {
		o.covered, o.total = answer.Coverage.Have, answer.Coverage.Total
	}
}

func (t *tier) resultName(answer *client.Answer, err error) string {
	name := client.ResultName(answer, err)
	if name == client.NoReply {
		t.noReply.Add(1)
	}
	return name
}
