package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/client"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// outcome is what a caller saw of one request.
type outcome struct {
	took time.Duration // from the intended time of sending
	code string
	// legs is how many shards had to answer; 0 when it was refused unrun.
	legs        int
	have, total int // coverage; total is 0 without an answer
	request     string
}

func (o outcome) answered() bool { return o.total > 0 }

// side carries requests: through the entry hosts, or directly.
type side interface {
	send(ctx context.Context, r request) outcome
}

// tier sends through entry hosts with the callers' library.
type tier struct {
	shape   Shape
	clients map[string]*client.Client
	checker *testbed.Checker
	// lost counts requests without a reply.
	lost atomic.Int64
}

func newTier(shape Shape, bed *testbed.Cluster, checker *testbed.Checker) (*tier, error) {
	t := &tier{shape: shape, clients: make(map[string]*client.Client), checker: checker}
	for role := range shape.CallersOfRole {
		for _, name := range shape.callersOf(role) {
			c, err := client.New(client.Options{Seeds: bed.CallerAddresses(), Token: tokenOf(name)})
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
	o := outcome{took: time.Since(r.intended), code: t.codeOf(answer, err), legs: legs}
	if answer != nil {
		t.note(r, answer, &o)
	}
	return o
}

// book asks for a ticket and books under it.
func (t *tier) book(ctx context.Context, r request) (*client.Answer, error) {
	c := t.clients[r.caller]
	ticket, err := c.Ticket(ctx, r.stream.Route)
	if err != nil {
		return nil, err
	}
	t.checker.AddBooking(backend.Digest(r.body))
	return c.Book(ctx, r.stream.Route, ticket, client.Booking{Body: r.body})
}

// note checks the answer and takes its coverage.
func (t *tier) note(r request, answer *client.Answer, o *outcome) {
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
		o.have, o.total = answer.Coverage.Have, answer.Coverage.Total
	}
}

func (t *tier) codeOf(answer *client.Answer, err error) string {
	name := client.ResultName(answer, err)
	if name == client.NoReply {
		t.lost.Add(1)
	}
	return name
}
