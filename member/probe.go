package member

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
)

// Call is one call for the shell to make. Exactly one request is set, and the
// end of the call comes back through the Done method of the same name.
type Call struct {
	Address  string        // IP and port
	Timeout  time.Duration // for the whole call
	Probe    *memberpb.ProbeRequest
	ProbeFor *memberpb.ProbeForRequest
	Push     *memberpb.PushRequest // its end is of no interest
	Sync     *memberpb.SyncRequest
}

const (
	// syncTimeout bounds reading a whole view, about 300 KB at 3,400 hosts.
	syncTimeout = 5 * time.Second
	// pushTimeout bounds an urgent push; the probes carry the news as well.
	pushTimeout = time.Second
	// syncsAtOnce is how many seeds a starting host asks at a time.
	syncsAtOnce = 2
	// secondAskAfter is how long the second probe waits before others are asked.
	// With the first one and their time it is 2.1 s.
	secondAskAfter = 1200 * time.Millisecond
	// lastCheckBefore the end of its time a suspect is asked itself.
	lastCheckBefore = 800 * time.Millisecond
	// checksAtOnce bounds the probes in flight up to which suspects are asked.
	checksAtOnce = 8
)

// probe is one probe whose answer is awaited.
type probe struct {
	target   *record // nil: a try to reconnect, without a verdict
	life     ident.Incarnation
	sequence uint64
	askAt    time.Time // then others are asked to probe; zero: they were
	endAt    time.Time // then the verdict is spoken
	second   bool      // after a first one without an answer
}

// Tick does what is due at now and returns the calls to make.
func (m *Membership) Tick(now time.Time) []Call {
	m.enter(now)
	if m.replaced {
		return nil
	}
	var calls []Call
	calls = m.checkSuspects(now, calls)
	m.expireSuspicions(now)
	calls = m.followProbes(now, calls)
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.config.ProbeEvery)
		calls = m.probeNext(now, calls)
	}
	if !m.pushAt.IsZero() && !now.Before(m.pushAt) {
		calls = m.push(now, calls)
	}
	if !now.Before(m.nextReconnect) {
		m.nextReconnect = now.Add(m.reconnectPause())
		calls = m.reconnect(now, calls)
	}
	if m.join.dueAgain(now, len(m.records)) {
		calls = m.syncAnywhere(calls)
	}
	if !now.Before(m.nextChores) {
		m.nextChores = now.Add(choresEvery)
		m.chores(now)
	}
	return calls
}

// NextDue is when Tick has to be called next, at the latest.
func (m *Membership) NextDue() time.Time {
	if m.replaced {
		return m.turnAt.Add(m.config.ProbeEvery)
	}
	due := m.nextProbe
	sooner := func(at time.Time) {
		if !at.IsZero() && at.Before(due) {
			due = at
		}
	}
	sooner(m.pushAt)
	sooner(m.nextReconnect)
	sooner(m.join.again)
	sooner(m.nextChores)
	for _, p := range m.probes {
		sooner(p.askAt)
		sooner(p.endAt)
	}
	for _, r := range m.suspect {
		sooner(r.suspectUntil)
		if !r.checked {
			sooner(r.suspectUntil.Add(-lastCheckBefore))
		}
	}
	return due
}

// awaitReconnect remembers a try to reconnect, so that its answer counts.
func (m *Membership) awaitReconnect(now time.Time) {
	m.counters.Reconnects++
	m.sequence++
	m.probes = append(m.probes, &probe{sequence: m.sequence, endAt: now.Add(m.config.VerdictAfter)})
}

func (m *Membership) probeNext(now time.Time, calls []Call) []Call {
	target := m.nextPartner()
	if target == nil {
		return calls
	}
	m.counters.Probes++
	m.sequence++
	m.probes = append(m.probes, &probe{
		target:   target,
		life:     target.Incarnation,
		sequence: m.sequence,
		askAt:    now.Add(m.config.DirectTimeout),
		endAt:    now.Add(m.config.VerdictAfter),
	})
	return append(calls, m.probeCall(now, target, m.sequence))
}

