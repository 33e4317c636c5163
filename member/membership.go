package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// Membership is the membership as one host knows it, and the decisions on it. It is
// pure: time and randomness are passed in, calls to make come back from Tick.
// It is not safe for concurrent use.
type Membership struct {
	config    Config
	rng       *rand.Rand
	startedAt time.Time
	turnAt    time.Time // of the last entry into the state

	self    *record
	records map[ident.HostID]*record
	sorted  []*record // by ID, self included
	suspect map[ident.HostID]*record
	dead    []*record

	joined   bool // a peer gave its whole view
	join     join
	departed bool // this host has said that it is gone
	replaced bool // another process runs under this ID

	partners      []*record
	turn          int // next partner to probe
	sequence      uint64
	probes        []*probe
	nextProbe     time.Time
	urgentProbe   *record // to be probed out of turn
	nextReconnect time.Time
	nextChores    time.Time
	nextRotate    time.Time
	peerHeardAt   time.Time

	news         *queue
	refresh      int       // next record to repeat to a peer
	doubt        int       // next dead record to ask a peer about
	corrections  []*record // of what the present request said
	urgent       []*item
	urgentConfig bool
	pushAt       time.Time // zero: nothing urgent
	fullUntil    time.Time // own addresses ride on each message until then
	recentLoads  []*record
	inForce      *memberpb.ConfigNews
	backends     *recent[newsKey, *memberpb.BackendNews]
	requests     *recent[newsKey, *memberpb.SuspectRequestNews]
	received     Received

	list hostList

	view        *View
	changed     bool // states, since the last View
	loadChanged bool
	counters    Counters
}

// Counters are running totals since the start.
type Counters struct {
	Probes         uint64 // probes sent
	ProbeFailures  uint64 // partners that stayed silent until the verdict
	Suspicions     uint64 // suspicions raised here
	Refutations    uint64 // suspicions of this host that it refuted
	Deaths         uint64 // deaths learned or decided
	FalseDeaths    uint64 // hosts believed dead whose same life was heard again
	Pauses         uint64 // times this process was found to have been paused
	LateReplies    uint64 // replies without a waiting probe
	Reconnects     uint64 // tries to reach a lost or unknown host
	BudgetDeferred uint64 // urgent pushes left out for lack of budget
}

// New makes the membership of a host that starts at now.
func New(config Config, now time.Time, rng *rand.Rand) *Membership {
	config = config.withDefaults()
	self := &record{Host: config.Self, bornAt: now}
	self.State = StateAlive
	m := &Membership{
		config:     config,
		rng:        rng,
		startedAt:  now,
		turnAt:     now,
		self:       self,
		records:    map[ident.HostID]*record{self.ID: self},
		sorted:     []*record{self},
		suspect:    make(map[ident.HostID]*record),
		news:       newQueue(now),
		backends:   newRecent[newsKey, *memberpb.BackendNews](newsKeep, newsLimit),
		requests:   newRecent[newsKey, *memberpb.SuspectRequestNews](newsKeep, newsLimit),
		nextProbe:  now,
		nextRotate: now.Add(rotateEvery),
		changed:    true,
	}
	m.nextChores = now
	m.nextReconnect = now
	return m
}

// Incarnation is this host's life. It can rise until the host has joined, when
// the fleet remembers a later life of a predecessor whose clock was ahead.
func (m *Membership) Incarnation() ident.Incarnation { return m.self.Incarnation }

// Joined reports whether a peer has given its whole view.
func (m *Membership) Joined() bool { return m.joined }

// Replaced reports whether another process runs under this host's ID.
func (m *Membership) Replaced() bool { return m.replaced }

// Counters returns the running totals.
func (m *Membership) Counters() Counters { return m.counters }

// enter starts each turn of the state.
//
// The failure: a process is paused (10 s, 60 s) and resumes. All its timers
// have run out meanwhile, and it would declare half the fleet dead for its own
// absence. It shows as a gap between two turns, which otherwise are never
// further apart than a probe's interval. The guard drops the probes in flight
// without a verdict and gives every suspect its full time again.
func (m *Membership) enter(now time.Time) {
	gap := now.Sub(m.turnAt)
	m.turnAt = now
	if gap < pauseAfter {
		return
	}
	m.counters.Pauses++
	m.probes = m.probes[:0]
	for _, r := range m.suspect {
		r.suspectUntil = now.Add(m.suspicionTime())
		r.checked = false
	}
}

func (m *Membership) suspicionTime() time.Duration {
	return m.config.suspicionTime(len(m.records) - len(m.dead))
}

// isolated reports that nothing answers this host. It then doubts its own link
// and decides no deaths: see expireSuspicions.
func (m *Membership) isolated(now time.Time) bool {
	heard := m.peerHeardAt
	if heard.IsZero() {
		heard = m.startedAt
	}
	return now.Sub(heard) > isolatedAfter
}

func (m *Membership) heardPeer(now time.Time) { m.peerHeardAt = now }

// PeerHeardAt is when a peer last answered a call of this host; zero: never.
func (m *Membership) PeerHeardAt() time.Time { return m.peerHeardAt }

// apply takes in news of a host, if it is newer than what is known.
func (m *Membership) apply(now time.Time, news *memberpb.HostNews) {
	if news == nil || news.Host == "" {
		return
	}
	id := ident.HostID(news.Host)
	if id == m.self.ID {
		m.applySelf(now, news)
		return
	}
	version := newsVersion(news)
	r := m.records[id]
	if r == nil {
		m.meet(now, news, version)
		return
	}
	if !version.newerThan(r.version()) {
		m.noteOutdated(r, version)
		return
	}
	newLife := version.incarnation != r.Incarnation
	if newLife && !m.startLife(now, r, news) {
		return
	}
	m.setVersion(now, r, version, newLife)
}

