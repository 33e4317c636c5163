package goldcrestspan

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

// Two hosts each believe to be the home of a service while a third joins. A
// server with 25 connections must have room for both.
func TestTwoHomesFitUnderAServersConnectionLimit(t *testing.T) {
	is := is.New(t)
	config, err := bundle.Compile(1, bundle.Documents{Services: []bundle.Service{
		{Name: "booking-desk-01", SlotsPerServer: 2, ConnectionsPerServer: 25},
		{Name: "tiny", SlotsPerServer: 1, ConnectionsPerServer: 1},
	}})
	is.NoErr(err)
	is.Equal(connectionShare(config, "booking-desk-01"), 12)
	is.Equal(connectionShare(config, "tiny"), 1)
	is.Equal(connectionShare(config, "unknown"), 1)
	is.Equal(connectionShare(nil, "any"), 1)
}
