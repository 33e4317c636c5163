package member

import (
	"math"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

const (
	// recentAge is the age up to which updates about backend servers and requests are
	// sent to hosts that lack them: as long as a suspicion of a request lasts.
	recentAge = 30 * time.Minute
	// dedupTTL and dedupLimit bound the deduplication of these updates. It outlasts
	// recentAge by more than an update takes to reach every host, so that no host takes
	// from another what it has just dropped itself.
	dedupTTL   = recentAge + 2*time.Minute
	dedupLimit = 4096
	// maxRecentLoads bounds the hosts whose load readings are passed on.
	maxRecentLoads = 16
	// maxCorrections bounds the corrections in one reply.
	maxCorrections = 8
)

// ConfigUpdate says which configuration and store revisions the host From has. The
// configuration can be fetched from it.
type ConfigUpdate struct {
	From         ident.HostID
	FromAddress  string // IP and port of From's peer listener
	Generation   uint64
	ManifestHash []byte
	// Store holds the store revisions that From has applied.
	Store StoreRevisions
}

// StoreRevisions are the revisions of the platform's store that a host has applied;
// 0: it does not follow those objects.
type StoreRevisions struct {
	Servers     metastore.Revision // of backend servers
	Evacuations metastore.Revision // of evacuated availability zones
	// ConfigVersion is the operator's version of the configuration in force. Unlike
	// revisions it does not decrease when the store is restored from a backup.
	ConfigVersion uint64
}

// newerThan reports whether any of the revisions is higher.
func (r StoreRevisions) newerThan(other StoreRevisions) bool {
	return r.Servers > other.Servers || r.Evacuations > other.Evacuations || r.ConfigVersion > other.ConfigVersion
}

// max returns the higher of each revision.
func (r StoreRevisions) max(other StoreRevisions) StoreRevisions {
	return StoreRevisions{
		Servers: max(r.Servers, other.Servers), Evacuations: max(r.Evacuations, other.Evacuations),
		ConfigVersion: max(r.ConfigVersion, other.ConfigVersion),
	}
}

func storeFromWire(update *memberpb.ConfigNews) StoreRevisions {
	return StoreRevisions{
		Servers:       metastore.Revision(update.GetServersRevision()),
		Evacuations:   metastore.Revision(update.GetEvacuationsRevision()),
		ConfigVersion: update.GetConfigVersion(),
	}
}

// BackendUpdate says that an incarnation of a backend server is leaving or gone.
type BackendUpdate struct {
	Server      string
	Incarnation uint64
}

// SuspectRequestUpdate says that a request was in flight at a server that crashed.
type SuspectRequestUpdate struct {
	Fingerprint       uint64
	Server            string
	ServerIncarnation uint64
	InFlight          int // requests in flight at the server, this one included
	// Canary is set if the request was a suspect before and ran on this server alone.
	Canary bool
	// Age is how long ago the server had crashed when this was announced.
	Age time.Duration
}

// ReceivedUpdates holds received updates for users of this package.
type ReceivedUpdates struct {
	Configs  []ConfigUpdate // newer than what this host has announced
	Backends []BackendUpdate
	Suspects []SuspectRequestUpdate
	// Confirmation is of the announced configuration; its At is zero if there is none.
	Confirmation ConfigConfirmation
}

// TakeReceived returns the updates received since the last call.
func (m *Membership) TakeReceived() ReceivedUpdates {
	received := m.received
	m.received = ReceivedUpdates{}
	return received
}

// AnnounceConfig gossips the configuration in force. A generation that is not above
// the one announced before is ignored.
func (m *Membership) AnnounceConfig(now time.Time, generation uint64, manifestHash []byte) {
	m.detectPause(now)
	if generation <= m.announced.GetGeneration() {
		return
	}
	m.announceRevisions(now, generation, manifestHash, storeFromWire(m.announced))
}

// AnnounceStore gossips the store revisions that this host has applied. Lower ones
// are ignored.
func (m *Membership) AnnounceStore(now time.Time, revisions StoreRevisions) {
	m.detectPause(now)
	before := storeFromWire(m.announced)
	if !revisions.newerThan(before) {
		return
	}
	m.announceRevisions(now, m.announced.GetGeneration(), m.announced.GetManifestHash(), revisions.max(before))
}

func (m *Membership) announceRevisions(now time.Time, generation uint64, manifestHash []byte, store StoreRevisions) {
	if generation != m.announced.GetGeneration() || store.ConfigVersion != m.announced.GetConfigVersion() {
		m.confirmation = ConfigConfirmation{}
	}
	m.announced = &memberpb.ConfigNews{
		Generation: generation, ManifestHash: manifestHash,
		ServersRevision: uint64(store.Servers), EvacuationsRevision: uint64(store.Evacuations),
		ConfigVersion: store.ConfigVersion,
	}
	m.urgentConfig = true
	m.schedulePush(now)
}

// AnnounceBackend gossips that an incarnation of a backend server is leaving.
func (m *Membership) AnnounceBackend(now time.Time, update BackendUpdate) {
	m.detectPause(now)
	m.enqueueBackend(now, &memberpb.BackendNews{Server: update.Server, Incarnation: update.Incarnation}, true)
}

// AnnounceSuspectRequest gossips a suspected request.
func (m *Membership) AnnounceSuspectRequest(now time.Time, update SuspectRequestUpdate) {
	m.detectPause(now)
	m.enqueueRequest(now, &memberpb.SuspectRequestNews{
		Fingerprint:       update.Fingerprint,
		Server:            update.Server,
		ServerIncarnation: update.ServerIncarnation,
		InFlight:          uint32(update.InFlight),
		Canary:            update.Canary,
		AgeMs:             uint32(update.Age.Milliseconds()),
	}, true)
}

// enqueueBackend records an update and, if it is new here and gossip is set, gossips it.
func (m *Membership) enqueueBackend(now time.Time, update *memberpb.BackendNews, gossip bool) bool {
	key := updateKey{kind: backendUpdate, name: update.Server, incarnation: update.Incarnation}
	announcedAt := now.Add(-time.Duration(update.HeldMs) * time.Millisecond)
	if !m.seenBackends.add(now, announcedAt, key, update) {
		return false
	}
	if gossip {
		m.gossipSoon(now, &broadcast{key: key, backend: update, receivedAt: now})
	}
	return true
}

// enqueueRequest records an update and, if it is new here and gossip is set, gossips it.
func (m *Membership) enqueueRequest(now time.Time, update *memberpb.SuspectRequestNews, gossip bool) bool {
	key := updateKey{kind: requestUpdate, name: update.Server, incarnation: update.ServerIncarnation, request: update.Fingerprint}
	announcedAt := now.Add(-time.Duration(update.HeldMs) * time.Millisecond)
	if !m.seenRequests.add(now, announcedAt, key, update) {
		return false
	}
	if gossip {
		m.gossipSoon(now, &broadcast{key: key, request: update, receivedAt: now})
	}
	return true
}

// gossipSoon queues an update for the next messages and has it pushed.
func (m *Membership) gossipSoon(now time.Time, b *broadcast) {
	m.broadcasts.put(b)
	m.pushSoon(now, b)
}

// enqueueHost queues an update about a host for the next messages.
func (m *Membership) enqueueHost(r *record) *broadcast {
	b := &broadcast{key: updateKey{kind: hostUpdate, name: string(r.ID)}, host: r}
	m.broadcasts.put(b)
	return b
}

// pushSoon has the update pushed to some neighbors without waiting for probes.
// It is called for new updates only, so each host pushes an update once.
func (m *Membership) pushSoon(now time.Time, b *broadcast) {
	m.urgent = append(m.urgent, b)
	m.schedulePush(now)
}

func (m *Membership) schedulePush(now time.Time) {
	if m.pushAt.IsZero() {
		m.pushAt = now.Add(pushDelay)
	}
}

// pushUrgent sends the urgent updates to some neighbors, and each suspicion to the
// suspect as well, which alone can refute it.
func (m *Membership) pushUrgent(now time.Time, calls []Call) []Call {
	m.pushAt = time.Time{}
	targets := m.randomNeighbors(pushFanout, nil)
	request := &memberpb.PushRequest{Sender: m.senderUpdate(now), News: &memberpb.News{}}
	if m.urgentConfig {
		request.News.Config = m.announcedConfig(now)
	}
	budget := m.broadcasts.available(now)
	for _, b := range m.urgent {
		if b.superseded {
			continue
		}
		size := b.addTo(request.News, now) * max(1, len(targets))
		if size > budget {
			b.removeFrom(request.News)
			m.counters.BudgetDeferred++
			continue
		}
		budget -= size
		m.broadcasts.spend(size)
		if b.host != nil && b.host.State == StateSuspect && len(targets) < 2*pushFanout {
			targets = append(targets, b.host)
		}
	}
	m.urgentConfig = false
	m.urgent = m.urgent[:0]
	for _, target := range targets {
		calls = append(calls, Call{Address: target.PeerAddress, Timeout: pushTimeout, Push: request})
	}
	return calls
}

// transmitLimit is how often one host sends one update. It grows with the logarithm
// of the fleet's size, which makes it unlikely that a host never receives it.
func (m *Membership) transmitLimit() int {
	return int(math.Ceil(1.5 * math.Log2(float64(len(m.records)+1))))
}

// senderUpdate is the update about this host that each message carries.
func (m *Membership) senderUpdate(now time.Time) *memberpb.HostNews {
	if now.Before(m.sendAddressesUntil) {
		return m.self.fullUpdate()
	}
	return m.self.update(now)
}

// sendAddressesIfWanted adds this host's addresses to its messages for a while
// after a peer reported that it lacks them.
func (m *Membership) sendAddressesIfWanted(now time.Time, wanted bool) {
	if wanted {
		m.sendAddressesUntil = now.Add(m.config.ProbeInterval * neighborCount)
	}
}

func (m *Membership) configGossip(now time.Time) *memberpb.News {
	return &memberpb.News{Config: m.announcedConfig(now)}
}

// gossipFor collects the updates for one message: the receiver's own state if it is
// suspect or dead, queued updates, records for anti-entropy, and loads.
func (m *Membership) gossipFor(now time.Time, receiver ident.HostID) *memberpb.News {
	gossip := m.configGossip(now)
	r := m.records[receiver]
	if r != nil && (r.State == StateSuspect || r.isDead()) {
		gossip.Hosts = append(gossip.Hosts, r.stateUpdate())
	}
	m.broadcasts.fill(now, gossip, m.transmitLimit())
	m.addRefresh(gossip)
	m.addDeadRecord(gossip)
	m.addLoads(gossip)
	return gossip
}

// addDeadRecord adds one dead record in turn. A peer that knows the host to be alive
// corrects it in its reply, which repairs refutations that were lost, as when two
// regions reconnect.
func (m *Membership) addDeadRecord(gossip *memberpb.News) {
	if len(m.dead) == 0 {
		return
	}
	m.deadIndex = (m.deadIndex + 1) % len(m.dead)
	gossip.Hosts = append(gossip.Hosts, m.dead[m.deadIndex].stateUpdate())
}

// addCorrections adds the records that are newer here than in the request.
func (m *Membership) addCorrections(now time.Time, gossip *memberpb.News) {
	for _, r := range m.corrections {
		gossip.Hosts = append(gossip.Hosts, r.update(now))
	}
	m.corrections = m.corrections[:0]
}

// addRefresh adds one live record in turn, which repairs lost updates at constant cost.
func (m *Membership) addRefresh(gossip *memberpb.News) {
	m.refreshIndex++
	if m.refreshIndex >= len(m.sorted) {
		m.refreshIndex = 0
	}
	r := m.sorted[m.refreshIndex]
	if !r.isDead() {
		gossip.Hosts = append(gossip.Hosts, r.fullUpdate())
	}
}

// addLoads adds this host's load and the most recent readings of its zone.
func (m *Membership) addLoads(gossip *memberpb.News) {
	gossip.Loads = append(gossip.Loads, m.self.loadUpdate())
	for i := len(m.recentLoads) - 1; i >= 0 && len(gossip.Loads) <= maxLoadsPerMessage; i-- {
		gossip.Loads = append(gossip.Loads, m.recentLoads[i].loadUpdate())
	}
}

// merge applies all updates of a message. Each is ordered by its own version, so
// late and duplicated messages change nothing.
func (m *Membership) merge(now time.Time, sender *memberpb.HostNews, gossip *memberpb.News) {
	m.applyUpdate(now, sender)
	for _, host := range gossip.GetHosts() {
		m.applyUpdate(now, host)
	}
	for _, load := range gossip.GetLoads() {
		m.applyLoad(load)
	}
	m.mergeRecent(now, gossip, true)
	m.applyConfig(sender, gossip.GetConfig())
}

// mergeRecent applies the updates that are announced once, and gossips those that are
// new here if told to. It reports whether any is new.
func (m *Membership) mergeRecent(now time.Time, news *memberpb.News, gossip bool) bool {
	isNew := false
	for _, backend := range news.GetBackends() {
		if m.enqueueBackend(now, backend, gossip) {
			isNew = true
			m.received.Backends = append(m.received.Backends, BackendUpdate{backend.Server, backend.Incarnation})
		}
	}
	for _, request := range news.GetSuspects() {
		if m.enqueueRequest(now, request, gossip) {
			isNew = true
			m.received.Suspects = append(m.received.Suspects, suspectFromWire(request))
		}
	}
	return isNew
}

func suspectFromWire(update *memberpb.SuspectRequestNews) SuspectRequestUpdate {
	return SuspectRequestUpdate{
		Fingerprint:       update.Fingerprint,
		Server:            update.Server,
		ServerIncarnation: update.ServerIncarnation,
		InFlight:          int(update.InFlight),
		Canary:            update.Canary,
		Age:               time.Duration(update.AgeMs) * time.Millisecond,
	}
}

// applyConfig reports a newer configuration with every message until it is
// announced here, so that a failed pull is retried.
func (m *Membership) applyConfig(sender *memberpb.HostNews, update *memberpb.ConfigNews) {
	if update.GetGeneration() <= m.announced.GetGeneration() && !storeFromWire(update).newerThan(storeFromWire(m.announced)) {
		return
	}
	r := m.records[ident.HostID(sender.GetHost())]
	if r == nil {
		return
	}
	m.received.Configs = append(m.received.Configs, ConfigUpdate{
		From:         r.ID,
		FromAddress:  r.PeerAddress,
		Generation:   update.Generation,
		ManifestHash: update.ManifestHash,
		Store:        storeFromWire(update),
	})
}

// applyLoad applies a newer load reading of the same incarnation.
func (m *Membership) applyLoad(update *memberpb.LoadNews) {
	r := m.records[ident.HostID(update.Host)]
	if r == nil || r == m.self || uint32(r.Incarnation) != update.Life || update.Sequence <= r.loadSequence {
		return
	}
	r.loadSequence = update.Sequence
	r.LoadPermille = update.LoadPermille
	m.loadsChanged = true
	if r.Zone != m.self.Zone {
		return
	}
	m.recentLoads = append(m.recentLoads, r)
	if len(m.recentLoads) > maxRecentLoads {
		m.recentLoads = append(m.recentLoads[:0], m.recentLoads[1:]...)
	}
}
