package member

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// ServeProbe answers a probe. It returns nil when the probe is meant for
// another host that had this address, or when this process was replaced.
func (m *Membership) ServeProbe(now time.Time, request *memberpb.ProbeRequest) *memberpb.ProbeReply {
	m.enter(now)
	if !m.serves(request.To) {
		return nil
	}
	want := m.lacks(request.Sender)
	m.corrections = m.corrections[:0]
	m.absorb(now, request.Sender, request.News)
	reply := &memberpb.ProbeReply{
		Sender:        m.sender(now),
		Sequence:      request.Sequence,
		WantAddresses: want,
		News:          m.newsFor(now, ident.HostID(request.Sender.GetHost())),
	}
	m.addCorrections(now, reply.News)
	if request.WantAddresses {
		reply.Sender = m.self.full()
	}
	return reply
}

func (m *Membership) serves(to string) bool {
	return !m.replaced && !m.departed && (to == "" || to == string(m.self.ID))
}

// lacks reports that the sender's life is not known here.
func (m *Membership) lacks(sender *memberpb.HostNews) bool {
	if sender.GetPeerAddress() != "" || sender.GetHost() == string(m.self.ID) {
		return false
	}
	r := m.records[ident.HostID(sender.GetHost())]
	return r == nil || uint64(r.Incarnation) < sender.GetIncarnation()
}

// RelayProbe makes the probe that another host asked for, to be sent to the
// request's target address. It returns nil when this process was replaced.
func (m *Membership) RelayProbe(now time.Time, request *memberpb.ProbeForRequest) *memberpb.ProbeRequest {
	m.enter(now)
	if !m.serves("") {
		return nil
	}
	m.absorb(now, request.Sender, request.News)
	return &memberpb.ProbeRequest{
		Sender: m.sender(now),
		To:     request.Target,
		News:   m.newsFor(now, ident.HostID(request.Target)),
	}
}

// RelayDone makes the answer to the host that asked; a nil reply means that
// the target gave none.
func (m *Membership) RelayDone(now time.Time, request *memberpb.ProbeForRequest, reply *memberpb.ProbeReply) *memberpb.ProbeForReply {
	m.enter(now)
	answer := &memberpb.ProbeForReply{
		Sender:   m.sender(now),
		Sequence: request.Sequence,
		News:     m.configOnly(),
	}
	if reply == nil {
		return answer
	}
	m.absorb(now, reply.Sender, reply.News)
	m.heardPeer(now)
	answer.Reached = reply.Sender.GetHost() == request.Target
	answer.News.Hosts = append(answer.News.Hosts, reply.Sender)
	return answer
}

// ServePush takes in urgent news.
func (m *Membership) ServePush(now time.Time, request *memberpb.PushRequest) *memberpb.PushReply {
	m.enter(now)
	if !m.serves("") {
		return nil
	}
	m.absorb(now, request.Sender, request.News)
	return &memberpb.PushReply{}
}

// ServeSync answers with the whole view and the recent news of other kinds.
func (m *Membership) ServeSync(now time.Time, request *memberpb.SyncRequest) *memberpb.SyncReply {
	m.enter(now)
	if !m.serves("") {
		return nil
	}
	m.absorb(now, request.Sender, nil)
	news := m.configOnly()
	for _, r := range m.sorted {
		news.Hosts = append(news.Hosts, r.full())
	}
	m.backends.each(func(b *memberpb.BackendNews) { news.Backends = append(news.Backends, b) })
	m.requests.each(func(q *memberpb.SuspectRequestNews) { news.Suspects = append(news.Suspects, q) })
	return &memberpb.SyncReply{Sender: m.self.full(), News: news}
}

// SyncDone takes the end of a sync; a nil reply means that none came.
func (m *Membership) SyncDone(now time.Time, reply *memberpb.SyncReply) {
	m.enter(now)
	if reply == nil || reply.Sender.GetHost() == string(m.self.ID) {
		return
	}
	m.heardPeer(now)
	m.absorb(now, reply.Sender, reply.News)
	if !m.joined {
		m.join.enter(now, len(m.records))
	}
	m.joined = true
	m.fillPartners()
}
