package goldcrestspan

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

// Guards against two hosts that both act as a service's home while views differ
// exceeding the connection limit of its servers.
func TestConnectionLimitLeavesRoomForTwoHomes(t *testing.T) {
	is := is.New(t)
	config, err := bundle.Compile(1, bundle.Documents{Services: []bundle.Service{
		{Name: "booking-desk-01", SlotsPerServer: 2, ConnectionsPerServer: 25},
		{Name: "tiny", SlotsPerServer: 1, ConnectionsPerServer: 1},
	}})
	is.NoErr(err)
	is.Equal(connectionLimit(config, "booking-desk-01"), 12)
	is.Equal(connectionLimit(config, "tiny"), 1)
	is.Equal(connectionLimit(config, "unknown"), 1)
	is.Equal(connectionLimit(nil, "any"), 1)
}
