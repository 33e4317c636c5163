package member

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// Call is a call for the Agent to make. Exactly one request is set, and the
// result is passed to the Done method of the same name.
type Call struct {
	Address  string        // IP and port
	Timeout  time.Duration // for the whole call
	Probe    *memberpb.ProbeRequest
	ProbeFor *memberpb.ProbeForRequest
	Push     *memberpb.PushRequest // has no Done method
	Sync     *memberpb.SyncRequest
	Recent   *memberpb.RecentRequest
}

const (
	// syncTimeout bounds reading a complete view, some 100 bytes a host.
	syncTimeout = 5 * time.Second
	// pushTimeout bounds an urgent push; probes carry the same updates.
	pushTimeout = time.Second
	// maxConcurrentSyncs is how many hosts are asked for their view at a time.
	maxConcurrentSyncs = 2
	// retryDirectTimeout is the timeout of the direct probe in a retry.
	retryDirectTimeout = 1200 * time.Millisecond
	// finalProbeLead is how long before its timeout a suspect gets a final probe.
	finalProbeLead = 800 * time.Millisecond
	// maxProbesForFinal is the number of pending probes at which final probes are skipped.
	maxProbesForFinal = 8
)

// probe is a pending probe.
type probe struct {
	target      *record // nil: a reconnect attempt, whose failure has no effect
	incarnation ident.Incarnation
	sequence    uint64
	sentAt      time.Time
	indirectAt  time.Time // when other hosts are asked to probe; zero: done or never
	deadline    time.Time // when the probe has failed
	isRetry     bool      // a retry after a probe that failed
}

// Tick does what is due and returns the calls to make.
func (m *Membership) Tick(now time.Time) []Call {
	m.detectPause(now)
	if m.replaced {
		return nil
	}
	var calls []Call
	calls = m.probeExpiringSuspects(now, calls)
	m.expireSuspicions(now)
	calls = m.advanceProbes(now, calls)
	if !now.Before(m.nextProbeAt) {
		m.nextProbeAt = now.Add(m.config.ProbeInterval)
		calls = m.probeNextNeighbor(now, calls)
	}
	if !m.pushAt.IsZero() && !now.Before(m.pushAt) {
		calls = m.pushUrgent(now, calls)
	}
	if !now.Before(m.nextReconnectAt) {
		m.nextReconnectAt = now.Add(m.reconnectDelay())
		calls = m.reconnect(now, calls)
	}
	if m.joining.resyncDue(now, len(m.records)) {
		calls = m.syncFromSeeds(calls)
	}
	calls = m.compareRecentIfDue(now, calls)
	if !now.Before(m.nextMaintenanceAt) {
		m.nextMaintenanceAt = now.Add(maintenanceInterval)
		m.maintain(now)
	}
	return calls
}

// NextDue is when Tick must be called next.
func (m *Membership) NextDue() time.Time {
	if m.replaced {
		return m.lastEntryAt.Add(m.config.ProbeInterval)
	}
	due := m.nextProbeAt
	include := func(at time.Time) {
		if !at.IsZero() && at.Before(due) {
			due = at
		}
	}
	include(m.pushAt)
	include(m.nextReconnectAt)
	include(m.joining.recheckAt)
	if m.joined {
		include(m.recent.nextAt)
	}
	include(m.nextMaintenanceAt)
	for _, p := range m.probes {
		include(p.indirectAt)
		include(p.deadline)
	}
	for _, r := range m.suspects {
		include(r.suspectUntil)
		if !r.finalProbeSent {
			include(r.suspectUntil.Add(-finalProbeLead))
		}
	}
	return due
}

// trackReconnect adds a pending probe for a reconnect attempt, so that its reply
// counts as contact with a peer.
func (m *Membership) trackReconnect(now time.Time) {
	m.counters.Reconnects++
	m.lastSequence++
	m.probes = append(m.probes, &probe{sequence: m.lastSequence, sentAt: now, deadline: now.Add(m.config.ProbeTimeout)})
}

func (m *Membership) probeNextNeighbor(now time.Time, calls []Call) []Call {
	target := m.nextProbeTarget()
	if target == nil {
		return calls
	}
	m.counters.Probes++
	m.lastSequence++
	m.probes = append(m.probes, &probe{
		target:      target,
		incarnation: target.Incarnation,
		sequence:    m.lastSequence,
		sentAt:      now,
		indirectAt:  now.Add(m.config.DirectProbeTimeout),
		deadline:    now.Add(m.config.ProbeTimeout),
	})
	return append(calls, m.probeCall(now, target, m.lastSequence))
}