// noteOutdated remembers that the sender is behind, for the answer.
func (m *Membership) noteOutdated(r *record, version version) {
	if r.version().newerThan(version) && len(m.corrections) < maxCorrections {
		m.corrections = append(m.corrections, r)
	}
}

// meet adds a host. News without addresses is of no use for that, and a dead
// stranger is none worth remembering.
func (m *Membership) meet(now time.Time, news *memberpb.HostNews, version version) {
	if news.PeerAddress == "" || version.state >= StateDead {
		return
	}
	r := &record{bornAt: now}
	r.ID = ident.HostID(news.Host)
	r.Incarnation = version.incarnation
	r.takeAddresses(news)
	m.records[r.ID] = r
	at, _ := slices.BinarySearchFunc(m.sorted, r, byID)
	m.sorted = slices.Insert(m.sorted, at, r)
	m.setVersion(now, r, version, true)
}

func byID(a, b *record) int { return strings.Compare(string(a.ID), string(b.ID)) }

// startLife turns the record to a later life of the host. Until its addresses
// are known the earlier life stays.
func (m *Membership) startLife(now time.Time, r *record, news *memberpb.HostNews) bool {
	if news.PeerAddress == "" {
		return false
	}
	r.takeAddresses(news)
	r.Incarnation = ident.Incarnation(news.Incarnation)
	r.bornAt = now
	return true
}

// setVersion moves the record to a state and passes the news on.
func (m *Membership) setVersion(now time.Time, r *record, version version, newLife bool) {
	previous := r.State
	r.refutation = version.refutation
	r.State = version.state
	m.changed = true
	m.leaveState(r, previous, newLife)
	it := m.spread(r)
	switch version.state {
	case StateAlive:
		if previous == StateSuspect {
			m.hurry(now, it)
		}
	case StateSuspect:
		m.suspect[r.ID] = r
		r.checked = false
		r.suspectUntil = now.Add(m.suspicionTime())
		m.hurry(now, it)
	case StateLeaving:
		m.hurry(now, it)
	case StateDead, StateGone:
		if previous < StateDead || newLife {
			m.bury(now, r)
		}
	}
}

func (m *Membership) bury(now time.Time, r *record) {
	m.counters.Deaths++
	r.deadSince = now
	if !slices.Contains(m.dead, r) {
		m.dead = append(m.dead, r)
	}
	m.dropPartner(r)
}

// leaveState undoes what the previous state set up.
func (m *Membership) leaveState(r *record, previous State, newLife bool) {
	delete(m.suspect, r.ID)
	if previous < StateDead || r.lost() {
		return
	}
	if i := slices.Index(m.dead, r); i >= 0 {
		m.dead = slices.Delete(m.dead, i, i+1)
	}
	if !newLife {
		m.counters.FalseDeaths++
	}
}

// applySelf takes in what others say of this host.
//
// The failure: a host that was paused or cut off is believed suspect or dead
// and would never be used again. The host alone may raise its refutation
// counter, so its word is newer than any suspicion of this life.
//
// News of a later life means that another process took the name over. Before
// this host has joined that is a predecessor whose clock was ahead, so this
// life moves past it. Afterwards this process is the old one, resumed from a
// pause: it must not fight, and takes no more part.
func (m *Membership) applySelf(now time.Time, news *memberpb.HostNews) {
	version := newsVersion(news)
	if version.incarnation > m.self.Incarnation {
		m.meetSuccessor(now, version.incarnation)
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
	m.hurry(now, m.spread(m.self))
}

func (m *Membership) meetSuccessor(now time.Time, other ident.Incarnation) {
	m.changed = true
	if m.joined {
		m.replaced = true
		return
	}
	m.self.Incarnation = laterThan(other, m.rng.Uint64())
	m.self.refutation = 0
	m.self.bornAt = now
	m.spread(m.self)
}

// laterThan makes an incarnation above other whose low 22 bits are random, as
// in ident.NewIncarnation.
func laterThan(other ident.Incarnation, random uint64) ident.Incarnation {
	const randomBits = 22
	upper := uint64(other)>>randomBits + 1
	return ident.Incarnation(upper<<randomBits | random&(1<<randomBits-1))
}

// Leave announces a planned stop: others give this host no new work.
func (m *Membership) Leave(now time.Time) {
	m.enter(now)
	m.announceSelf(now, StateLeaving)
}

// Depart announces that this host is gone; it takes no further part.
func (m *Membership) Depart(now time.Time) {
	m.enter(now)
	m.departed = true
	m.announceSelf(now, StateGone)
}

func (m *Membership) announceSelf(now time.Time, state State) {
	if m.self.State >= state {
		return
	}
	m.self.State = state
	m.self.refutation++
	m.changed = true
	m.hurry(now, m.spread(m.self))
}

// SetLoad sets this host's own measure of its load, in thousandths.
func (m *Membership) SetLoad(permille uint32) {
	if permille == m.self.LoadPermille {
		return
	}
	m.self.LoadPermille = permille
	m.self.loadSequence++
	m.loadChanged = true
}

// suspectsInOrder gives a fixed order, so that runs with one seed are equal.
func (m *Membership) suspectsInOrder() []*record {
	suspects := make([]*record, 0, len(m.suspect))
	for _, r := range m.suspect {
		suspects = append(suspects, r)
	}
	slices.SortFunc(suspects, byID)
	return suspects
}
