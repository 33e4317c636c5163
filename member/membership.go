package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// Membership is one host's view of the members and its failure detector. It does no
// I/O: time and randomness are passed in, and Tick returns the calls to make.
// It is not safe for concurrent use.
type Membership struct {
	config      Config
	rng         *rand.Rand
	startedAt   time.Time
	lastEntryAt time.Time // of the last call of an entry point; see detectPause

	self     *record
	records  map[ident.HostID]*record
	sorted   []*record // by ID, self included
	suspects map[ident.HostID]*record
	dead     []*record

	joined   bool // a peer has sent its complete view
	joining  joinState
	recent   recentState
	departed bool // this host has announced StateGone
	replaced bool // another process runs under this ID

	neighbors         []*record
	neighborIndex     int // index of the next neighbor to probe
	lastSequence      uint64
	probes            []*probe
	nextProbeAt       time.Time
	priorityTarget    *record // probed before the next neighbor in turn
	nextReconnectAt   time.Time
	nextMaintenanceAt time.Time
	nextRotationAt    time.Time
	lastPeerContact   time.Time

	broadcasts         *broadcastQueue
	refreshIndex       int          // index of the next record to repeat for anti-entropy
	deadIndex          int          // index of the next dead record to send for correction
	corrections        []*record    // newer than what the current request said
	urgent             []*broadcast // for the next push
	urgentConfig       bool         // the next push carries announced
	pushAt             time.Time    // zero: nothing urgent
	sendAddressesUntil time.Time    // each message carries this host's addresses until then
	recentLoads        []*record
	announced          *memberpb.ConfigNews // by this host, of itself
	confirmation       ConfigConfirmation   // of announced
	ownStoreContacts   StoreContacts
	peersStoreContacts StoreContacts
	seenBackends       *dedupCache[updateKey, *memberpb.BackendNews]
	seenRequests       *dedupCache[updateKey, *memberpb.SuspectRequestNews]
	received           ReceivedUpdates

	hostList hostList

	view          *View
	statesChanged bool // a state changed since the last View
	loadsChanged  bool
	counters      Counters
}

// Counters are running totals since the start.
type Counters struct {
	Probes         uint64 // probes sent
	ProbeFailures  uint64 // probes that timed out, indirect ones included
	Suspicions     uint64 // suspicions raised by this host
	Refutations    uint64 // suspicions of this host that it refuted
	Deaths         uint64 // deaths decided here or received
	FalseDeaths    uint64 // dead hosts whose same incarnation came back
	Pauses         uint64 // pauses of this process
	LateReplies    uint64 // replies without a pending probe
	Reconnects     uint64 // attempts to reach a dead or unknown host
	BudgetDeferred uint64 // updates left out of a push by the byte budget
}

// New returns the membership of a host that starts at now.
func New(config Config, now time.Time, rng *rand.Rand) *Membership {
	config = config.withDefaults()
	self := &record{Host: config.Self, firstSeenAt: now}
	self.State = StateAlive
	m := &Membership{
		config:         config,
		rng:            rng,
		startedAt:      now,
		lastEntryAt:    now,
		self:           self,
		records:        map[ident.HostID]*record{self.ID: self},
		sorted:         []*record{self},
		suspects:       make(map[ident.HostID]*record),
		broadcasts:     newBroadcastQueue(now),
		seenBackends:   newDedupCache[updateKey, *memberpb.BackendNews](dedupTTL, dedupLimit),
		seenRequests:   newDedupCache[updateKey, *memberpb.SuspectRequestNews](dedupTTL, dedupLimit),
		nextProbeAt:    now,
		nextRotationAt: now.Add(rotationInterval),
		statesChanged:  true,
	}
	m.nextMaintenanceAt = now
	m.nextReconnectAt = now
	return m
}

// Incarnation is this host's incarnation. It can rise until the host has joined, if
// the fleet knows a higher one of a predecessor whose clock was ahead.
func (m *Membership) Incarnation() ident.Incarnation { return m.self.Incarnation }

// Joined reports whether a peer has sent its complete view.
func (m *Membership) Joined() bool { return m.joined }