func (m *Membership) probeCall(now time.Time, target *record, sequence uint64) Call {
	return Call{
		Address: target.PeerAddress,
		Timeout: m.config.ProbeTimeout,
		Probe: &memberpb.ProbeRequest{
			Sender:   m.senderUpdate(now),
			To:       string(target.ID),
			Sequence: sequence,
			News:     m.gossipFor(now, target.ID),
		},
	}
}

// advanceProbes starts the indirect probes that are due and ends failed probes.
func (m *Membership) advanceProbes(now time.Time, calls []Call) []Call {
	pending := m.probes[:0]
	for _, p := range m.probes {
		if !p.indirectAt.IsZero() && !now.Before(p.indirectAt) {
			p.indirectAt = time.Time{}
			calls = m.probeIndirectly(now, p, calls)
		}
		if now.Before(p.deadline) {
			pending = append(pending, p)
			continue
		}
		if m.needsRetry(p) {
			retry := m.retryProbe(now, p)
			pending = append(pending, retry)
			calls = append(calls, m.retryCall(now, retry))
			continue
		}
		m.probeFailed(now, p)
	}
	clear(m.probes[len(pending):])
	m.probes = pending
	return calls
}

// needsRetry reports whether a failed probe is repeated with a longer timeout before
// the host is suspected. In a large fleet short pauses of hosts would otherwise raise
// more suspicions than the gossip budget can refute in time; a small fleet has few,
// and must detect a death sooner.
func (m *Membership) needsRetry(p *probe) bool {
	return p.target != nil && !p.isRetry && p.target.State == StateAlive &&
		p.target.Incarnation == p.incarnation && len(m.records)-len(m.dead) > smallFleetSize
}

func (m *Membership) retryProbe(now time.Time, first *probe) *probe {
	m.lastSequence++
	return &probe{
		target:      first.target,
		incarnation: first.incarnation,
		sequence:    m.lastSequence,
		sentAt:      now,
		indirectAt:  now.Add(retryDirectTimeout),
		deadline:    now.Add(retryDirectTimeout + m.config.ProbeTimeout - m.config.DirectProbeTimeout),
		isRetry:     true,
	}
}

func (m *Membership) retryCall(now time.Time, p *probe) Call {
	call := m.probeCall(now, p.target, p.sequence)
	call.Timeout = p.deadline.Sub(now)
	return call
}

// probeIndirectly asks neighbors to probe the target, so that a lost message or a
// broken link between two hosts raises no suspicion.
func (m *Membership) probeIndirectly(now time.Time, p *probe, calls []Call) []Call {
	for _, helper := range m.randomNeighbors(indirectProbeCount, p.target) {
		calls = append(calls, Call{
			Address: helper.PeerAddress,
			Timeout: m.config.ProbeTimeout - m.config.DirectProbeTimeout,
			ProbeFor: &memberpb.ProbeForRequest{
				Sender:        m.senderUpdate(now),
				Sequence:      p.sequence,
				Target:        string(p.target.ID),
				TargetAddress: p.target.PeerAddress,
				News:          m.configGossip(now),
			},
		})
	}
	return calls
}

// probeFailed suspects the target of a probe that got no reply. A leaving host is
// declared gone at once.
func (m *Membership) probeFailed(now time.Time, p *probe) {
	r := p.target
	if r == nil {
		return // a reconnect attempt
	}
	m.counters.ProbeFailures++
	if r.Incarnation != p.incarnation {
		return
	}
	switch r.State {
	case StateAlive:
		m.counters.Suspicions++
		m.setVersion(now, r, version{r.Incarnation, r.refutation, StateSuspect}, false)
	case StateLeaving:
		m.setVersion(now, r, version{r.Incarnation, r.refutation, StateGone}, false)
	case StateSuspect, StateDead, StateGone:
	}
}

// probeExpiringSuspects probes each suspect once more shortly before its timeout, in
// case its refutation was lost on the way here. The probe reports the suspicion, so the
// reply carries the refutation.
func (m *Membership) probeExpiringSuspects(now time.Time, calls []Call) []Call {
	if len(m.suspects) == 0 {
		return calls
	}
	for _, r := range m.sortedSuspects() {
		if r.finalProbeSent || now.Before(r.suspectUntil.Add(-finalProbeLead)) {
			continue
		}
		r.finalProbeSent = true
		if len(m.probes) >= maxProbesForFinal {
			continue
		}
		m.lastSequence++
		m.probes = append(m.probes, &probe{
			target:      r,
			incarnation: r.Incarnation,
			sequence:    m.lastSequence,
			sentAt:      now,
			deadline:    now.Add(m.config.ProbeTimeout),
		})
		calls = append(calls, m.probeCall(now, r, m.lastSequence))
	}
	return calls
}

