package testbed_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/client"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// A sales clerk's booking was made and its answer lost; then the host that made
// it was replaced in a rolling restart. The repeat at another host must get the
// answer of the first, and a ticket that was never used is "not run".
func TestBookingsOutliveAPlannedStop(t *testing.T) {
	is := is.New(t)
	bed := small(t, nil)
	hosts := bed.Hosts()
	ctx, cancel := context.WithTimeout(t.Context(), 3*patient)
	defer cancel()
	used, unused := ticketOf(t, hosts[0].CallerAddress()), ticketOf(t, hosts[0].CallerAddress())
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
	is.Equal(bed.Record.Count(), 1)
}