func (m *Membership) probeCall(now time.Time, target *record, sequence uint64) Call {
	return Call{
		Address: target.PeerAddress,
		Timeout: m.config.VerdictAfter,
		Probe: &memberpb.ProbeRequest{
			Sender:   m.sender(now),
			To:       string(target.ID),
			Sequence: sequence,
			News:     m.newsFor(now, target.ID),
		},
	}
}

// followProbes asks others about silent partners and speaks the verdicts.
func (m *Membership) followProbes(now time.Time, calls []Call) []Call {
	waiting := m.probes[:0]
	for _, p := range m.probes {
		if !p.askAt.IsZero() && !now.Before(p.askAt) {
			p.askAt = time.Time{}
			calls = m.askOthers(now, p, calls)
		}
		if now.Before(p.endAt) {
			waiting = append(waiting, p)
			continue
		}
		if m.deservesSecond(p) {
			second := m.secondProbe(now, p)
			waiting = append(waiting, second)
			calls = append(calls, m.secondCall(now, second))
			continue
		}
		m.verdict(now, p)
	}
	clear(m.probes[len(waiting):])
	m.probes = waiting
	return calls
}

// deservesSecond: in a fleet above smallFleet a silent host is probed once
// more, for longer, before it is suspected.
//
// The failure: suspicions and their refutations go to every host, so their
// number grows with the fleet, and each host's budget of news does not. With 200
// hosts, 2% loss and 5% of the hosts paused for 2 s there were 7 suspicions a
// second, refutations came late for want of budget, and live hosts were
// declared dead 1,035 times in an hour. A pause of 2 s is over before the
// second probe ends, so it raises no suspicion. A small fleet, where a death
// has to be known sooner, has few enough suspicions.
func (m *Membership) deservesSecond(p *probe) bool {
	return p.target != nil && !p.second && p.target.State == StateAlive &&
		p.target.Incarnation == p.life && len(m.records)-len(m.dead) > smallFleet
}

func (m *Membership) secondProbe(now time.Time, first *probe) *probe {
	m.sequence++
	return &probe{
		target:   first.target,
		life:     first.life,
		sequence: m.sequence,
		askAt:    now.Add(secondAskAfter),
		endAt:    now.Add(secondAskAfter + m.config.VerdictAfter - m.config.DirectTimeout),
		second:   true,
	}
}

func (m *Membership) secondCall(now time.Time, p *probe) Call {
	call := m.probeCall(now, p.target, p.sequence)
	call.Timeout = p.endAt.Sub(now)
	return call
}

// askOthers has the target probed from elsewhere: a lost message or a broken
// link between two hosts is no reason to suspect either.
func (m *Membership) askOthers(now time.Time, p *probe, calls []Call) []Call {
	for _, helper := range m.pickPartners(indirectCount, p.target) {
		calls = append(calls, Call{
			Address: helper.PeerAddress,
			Timeout: m.config.VerdictAfter - m.config.DirectTimeout,
			ProbeFor: &memberpb.ProbeForRequest{
				Sender:        m.sender(now),
				Sequence:      p.sequence,
				Target:        string(p.target.ID),
				TargetAddress: p.target.PeerAddress,
				News:          m.configOnly(),
			},
		})
	}
	return calls
}

