package member

import (
	"math"
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

const (
	// newsKeep and newsLimit bound what is remembered of news about backend
	// servers and requests, against passing on the same news for ever. A
	// duplicate that comes later travels once more and does no harm.
	newsKeep  = 10 * time.Minute
	newsLimit = 4096
	// recentLoadLimit bounds the hosts whose readings are passed on.
	recentLoadLimit = 16
	// maxCorrections bounds what one answer corrects.
	maxCorrections = 8
)

// ConfigUpdate says how new From's configuration and its knowledge of backend
// servers are; it can give the configuration.
type ConfigUpdate struct {
	From         ident.HostID
	FromAddress  string // IP and port of From's peer listener
	Generation   uint64
	ManifestHash []byte
	// Store is how far From knows the platform's store.
	Store StoreRevisions
}

// StoreRevisions are the store's revisions up to which a host knows its changes; 0: it
// does not follow them.
type StoreRevisions struct {
	Servers     metastore.Revision // of backend servers
	Evacuations metastore.Revision // of evacuated availability zones
	// ConfigVersion is the operator's version of the configuration in force, which does not
	// go back where the store does.
	ConfigVersion uint64
}

// newerThan reports whether any of the revisions is higher.
func (r StoreRevisions) newerThan(other StoreRevisions) bool {
	return r.Servers > other.Servers || r.Evacuations > other.Evacuations || r.ConfigVersion > other.ConfigVersion
}

// with takes the higher of the revisions.
func (r StoreRevisions) with(other StoreRevisions) StoreRevisions {
	return StoreRevisions{
		Servers: max(r.Servers, other.Servers), Evacuations: max(r.Evacuations, other.Evacuations),
		ConfigVersion: max(r.ConfigVersion, other.ConfigVersion),
	}
}

func storeFromWire(news *memberpb.ConfigNews) StoreRevisions {
	return StoreRevisions{
		Servers:       metastore.Revision(news.GetServersRevision()),
		Evacuations:   metastore.Revision(news.GetEvacuationsRevision()),
		ConfigVersion: news.GetConfigVersion(),
	}
}

// BackendUpdate says that one life of a backend server is leaving or gone.
type BackendUpdate struct {
	Server      string
	Incarnation uint64
}

// SuspectRequestUpdate says that a request was in flight at a server that died.
type SuspectRequestUpdate struct {
	Fingerprint       uint64
	Server            string
	ServerIncarnation uint64
	InFlight          int // how many requests shared the blame
}

// Received is news for other slices.
type Received struct {
	Configs  []ConfigUpdate // newer than what is in force here
	Backends []BackendUpdate
	Suspects []SuspectRequestUpdate
}

// TakeReceived returns the news that came since the last call.
func (m *Membership) TakeReceived() Received {
	received := m.received
	m.received = Received{}
	return received
}

// AnnounceConfig tells peers what is in force here. A lower generation than
// announced before is ignored.
func (m *Membership) AnnounceConfig(now time.Time, generation uint64, manifestHash []byte) {
	m.enter(now)
	if generation <= m.inForce.GetGeneration() {
		return
	}
	m.announceNews(now, generation, manifestHash, storeFromWire(m.inForce))
}

// AnnounceStore tells peers up to which revisions of the store this host knows its
// changes. Lower ones are ignored.
func (m *Membership) AnnounceStore(now time.Time, known StoreRevisions) {
	m.enter(now)
	before := storeFromWire(m.inForce)
	if !known.newerThan(before) {
		return
	}
	m.announceNews(now, m.inForce.GetGeneration(), m.inForce.GetManifestHash(), known.with(before))
}

func (m *Membership) announceNews(now time.Time, generation uint64, manifestHash []byte, store StoreRevisions) {
	m.inForce = &memberpb.ConfigNews{
		Generation: generation, ManifestHash: manifestHash,
		ServersRevision: uint64(store.Servers), EvacuationsRevision: uint64(store.Evacuations),
		ConfigVersion: store.ConfigVersion,
	}
	m.urgentConfig = true
	m.schedulePush(now)
}

// AnnounceBackend tells peers that a life of a backend server is leaving.
func (m *Membership) AnnounceBackend(now time.Time, news BackendUpdate) {
	m.enter(now)
	m.spreadBackend(now, &memberpb.BackendNews{Server: news.Server, Incarnation: news.Incarnation})
}

// AnnounceSuspectRequest tells peers of a suspected request.
func (m *Membership) AnnounceSuspectRequest(now time.Time, news SuspectRequestUpdate) {
	m.enter(now)
	m.spreadRequest(now, &memberpb.SuspectRequestNews{
		Fingerprint:       news.Fingerprint,
		Server:            news.Server,
		ServerIncarnation: news.ServerIncarnation,
		InFlight:          uint32(news.InFlight),
	})
}

func (m *Membership) spreadBackend(now time.Time, news *memberpb.BackendNews) bool {
	key := newsKey{kind: newsOfBackend, name: news.Server, life: news.Incarnation}
	if !m.backends.add(now, key, news) {
		return false
	}
	it := &item{key: key, backend: news}
	m.news.put(it)
	m.hurry(now, it)
	return true
}

func (m *Membership) spreadRequest(now time.Time, news *memberpb.SuspectRequestNews) bool {
	key := newsKey{kind: newsOfRequest, name: news.Server, life: news.ServerIncarnation, request: news.Fingerprint}
	if !m.requests.add(now, key, news) {
		return false
	}
	it := &item{key: key, request: news}
	m.news.put(it)
	m.hurry(now, it)
	return true
}

// spread queues news of a host for the coming messages.
func (m *Membership) spread(r *record) *item {
	it := &item{key: newsKey{kind: newsOfHost, name: string(r.ID)}, host: r}
	m.news.put(it)
	return it
}

// hurry has the item pushed to some partners at once. Only what is new to
// this host is pushed, so each host pushes an item once.
func (m *Membership) hurry(now time.Time, it *item) {
	m.urgent = append(m.urgent, it)
	m.schedulePush(now)
}

func (m *Membership) schedulePush(now time.Time) {
	if m.pushAt.IsZero() {
		m.pushAt = now.Add(pushDelay)
	}
}

// push sends the urgent news to some partners, and each suspicion to the
// suspect itself, which alone can refute it.
func (m *Membership) push(now time.Time, calls []Call) []Call {
	m.pushAt = time.Time{}
	targets := m.pickPartners(pushCount, nil)
	request := &memberpb.PushRequest{Sender: m.sender(now), News: &memberpb.News{}}
	if m.urgentConfig {
		request.News.Config = m.inForce
	}
	room := m.news.room(now)
	for _, it := range m.urgent {
		if it.gone {
			continue
		}
		size := it.addTo(request.News, now) * max(1, len(targets))
		if size > room {
			it.removeFrom(request.News)
			m.counters.BudgetDeferred++
			continue
		}
		room -= size
		m.news.spend(size)
		if it.host != nil && it.host.State == StateSuspect && len(targets) < 2*pushCount {
			targets = append(targets, it.host)
		}
	}
	m.urgentConfig = false
	m.urgent = m.urgent[:0]
	for _, target := range targets {
		calls = append(calls, Call{Address: target.PeerAddress, Timeout: pushTimeout, Push: request})
	}
	return calls
}

// maxSends bounds how often one host sends one item: enough that, with all
// hosts sending, the chance that some host never hears it is small.
func (m *Membership) maxSends() int {
	return int(math.Ceil(1.5 * math.Log2(float64(len(m.records)+1))))
}

// sender names this host on a message.
func (m *Membership) sender(now time.Time) *memberpb.HostNews {
	if now.Before(m.fullUntil) {
		return m.self.full()
	}
	return m.self.news(now)
}

// answerWant lets this host's addresses ride on its messages for a while,
// after a peer said that it lacks them.
func (m *Membership) answerWant(now time.Time, want bool) {
	if want {
		m.fullUntil = now.Add(m.config.ProbeEvery * partnerCount)
	}
}

func (m *Membership) configOnly() *memberpb.News {
	return &memberpb.News{Config: m.inForce}
}

// newsFor gathers the news of one message to the receiver: what is believed of
// the receiver if that is bad, queued news, one record in turn, and loads.
func (m *Membership) newsFor(now time.Time, receiver ident.HostID) *memberpb.News {
	news := m.configOnly()
	r := m.records[receiver]
	if r != nil && (r.State == StateSuspect || r.lost()) {
		news.Hosts = append(news.Hosts, r.brief())
	}
	m.news.take(now, news, m.maxSends())
	m.addRefresh(news)
	m.addDoubt(news)
	m.addLoads(news)
	return news
}

// addDoubt tells one dead record in turn, which asks the peer to say better.
//
// The failure: two regions that were split find each other again, thousands of
// refutations travel at once, and a few miss a host on every way. It goes on
// believing a live host dead: at 1,000 hosts the last such view lasted over 7
// minutes, and with this 4. A peer that knows better answers a doubt at once.
func (m *Membership) addDoubt(news *memberpb.News) {
	if len(m.dead) == 0 {
		return
	}
	m.doubt = (m.doubt + 1) % len(m.dead)
	news.Hosts = append(news.Hosts, m.dead[m.doubt].brief())
}

// addCorrections answers what the request said and is known better here.
func (m *Membership) addCorrections(now time.Time, news *memberpb.News) {
	for _, r := range m.corrections {
		news.Hosts = append(news.Hosts, r.news(now))
	}
	m.corrections = m.corrections[:0]
}

// addRefresh repeats one record in turn, so that news which was lost on every
// way is repaired at constant cost.
func (m *Membership) addRefresh(news *memberpb.News) {
	m.refresh++
	if m.refresh >= len(m.sorted) {
		m.refresh = 0
	}
	r := m.sorted[m.refresh]
	if !r.lost() {
		news.Hosts = append(news.Hosts, r.full())
	}
}

// addLoads adds this host's load and the newest readings of its zone.
func (m *Membership) addLoads(news *memberpb.News) {
	news.Loads = append(news.Loads, m.self.load())
	for i := len(m.recentLoads) - 1; i >= 0 && len(news.Loads) <= loadsPerMessage; i-- {
		news.Loads = append(news.Loads, m.recentLoads[i].load())
	}
}

// absorb takes in all that a message says. Each part is ordered by its own
// version, so late and duplicated messages change nothing.
func (m *Membership) absorb(now time.Time, sender *memberpb.HostNews, news *memberpb.News) {
	m.apply(now, sender)
	for _, host := range news.GetHosts() {
		m.apply(now, host)
	}
	for _, load := range news.GetLoads() {
		m.applyLoad(load)
	}
	for _, b := range news.GetBackends() {
		if m.spreadBackend(now, b) {
			m.received.Backends = append(m.received.Backends, BackendUpdate{b.Server, b.Incarnation})
		}
	}
	for _, q := range news.GetSuspects() {
		if m.spreadRequest(now, q) {
			m.received.Suspects = append(m.received.Suspects, suspectFromWire(q))
		}
	}
	m.applyConfig(sender, news.GetConfig())
}

func suspectFromWire(q *memberpb.SuspectRequestNews) SuspectRequestUpdate {
	return SuspectRequestUpdate{
		Fingerprint:       q.Fingerprint,
		Server:            q.Server,
		ServerIncarnation: q.ServerIncarnation,
		InFlight:          int(q.InFlight),
	}
}

// applyConfig reports a newer configuration each time it is heard of until it
// is announced here: the next message is the retry of a pull that failed.
func (m *Membership) applyConfig(sender *memberpb.HostNews, news *memberpb.ConfigNews) {
	if news.GetGeneration() <= m.inForce.GetGeneration() && !storeFromWire(news).newerThan(storeFromWire(m.inForce)) {
		return
	}
	r := m.records[ident.HostID(sender.GetHost())]
	if r == nil {
		return
	}
	m.received.Configs = append(m.received.Configs, ConfigUpdate{
		From:         r.ID,
		FromAddress:  r.PeerAddress,
		Generation:   news.Generation,
		ManifestHash: news.ManifestHash,
		Store:        storeFromWire(news),
	})
}

// applyLoad takes in a newer reading of the same life.
func (m *Membership) applyLoad(news *memberpb.LoadNews) {
	r := m.records[ident.HostID(news.Host)]
	if r == nil || r == m.self || uint32(r.Incarnation) != news.Life || news.Sequence <= r.loadSequence {
		return
	}
	r.loadSequence = news.Sequence
	r.LoadPermille = news.LoadPermille
	m.loadChanged = true
	if r.Zone != m.self.Zone {
		return
	}
	m.recentLoads = append(m.recentLoads, r)
	if len(m.recentLoads) > recentLoadLimit {
		m.recentLoads = append(m.recentLoads[:0], m.recentLoads[1:]...)
	}
}