// Replaced reports whether another process runs under this host's ID.
func (m *Membership) Replaced() bool { return m.replaced }

// Counters returns the running totals.
func (m *Membership) Counters() Counters { return m.counters }

// detectPause is called first by each entry point with a time. After a pause of this
// process all timers have expired, and live hosts would be declared dead, so it discards
// the pending probes and restarts the suspicion timeouts.
func (m *Membership) detectPause(now time.Time) {
	gap := now.Sub(m.lastEntryAt)
	m.lastEntryAt = now
	if gap < pauseThreshold {
		return
	}
	m.counters.Pauses++
	m.probes = m.probes[:0]
	for _, r := range m.suspects {
		r.suspectUntil = now.Add(m.suspicionTimeout())
		r.finalProbeSent = false
	}
}

func (m *Membership) suspicionTimeout() time.Duration {
	return m.config.suspicionTimeout(len(m.records) - len(m.dead))
}

// isIsolated reports whether no peer has answered this host within isolationTimeout.
func (m *Membership) isIsolated(now time.Time) bool {
	last := m.lastPeerContact
	if last.IsZero() {
		last = m.startedAt
	}
	return now.Sub(last) > isolationTimeout
}

func (m *Membership) notePeerContact(now time.Time) { m.lastPeerContact = now }

// LastPeerContact is when a peer last answered a call of this host; zero: never.
func (m *Membership) LastPeerContact() time.Time { return m.lastPeerContact }

// applyUpdate applies an update about a host if it is newer than the record.
func (m *Membership) applyUpdate(now time.Time, update *memberpb.HostNews) {
	if update == nil || update.Host == "" {
		return
	}
	id := ident.HostID(update.Host)
	if id == m.self.ID {
		m.applySelfUpdate(now, update)
		return
	}
	version := versionOf(update)
	r := m.records[id]
	if r == nil {
		m.addHost(now, update, version)
		return
	}
	if !version.newerThan(r.version()) {
		m.queueCorrection(r, version)
		return
	}
	newIncarnation := version.incarnation != r.Incarnation
	if newIncarnation && !m.startIncarnation(now, r, update) {
		return
	}
	m.setVersion(now, r, version, newIncarnation)
}

// queueCorrection has the reply correct a sender whose update was outdated.
func (m *Membership) queueCorrection(r *record, received version) {
	if r.version().newerThan(received) && len(m.corrections) < maxCorrections {
		m.corrections = append(m.corrections, r)
	}
}

// addHost adds a host that is not known yet. It ignores dead hosts and updates
// without addresses.
func (m *Membership) addHost(now time.Time, update *memberpb.HostNews, version version) {
	if update.PeerAddress == "" || version.state >= StateDead {
		return
	}
	r := &record{firstSeenAt: now}
	r.ID = ident.HostID(update.Host)
	r.Incarnation = version.incarnation
	r.resetIncarnation(update)
	m.records[r.ID] = r
	at, _ := slices.BinarySearchFunc(m.sorted, r, compareByID)
	m.sorted = slices.Insert(m.sorted, at, r)
	m.setVersion(now, r, version, true)
}

func compareByID(a, b *record) int { return strings.Compare(string(a.ID), string(b.ID)) }

// startIncarnation moves the record to a higher incarnation. It keeps the earlier
// one and returns false while the addresses of the new one are unknown.
func (m *Membership) startIncarnation(now time.Time, r *record, update *memberpb.HostNews) bool {
	if update.PeerAddress == "" {
		return false
	}
	r.resetIncarnation(update)
	r.Incarnation = ident.Incarnation(update.Incarnation)
	r.firstSeenAt = now
	return true
}

