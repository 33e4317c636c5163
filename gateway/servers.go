package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/homeserver"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

// ServerEntry is a backend server's entry in the store.
type ServerEntry struct {
	// Name is the server's id. It may outlast a restart of the server.
	Name string
	// Incarnation rises with each restart of a server; 0 if the server does not say, and then
	// each start has a new name.
	Incarnation uint64
	Service     string
	Address     string // IP and port
	Zone        string // availability zone
	Slots       int    // concurrent requests; 0 if not stated
	Leaving     bool
	// ColdFor is how much longer the server is cold after its start.
	ColdFor time.Duration
}

// sameState reports whether two entries are equal except for the remaining ColdFor, which
// each write updates.
func (e ServerEntry) sameState(other ServerEntry) bool {
	same := (e.ColdFor > 0) == (other.ColdFor > 0)
	e.ColdFor, other.ColdFor = 0, 0
	return same && e == other
}

// serverState is the last decoded entry of a server.
type serverState struct {
	revision metastore.Revision // of the stored object
	entry    ServerEntry
	valid    bool
	// coldUntil is when the server is warm, by its last entry.
	coldUntil time.Time
}

// applyServers applies the entries of all backend servers. It decodes only those that have
// changed, since entries change one at a time and hosts may have a fraction of a core.
func (g *Gateway) applyServers(objects []metastore.Object, revision metastore.Revision) {
	g.serversMu.Lock()
	defer g.serversMu.Unlock()
	g.serverKeys = g.serverKeys[:0]
	for _, object := range objects {
		g.decodeServer(object)
		g.serverKeys = append(g.serverKeys, object.Key)
	}
	g.dropServers(objects)
	g.publishServers()
	g.serversRevision.Store(uint64(revision))
	g.announce()
}

// publishServers updates the servers that homes and peers may send requests to. serversMu is
// held.
func (g *Gateway) publishServers() {
	byService := make(map[string][]homeserver.KnownServer)
	inService := make(map[string]backend.Server, len(g.serverKeys))
	rules := g.nextRules()
	for _, key := range g.serverKeys {
		state := g.serverStates[key]
		if !state.valid {
			continue
		}
		server := g.knownServer(state, rules)
		byService[state.entry.Service] = append(byService[state.entry.Service], server)
		if !server.Leaving {
			inService[state.entry.Name] = server.Server
		}
		if server.Warmup.Duration > 0 && !server.ColdUntil.IsZero() {
			rules.ColdUntil[state.entry.Name] = server.ColdUntil
		}
	}
	g.rules.Store(rules)
	g.inService.Store(&inService)
	g.crashDetector.observeServers(inService)
	g.proxyServer.setServers(inService)
	g.homes.SetServers(byService)
	g.countZones()
}

// knownServer converts a server's state for the homes. A server in an evacuated zone is treated
// like one that is leaving: it gets no new work, and its running work may finish.
func (g *Gateway) knownServer(state serverState, rules *eligible.Rules) homeserver.KnownServer {
	entry := state.entry
	server := homeserver.KnownServer{
		Server:    serverOf(entry),
		SameZone:  entry.Zone == g.options.Zone,
		Leaving:   entry.Leaving || rules.CheckZone(entry.Zone, nil) != eligible.Allowed,
		Slots:     entry.Slots,
		Region:    rules.Regions[entry.Zone],
		ColdUntil: state.coldUntil,
		Warmup:    g.warming.limits(entry.Service, entry.Zone),
	}
	if readmitted := rules.Evacuations.ColdUntil(entry.Zone, server.Warmup.Duration); readmitted.After(server.ColdUntil) {
		server.ColdUntil = readmitted
	}
	return server
}

func serverOf(entry ServerEntry) backend.Server {
	return backend.Server{
		Name: entry.Name, Address: entry.Address, Service: entry.Service, Zone: entry.Zone, Incarnation: entry.Incarnation,
	}
}

// countZones counts the backend servers in each availability zone, but only those of
// configured services: other entries below the prefix must not affect which hosts carry the
// traffic.
func (g *Gateway) countZones() {
	g.zonesMu.Lock()
	defer g.zonesMu.Unlock()
	servers := g.inService.Load()
	config := g.homesConfig()
	if servers == nil || config == nil {
		return
	}
	zoneServers := make(map[string]int)
	for _, server := range *servers {
		if _, found := config.Service(server.Service); found {
			zoneServers[server.Zone]++
		}
	}
	g.zoneServers.Store(&zoneServers)
	g.split.Store(g.inForce.Load().splitServices(*servers))
}

// decodeServer decodes an entry if it has changed, and logs the change.
func (g *Gateway) decodeServer(object metastore.Object) {
	previous, seen := g.serverStates[object.Key]
	if seen && previous.revision == object.Revision {
		return
	}
	entry, err := g.options.Decode.Server(object)
	state := serverState{revision: object.Revision, entry: entry, valid: err == nil}
	if entry.ColdFor > 0 {
		state.coldUntil = g.options.Now().Add(entry.ColdFor)
	}
	stale := err == nil && g.isStale(entry)
	if stale { // keep the previous state
		state.entry, state.valid, state.coldUntil = previous.entry, previous.valid, previous.coldUntil
	}
	g.serverStates[object.Key] = state
	switch {
	case err != nil:
		g.log.Warn("backend server's entry can't be read and is left out", zap.String("key", object.Key), observe.Revision("revision", object.Revision), observe.ErrorText(err))
	case stale:
		g.log.Info("backend server's entry is of an earlier start and is left out", zap.String("server", entry.Name), zap.Uint64("incarnation", entry.Incarnation), observe.Revision("revision", object.Revision))
	case !seen || !previous.entry.sameState(entry):
		g.closeOldConnections(previous.entry, entry)
		g.log.Info("backend server", zap.String("server", entry.Name), zap.String("service", entry.Service),
			zap.String("address", entry.Address), zap.String("zone", entry.Zone), zap.Uint64("incarnation", entry.Incarnation),
			zap.Bool("leaving", entry.Leaving), zap.Duration("cold_for", entry.ColdFor), observe.Revision("revision", object.Revision))
	}
}

// isStale reports whether a newer incarnation of the server is known, and remembers this one
// otherwise. A write that was delayed past a restart must not bring back the old address or
// drain state, even if the server's entry was deleted meanwhile.
func (g *Gateway) isStale(entry ServerEntry) bool {
	if entry.Incarnation == 0 {
		return false
	}
	if newest, known := g.newestIncarnations.Get(entry.Name); known && newest > entry.Incarnation {
		return true
	}
	g.newestIncarnations.Add(entry.Name, entry.Incarnation)
	return false
}

// closeOldConnections closes the idle connections to a server that has restarted or moved.
// Calls on them would end as unknown although none has run.
func (g *Gateway) closeOldConnections(previous, current ServerEntry) {
	if previous.Address != "" && (previous.Incarnation != current.Incarnation || previous.Address != current.Address) {
		g.options.Backends.Trim(serverOf(previous), 0)
	}
}

// dropServers removes the servers that are no longer listed.
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
			g.closeOldConnections(state.entry, ServerEntry{})
			g.log.Info("backend server is gone", zap.String("server", state.entry.Name), zap.String("service", state.entry.Service))
		}
	}
}
