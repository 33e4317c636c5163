package member

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// ServeProbe answers a probe. It returns nil if the probe is meant for another host
// that had this address, or if this process has departed or was replaced.
func (m *Membership) ServeProbe(now time.Time, request *memberpb.ProbeRequest) *memberpb.ProbeReply {
	m.detectPause(now)
	if !m.accepts(request.To) {
		return nil
	}
	lacksAddresses := m.lacksAddresses(request.Sender)
	m.corrections = m.corrections[:0]
	m.merge(now, request.Sender, request.News)
	reply := &memberpb.ProbeReply{
		Sender:        m.senderUpdate(now),
		Sequence:      request.Sequence,
		WantAddresses: lacksAddresses,
		News:          m.gossipFor(now, ident.HostID(request.Sender.GetHost())),
	}
	m.addCorrections(now, reply.News)
	if request.WantAddresses {
		reply.Sender = m.self.fullUpdate()
	}
	return reply
}

func (m *Membership) accepts(target string) bool {
	return !m.replaced && !m.departed && (target == "" || target == string(m.self.ID))
}

// lacksAddresses reports whether the addresses of the sender's incarnation are unknown.
func (m *Membership) lacksAddresses(sender *memberpb.HostNews) bool {
	if sender.GetPeerAddress() != "" || sender.GetHost() == string(m.self.ID) {
		return false
	}
	r := m.records[ident.HostID(sender.GetHost())]
	return r == nil || uint64(r.Incarnation) < sender.GetIncarnation()
}

// RelayProbe returns the probe that a peer asked for, to be sent to the request's
// target address. It returns nil if this process has departed or was replaced.
func (m *Membership) RelayProbe(now time.Time, request *memberpb.ProbeForRequest) *memberpb.ProbeRequest {
	m.detectPause(now)
	if !m.accepts("") {
		return nil
	}
	m.merge(now, request.Sender, request.News)
	return &memberpb.ProbeRequest{
		Sender: m.senderUpdate(now),
		To:     request.Target,
		News:   m.gossipFor(now, ident.HostID(request.Target)),
	}
}

// RelayDone returns the answer to the peer that asked; a nil reply means that the
// target did not answer.
func (m *Membership) RelayDone(now time.Time, request *memberpb.ProbeForRequest, reply *memberpb.ProbeReply) *memberpb.ProbeForReply {
	m.detectPause(now)
	answer := &memberpb.ProbeForReply{
		Sender:   m.senderUpdate(now),
		Sequence: request.Sequence,
		News:     m.configGossip(now),
	}
	if reply == nil {
		return answer
	}
	m.merge(now, reply.Sender, reply.News)
	m.notePeerContact(now)
	answer.Reached = reply.Sender.GetHost() == request.Target
	answer.News.Hosts = append(answer.News.Hosts, reply.Sender)
	return answer
}

// ServePush applies urgent updates.
func (m *Membership) ServePush(now time.Time, request *memberpb.PushRequest) *memberpb.PushReply {
	m.detectPause(now)
	if !m.accepts("") {
		return nil
	}
	m.merge(now, request.Sender, request.News)
	return &memberpb.PushReply{}
}

// ServeSync answers with the complete view and the recent updates of other kinds.
func (m *Membership) ServeSync(now time.Time, request *memberpb.SyncRequest) *memberpb.SyncReply {
	m.detectPause(now)
	if !m.accepts("") {
		return nil
	}
	m.merge(now, request.Sender, nil)
	gossip := m.configGossip(now)
	for _, r := range m.sorted {
		gossip.Hosts = append(gossip.Hosts, r.fullUpdate())
	}
	m.eachRecent(now, func(_ uint64, update recentUpdate) { update.addTo(gossip) })
	return &memberpb.SyncReply{Sender: m.self.fullUpdate(), News: gossip}
}

// SyncDone handles the result of a sync; a nil reply means that it failed.
func (m *Membership) SyncDone(now time.Time, reply *memberpb.SyncReply) {
	m.detectPause(now)
	if reply == nil || reply.Sender.GetHost() == string(m.self.ID) {
		return
	}
	m.notePeerContact(now)
	m.merge(now, reply.Sender, reply.News)
	if !m.joined {
		m.joining.begin(now, len(m.records))
		m.recent.begin(now)
	}
	m.joined = true
	m.fillNeighbors()
}
