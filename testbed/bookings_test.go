package testbed_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/client"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// The host that issued a ticket stops after its booking was made. Repeating the
// booking at other hosts must return the first reply, and an unused ticket must be
// reported as not run.
func TestBookingReplyAfterPlannedStop(t *testing.T) {
	is := is.New(t)
	cluster := startSmall(t, nil)
	hosts := cluster.Hosts()
	ctx, cancel := context.WithTimeout(t.Context(), 3*testTimeout)
	defer cancel()
	used, unused := issueTicket(t, hosts[0].CallerAddress()), issueTicket(t, hosts[0].CallerAddress())
	body := []byte(`{"key":"premiere"}`)
	other := newClient(t, hosts[1].CallerAddress())
	first, err := other.Book(ctx, "book", used, client.Booking{Body: body})
	is.NoErr(err)
	is.NoErr(hosts[0].Stop())
	for _, host := range hosts[1:] {
		repeat, err := newClient(t, host.CallerAddress()).Book(ctx, "book", used, client.Booking{Body: body})
		is.NoErr(err)
		is.Equal(repeat.Shards, first.Shards)
		late, err := newClient(t, host.CallerAddress()).Book(ctx, "book", unused, client.Booking{Body: body})
		is.True(err != nil)
		is.Equal(late.Code, result.TicketInvalid)
	}
	is.Equal(cluster.Record.Count(), 1)
}
