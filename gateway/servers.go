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

// ServerEntry is what a backend server says of itself in the store.
type ServerEntry struct {
	// Name is the server's id. It may outlast a restart of the server.
	Name string
	// Incarnation tells the starts of a server apart: a later one's is higher.
	// 0: the server does not say, and each start has a name of its own.
	Incarnation uint64
	Service     string
	Address     string // IP and port
	Zone        string // availability zone
	Slots       int    // requests it serves at once; 0: not said
	Leaving     bool
	// ColdFor is how much longer the server is cold after its start.
	ColdFor time.Duration
}

// sameState reports whether two entries say the same, but for how long the server is
// still cold, which each of them says anew.
func (e ServerEntry) sameState(other ServerEntry) bool {
	same := (e.ColdFor > 0) == (other.ColdFor > 0)
	e.ColdFor, other.ColdFor = 0, 0
	return same && e == other
}

// serverState is an entry as it was decoded last.
type serverState struct {
	revision metastore.Revision // of the object
	entry    ServerEntry
	valid    bool
	// coldUntil is when the server is warm, by its last word.
	coldUntil time.Time
}

// applyServers takes the entries of all backend servers in. Only those that
// have changed are decoded: hundreds of servers change one by one, on hosts
// with a fifth of a core.
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
	g.serversAt.Store(uint64(revision))
	g.announce()
}

// publishServers tells homes and ways between hosts which backend servers may get
// requests. serversMu is held.
func (g *Gateway) publishServers() {
	known := make(map[string][]homeserver.KnownServer)
	inService := make(map[string]backend.Server, len(g.serverKeys))
	rules := g.nextRules()
	for _, key := range g.serverKeys {
		state := g.serverStates[key]
		if !state.valid {
			continue
		}
		k := g.known(state, rules)
		known[state.entry.Service] = append(known[state.entry.Service], k)
		if !k.Leaving {
			inService[state.entry.Name] = k.Server
		}
		if k.Warmup.Duration > 0 && !k.ColdUntil.IsZero() {
			rules.ColdUntil[state.entry.Name] = k.ColdUntil
		}
	}
	g.rules.Store(rules)
	g.inService.Store(&inService)
	g.farServer.setServers(inService)
	g.homes.SetServers(known)
	g.countZones()
}

// known is a backend server as the homes are told of it. One in an evacuated zone gets
// no new work, like one that leaves, and what runs there ends in peace.
func (g *Gateway) known(state serverState, rules *eligible.Rules) homeserver.KnownServer {
	entry := state.entry
	k := homeserver.KnownServer{
		Server:    serverOf(entry),
		SameZone:  entry.Zone == g.options.Zone,
		Leaving:   entry.Leaving || rules.CheckZone(entry.Zone, nil) != eligible.Allowed,
		Slots:     entry.Slots,
		Region:    rules.Regions[entry.Zone],
		ColdUntil: state.coldUntil,
		Warmup:    g.warming.limits(entry.Service, entry.Zone),
	}
	if back := rules.Evacuations.ColdUntil(entry.Zone, k.Warmup.Duration); back.After(k.ColdUntil) {
		k.ColdUntil = back
	}
	return k
}

func serverOf(entry ServerEntry) backend.Server {
	return backend.Server{
		Name: entry.Name, Address: entry.Address, Service: entry.Service, Zone: entry.Zone, Incarnation: entry.Incarnation,
	}
}

// countZones counts the backend servers of each availability zone. Only those of
// services that the configuration names count: whatever else is written below the
// servers' prefix must not decide which hosts carry the traffic.
func (g *Gateway) countZones() {
	g.zonesMu.Lock()
	defer g.zonesMu.Unlock()
	servers := g.inService.Load()
	config := g.homesConfig()
	if servers == nil || config == nil {
		return
	}
	zones := make(map[string]int)
	for _, server := range *servers {
		if _, named := config.Service(server.Service); named {
			zones[server.Zone]++
		}
	}
	g.zones.Store(&zones)
	g.split.Store(g.inForce.Load().splitServices(*servers))
}

// decodeServer decodes an entry if it has changed, and writes a line about it.
func (g *Gateway) decodeServer(object metastore.Object) {
	before, seen := g.serverStates[object.Key]
	if seen && before.revision == object.Revision {
		return
	}
	entry, err := g.options.Decode.Server(object)
	state := serverState{revision: object.Revision, entry: entry, valid: err == nil}
	if entry.ColdFor > 0 {
		state.coldUntil = g.options.Now().Add(entry.ColdFor)
	}
	earlier := err == nil && g.outlived(entry)
	if earlier { // what was believed stays
		state.entry, state.valid, state.coldUntil = before.entry, before.valid, before.coldUntil
	}
	g.serverStates[object.Key] = state
	switch {
	case err != nil:
		g.log.Warn("backend server's entry can't be read and is left out", zap.String("key", object.Key), observe.Revision("revision", object.Revision), observe.ErrorText(err))
	case earlier:
		g.log.Info("backend server's entry is of an earlier start and is left out", zap.String("server", entry.Name), zap.Uint64("incarnation", entry.Incarnation), observe.Revision("revision", object.Revision))
	case !seen || !before.entry.sameState(entry):
		g.dropConnections(before.entry, entry)
		g.log.Info("backend server", zap.String("server", entry.Name), zap.String("service", entry.Service),
			zap.String("address", entry.Address), zap.String("zone", entry.Zone), zap.Uint64("incarnation", entry.Incarnation),
			zap.Bool("leaving", entry.Leaving), zap.Duration("cold_for", entry.ColdFor), observe.Revision("revision", object.Revision))
	}
}

// outlived reports whether a later start of the server is known; else it remembers
// this one.
//
// Failure: a server crashes with a write to the store on its way and starts again
// under its id; the write is done seconds later. It shows as a server whose old
// address, or whose draining before the crash, is believed again. The guard holds
// because the newest start of each id is remembered, also while its entry is gone.
func (g *Gateway) outlived(entry ServerEntry) bool {
	if entry.Incarnation == 0 {
		return false
	}
	if newest, known := g.newestStarts.Get(entry.Name); known && newest > entry.Incarnation {
		return true
	}
	g.newestStarts.Add(entry.Name, entry.Incarnation)
	return false
}

// dropConnections closes the idle connections to a server that was started
// again or has moved: calls on them would end as unknown though none has run.
func (g *Gateway) dropConnections(before, now ServerEntry) {
	if before.Address != "" && (before.Incarnation != now.Incarnation || before.Address != now.Address) {
		g.options.Backends.Trim(serverOf(before), 0)
	}
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
			g.dropConnections(state.entry, ServerEntry{})
			g.log.Info("backend server is gone", zap.String("server", state.entry.Name), zap.String("service", state.entry.Service))
		}
	}
}
