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

// serverState is an entry as it was decoded last.
type serverState struct {
	revision uint64 // of the object
	entry    ServerEntry
	valid    bool
}

// applyServers takes the entries of all backend servers in. Only those that
// have changed are decoded: hundreds of servers change one by one, on hosts
// with a fifth of a core.
func (g *Gateway) applyServers(objects []metastore.Object, revision uint64) {
	known := make(map[string][]homeserver.Known)
	inService := make(map[string]backend.Server, len(objects))
	zones := make(map[string]int)
	for _, object := range objects {
		state := g.decodeServer(object)
		if !state.valid {
			continue
		}
		entry := state.entry
		server := backend.Server{
			Name: entry.Name, Address: entry.Address, Service: entry.Service, Zone: entry.Zone, Incarnation: 1,
		}
		known[entry.Service] = append(known[entry.Service], homeserver.Known{
			Server:   server,
			SameZone: entry.Zone == g.options.Zone,
			Leaving:  entry.Leaving,
			Slots:    entry.Slots,
			Cold:     entry.Cold,
		})
		if !entry.Leaving {
			zones[entry.Zone]++
			inService[entry.Name] = server
		}
	}
	g.dropServers(objects)
	g.zones.Store(&zones)
	g.farServer.setServers(inService)
	g.homes.SetServers(known)
	g.serversAt.Store(revision)
	g.announce()
}

// decodeServer decodes an entry if it has changed, and writes a line about it.
func (g *Gateway) decodeServer(object metastore.Object) serverState {
	before, seen := g.serverStates[object.Key]
	if seen && before.revision == object.Revision {
		return before
	}
	entry, err := g.options.Decode.Server(object)
	state := serverState{revision: object.Revision, entry: entry, valid: err == nil}
	g.serverStates[object.Key] = state
	switch {
	case err != nil:
		g.log.Warn("backend server's entry can't be read and is left out", zap.String("key", object.Key), zap.Uint64("revision", object.Revision), observe.Reason(err))
	case !seen || before.entry != entry:
		g.log.Info("backend server", zap.String("server", entry.Name), zap.String("service", entry.Service),
			zap.String("address", entry.Address), zap.String("zone", entry.Zone),
			zap.Bool("leaving", entry.Leaving), zap.Bool("cold", entry.Cold), zap.Uint64("revision", object.Revision))
	}
	return state
}

// dropServers forgets the servers that are no longer among the objects.
func (g *Gateway) dropServers(objects []metastore.Object) {
	if len(g.serverStates) == len(objects) {
		return
	}
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Key] = true
	}
	for key, state := range g.serverStates {
		if !listed[key] {
			delete(g.serverStates, key)
			g.log.Info("backend server is gone", zap.String("server", state.entry.Name), zap.String("service", state.entry.Service))
		}
	}
}
