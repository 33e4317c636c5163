package gateway

import (
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

// ServerEntry is what a backend server says of itself in the store.
type ServerEntry struct {
	// Name is the server's id: each start is a new one.
	Name    string
	Service string
	Address string // IP and port
	Zone    string // availability zone
	Slots   int    // requests it serves at once; 0: not said
	Leaving bool
	// Cold: the server has just started and is still slow.
	Cold bool
}

// applyServers takes the entries of all backend servers in.
func (g *Gateway) applyServers(objects []metastore.Object, revision uint64) {
	known := make(map[string][]homeserver.Known)
	zones := make(map[string]int)
	lives := make(map[string]bool, len(objects))
	for _, object := range objects {
		entry, err := g.options.Decode.Server(object)
		if err != nil {
			g.log.Warn("backend server's entry can't be read and is left out", zap.String("key", object.Key), zap.Uint64("revision", object.Revision), observe.Reason(err))
			continue
		}
		g.noteServer(entry, object.Revision)
		lives[entry.Name] = true
		known[entry.Service] = append(known[entry.Service], homeserver.Known{
			Server: backend.Server{
				Name: entry.Name, Address: entry.Address, Service: entry.Service,
				Zone: entry.Zone, Incarnation: 1,
			},
			SameZone: entry.Zone == g.options.Zone,
			Leaving:  entry.Leaving,
			Slots:    entry.Slots,
			Cold:     entry.Cold,
		})
		if !entry.Leaving {
			zones[entry.Zone]++
		}
	}
	for name := range g.serverStates {
		if !lives[name] {
			delete(g.serverStates, name)
			g.log.Info("backend server is gone", zap.String("server", name))
		}
	}
	g.zones.Store(&zones)
	g.homes.SetServers(known)
	g.serversAt.Store(revision)
	g.announce()
}

// noteServer writes a line when what is believed of a server changes.
func (g *Gateway) noteServer(entry ServerEntry, revision uint64) {
	before, seen := g.serverStates[entry.Name]
	g.serverStates[entry.Name] = entry
	if seen && before == entry {
		return
	}
	g.log.Info("backend server", zap.String("server", entry.Name), zap.String("service", entry.Service),
		zap.String("address", entry.Address), zap.String("zone", entry.Zone),
		zap.Bool("leaving", entry.Leaving), zap.Bool("cold", entry.Cold), zap.Uint64("revision", revision))
}