// expireSuspicions declares suspects dead whose timeout has passed. While this host
// is isolated, which makes every peer look dead, it does so only if the platform's
// host list confirms the death, and restarts the timeout otherwise.
func (m *Membership) expireSuspicions(now time.Time) {
	if len(m.suspects) == 0 {
		return
	}
	isolated := m.isIsolated(now)
	for _, r := range m.sortedSuspects() {
		if now.Before(r.suspectUntil) {
			continue
		}
		if isolated && !m.hostList.confirmsDeath(now, r, m.config.HostListMaxAge) {
			r.suspectUntil = now.Add(m.suspicionTimeout())
			continue
		}
		m.setVersion(now, r, version{r.Incarnation, r.refutation, StateDead}, false)
	}
}

// ProbeDone handles the result of a probe; a nil reply means that it failed.
func (m *Membership) ProbeDone(now time.Time, sequence uint64, reply *memberpb.ProbeReply) {
	m.detectPause(now)
	if reply == nil {
		m.hastenIndirect(now, sequence)
		return
	}
	m.merge(now, reply.Sender, reply.News)
	m.sendAddressesIfWanted(now, reply.WantAddresses)
	if reply.Sequence != sequence {
		m.counters.LateReplies++
		return
	}
	if i := m.findProbe(sequence); i >= 0 {
		m.confirmFromPeer(m.probes[i].sentAt, reply.Sender, reply.News.GetConfig())
		m.noteStoreContactsOfPeer(m.probes[i].sentAt, reply.News.GetConfig())
	}
	m.completeProbe(now, sequence, reply.Sender)
}

// completeProbe ends the probe if the reply is from the incarnation that was probed.
func (m *Membership) completeProbe(now time.Time, sequence uint64, sender *memberpb.HostNews) {
	i := m.findProbe(sequence)
	if i < 0 {
		m.counters.LateReplies++
		return
	}
	m.notePeerContact(now)
	p := m.probes[i]
	if p.target != nil && !isFromIncarnation(sender, p.target.ID, p.incarnation) {
		return
	}
	m.removeProbe(i)
}

func isFromIncarnation(sender *memberpb.HostNews, id ident.HostID, incarnation ident.Incarnation) bool {
	return sender.GetHost() == string(id) && sender.GetIncarnation() >= uint64(incarnation)
}

// hastenIndirect starts the indirect probes at once when the direct probe fails
// before its timeout.
func (m *Membership) hastenIndirect(now time.Time, sequence uint64) {
	i := m.findProbe(sequence)
	if i >= 0 && !m.probes[i].isRetry && !m.probes[i].indirectAt.IsZero() && now.Before(m.probes[i].indirectAt) {
		m.probes[i].indirectAt = now
	}
}

// ProbeForDone handles the result of an indirect probe; a nil reply means that it failed.
func (m *Membership) ProbeForDone(now time.Time, sequence uint64, reply *memberpb.ProbeForReply) {
	m.detectPause(now)
	if reply == nil {
		return
	}
	m.merge(now, reply.Sender, reply.News)
	i := m.findProbe(sequence)
	if i < 0 || reply.Sequence != sequence {
		m.counters.LateReplies++
		return
	}
	m.notePeerContact(now)
	if reply.Reached {
		m.removeProbe(i)
	}
}

func (m *Membership) findProbe(sequence uint64) int {
	for i, p := range m.probes {
		if p.sequence == sequence {
			return i
		}
	}
	return -1
}

func (m *Membership) removeProbe(i int) {
	m.probes = append(m.probes[:i], m.probes[i+1:]...)
}

// ReportUnreachable has a host that did not answer traffic probed next.
func (m *Membership) ReportUnreachable(now time.Time, id ident.HostID) {
	m.detectPause(now)
	r := m.records[id]
	if r == nil || r == m.self || r.isDead() {
		return
	}
	m.priorityTarget = r
	if probeAt := now.Add(m.config.ProbeInterval / 4); probeAt.Before(m.nextProbeAt) {
		m.nextProbeAt = probeAt
	}
}