// setVersion moves the record to a state and gossips the change.
func (m *Membership) setVersion(now time.Time, r *record, v version, newIncarnation bool) {
	previous := r.State
	r.refutation = v.refutation
	r.State = v.state
	m.statesChanged = true
	m.exitState(r, previous, newIncarnation)
	b := m.enqueueHost(r)
	switch v.state {
	case StateAlive:
		if previous == StateSuspect {
			m.pushSoon(now, b)
		}
	case StateSuspect:
		m.suspects[r.ID] = r
		r.finalProbeSent = false
		r.suspectUntil = now.Add(m.suspicionTimeout())
		m.pushSoon(now, b)
	case StateLeaving:
		m.pushSoon(now, b)
	case StateDead, StateGone:
		if previous < StateDead || newIncarnation {
			m.markDead(now, r)
		}
	}
}

func (m *Membership) markDead(now time.Time, r *record) {
	m.counters.Deaths++
	r.deadSince = now
	if !slices.Contains(m.dead, r) {
		m.dead = append(m.dead, r)
	}
	m.removeNeighbor(r)
}

// exitState undoes what the previous state set up.
func (m *Membership) exitState(r *record, previous State, newIncarnation bool) {
	delete(m.suspects, r.ID)
	if previous < StateDead || r.isDead() {
		return
	}
	if i := slices.Index(m.dead, r); i >= 0 {
		m.dead = slices.Delete(m.dead, i, i+1)
	}
	if !newIncarnation {
		m.counters.FalseDeaths++
	}
}

// applySelfUpdate refutes a suspicion or death of this host, which only the host
// itself can do by raising its refutation counter. An update with a higher
// incarnation comes from another process with this ID; see handleSuccessor.
func (m *Membership) applySelfUpdate(now time.Time, update *memberpb.HostNews) {
	version := versionOf(update)
	if version.incarnation > m.self.Incarnation {
		m.handleSuccessor(now, version.incarnation)
		return
	}
	if version.incarnation < m.self.Incarnation || m.departed || m.replaced {
		return
	}
	if !version.newerThan(m.self.version()) {
		return
	}
	m.counters.Refutations++
	m.self.refutation = version.refutation + 1
	m.pushSoon(now, m.enqueueHost(m.self))
}

// handleSuccessor handles a higher incarnation of this host's ID. Before joining it
// belongs to a predecessor whose clock was ahead, so this host takes a still higher
// one. Afterwards this process has been replaced and stops taking part.
func (m *Membership) handleSuccessor(now time.Time, other ident.Incarnation) {
	m.statesChanged = true
	if m.joined {
		m.replaced = true
		return
	}
	m.self.Incarnation = incarnationAfter(other, m.rng.Uint64())
	m.self.refutation = 0
	m.self.firstSeenAt = now
	m.enqueueHost(m.self)
}

// incarnationAfter returns an incarnation above other whose low 22 bits are random,
// as in ident.NewIncarnation.
func incarnationAfter(other ident.Incarnation, random uint64) ident.Incarnation {
	const randomBits = 22
	next := uint64(other)>>randomBits + 1
	return ident.Incarnation(next<<randomBits | random&(1<<randomBits-1))
}

// Leave announces a planned stop: other hosts send this one no new work.
func (m *Membership) Leave(now time.Time) {
	m.detectPause(now)
	m.announceSelf(now, StateLeaving)
}

// Depart announces that this host is gone. It answers no peers afterwards.
func (m *Membership) Depart(now time.Time) {
	m.detectPause(now)
	m.departed = true
	m.announceSelf(now, StateGone)
}

func (m *Membership) announceSelf(now time.Time, state State) {
	if m.self.State >= state {
		return
	}
	m.self.State = state
	m.self.refutation++
	m.statesChanged = true
	m.pushSoon(now, m.enqueueHost(m.self))
}

// SetLoad sets this host's load, in thousandths.
func (m *Membership) SetLoad(permille uint32) {
	if permille == m.self.LoadPermille {
		return
	}
	m.self.LoadPermille = permille
	m.self.loadSequence++
	m.loadsChanged = true
}

// sortedSuspects returns the suspects by ID, so that runs with one seed are reproducible.
func (m *Membership) sortedSuspects() []*record {
	suspects := make([]*record, 0, len(m.suspects))
	for _, r := range m.suspects {
		suspects = append(suspects, r)
	}
	slices.SortFunc(suspects, compareByID)
	return suspects
}