// verdict ends a probe that nobody got an answer to.
func (m *Membership) verdict(now time.Time, p *probe) {
	r := p.target
	if r == nil {
		return // a try to reconnect
	}
	m.counters.ProbeFailures++
	if r.Incarnation != p.life {
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

// checkSuspects asks a suspect itself once more, before its time runs out.
//
// The failure: a host refutes, and by bad luck none of the messages that carry
// the refutation reaches this host, which alone declares it dead: once in an
// hour at 50 hosts with 2% loss and 5% of the hosts paused. The check carries
// the suspicion, so its answer carries the refutation. The number of checks at
// one time is bounded: when many hosts are suspected, they are not all wrong.
func (m *Membership) checkSuspects(now time.Time, calls []Call) []Call {
	if len(m.suspect) == 0 {
		return calls
	}
	for _, r := range m.suspectsInOrder() {
		if r.checked || now.Before(r.suspectUntil.Add(-lastCheckBefore)) {
			continue
		}
		r.checked = true
		if len(m.probes) >= checksAtOnce {
			continue
		}
		m.sequence++
		m.probes = append(m.probes, &probe{
			target:   r,
			life:     r.Incarnation,
			sequence: m.sequence,
			endAt:    now.Add(m.config.VerdictAfter),
		})
		calls = append(calls, m.probeCall(now, r, m.sequence))
	}
	return calls
}

// expireSuspicions turns suspicions that nobody refuted into deaths.
//
// The failure: this host's own link breaks, and to it everyone looks dead. It
// shows as silence from every peer at once. While that lasts a death is decided
// only if the platform's host list agrees; else the suspects get their full
// time again once a peer is heard.
func (m *Membership) expireSuspicions(now time.Time) {
	if len(m.suspect) == 0 {
		return
	}
	isolated := m.isolated(now)
	for _, r := range m.suspectsInOrder() {
		if now.Before(r.suspectUntil) {
			continue
		}
		if isolated && !m.list.confirmsLoss(now, r, m.config.ListFreshFor) {
			r.suspectUntil = now.Add(m.suspicionTime())
			continue
		}
		m.setVersion(now, r, version{r.Incarnation, r.refutation, StateDead}, false)
	}
}

// ProbeDone takes the end of a probe; a nil reply means that none came.
func (m *Membership) ProbeDone(now time.Time, sequence uint64, reply *memberpb.ProbeReply) {
	m.enter(now)
	if reply == nil {
		m.hastenAsking(now, sequence)
		return
	}
	m.absorb(now, reply.Sender, reply.News)
	m.answerWant(now, reply.WantAddresses)
	if reply.Sequence != sequence {
		m.counters.LateReplies++
		return
	}
	m.answered(now, sequence, reply.Sender)
}

// answered ends the probe if the answer is from the life that was probed. A
// late duplicate finds no probe and proves nothing.
func (m *Membership) answered(now time.Time, sequence uint64, sender *memberpb.HostNews) {
	i := m.findProbe(sequence)
	if i < 0 {
		m.counters.LateReplies++
		return
	}
	m.heardPeer(now)
	p := m.probes[i]
	if p.target != nil && !isLife(sender, p.target.ID, p.life) {
		return
	}
	m.dropProbe(i)
}

func isLife(sender *memberpb.HostNews, id ident.HostID, life ident.Incarnation) bool {
	return sender.GetHost() == string(id) && sender.GetIncarnation() >= uint64(life)
}

// hastenAsking does not wait for the timeout of a probe that failed at once.
func (m *Membership) hastenAsking(now time.Time, sequence uint64) {
	i := m.findProbe(sequence)
	if i >= 0 && !m.probes[i].second && !m.probes[i].askAt.IsZero() && now.Before(m.probes[i].askAt) {
		m.probes[i].askAt = now
	}
}

// ProbeForDone takes the end of an indirect probe; nil means that none came.
func (m *Membership) ProbeForDone(now time.Time, sequence uint64, reply *memberpb.ProbeForReply) {
	m.enter(now)
	if reply == nil {
		return
	}
	m.absorb(now, reply.Sender, reply.News)
	i := m.findProbe(sequence)
	if i < 0 || reply.Sequence != sequence {
		m.counters.LateReplies++
		return
	}
	m.heardPeer(now)
	if reply.Reached {
		m.dropProbe(i)
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

func (m *Membership) dropProbe(i int) {
	m.probes = append(m.probes[:i], m.probes[i+1:]...)
}

// ReportUnreachable is the word of traffic that a host did not answer: it is
// probed next, out of turn.
func (m *Membership) ReportUnreachable(now time.Time, id ident.HostID) {
	m.enter(now)
	r := m.records[id]
	if r == nil || r == m.self || r.lost() {
		return
	}
	m.urgentProbe = r
	if soon := now.Add(m.config.ProbeEvery / 4); soon.Before(m.nextProbe) {
		m.nextProbe = soon
	}
}
