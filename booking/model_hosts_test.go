package booking

import (
	"fmt"
	"slices"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// model explores.
type model struct {
	options modelOptions
	visited map[string]bool
	stack   []*modelState
}

// explore visits every reachable state, or stops at the first violation.
func explore(options modelOptions) (states int, violation string) {
	m := &model{options: options, visited: make(map[string]bool)}
	m.push(newModelState(options))
	for len(m.stack) > 0 {
		s := m.stack[len(m.stack)-1]
		m.stack = m.stack[:len(m.stack)-1]
		if s.violation != "" {
			return len(m.visited), s.violation
		}
		m.successors(s)
	}
	return len(m.visited), ""
}

func (m *model) push(s *modelState) {
	key := s.key()
	if s.violation == "" && m.visited[key] {
		return
	}
	m.visited[key] = true
	m.stack = append(m.stack, s)
}

// step makes one successor by changing a copy.
func (m *model) step(s *modelState, change func(*modelState)) {
	next := s.clone()
	change(next)
	next.check()
	m.push(next)
}

// check holds the promises in every state.
func (s *modelState) check() {
	if s.executions > 1 {
		s.violation = "the booking ran twice"
	}
	for i, send := range s.sends {
		if send.phase == sendAnswered && send.code.NotRun() && send.caused > 0 {
			s.violation = fmt.Sprintf("sending %d was told %s and ran", i, send.code)
		}
	}
}

func (m *model) successors(s *modelState) {
	for i := range s.sends {
		m.stepSend(s, uint8(i))
	}
	for i := range s.messages {
		m.stepMessage(s, i)
	}
	for h := range s.hosts {
		m.stepHost(s, uint8(h))
	}
	m.stepOutside(s)
}

// stepOutside is what happens beyond the hosts: late executions and writes.
func (m *model) stepOutside(s *modelState) {
	for i := range s.orphans {
		m.step(s, func(n *modelState) {
			n.execute(n.orphans[i])
			n.orphans = slices.Delete(n.orphans, i, i+1)
		})
	}
	for i := range s.pending {
		m.step(s, func(n *modelState) {
			n.create(n.pending[i])
			n.pending = slices.Delete(n.pending, i, i+1)
		})
	}
}

func (s *modelState) execute(cause uint8) {
	s.executions++
	s.sends[cause].caused++
}

// create is the platform's create-if-absent.
func (s *modelState) create(t modelTicket) bool {
	if s.claim.life != 0 {
		return false
	}
	s.claim = t
	return true
}

// stepHost is a crash, a stop, an execution or the end of a run.
func (m *model) stepHost(s *modelState, h uint8) {
	if s.crashes > 0 {
		m.step(s, func(n *modelState) { m.crash(n, h) })
	}
	if m.options.stop && h == 0 && !s.hosts[0].ledger.stopping {
		m.step(s, func(n *modelState) { n.hosts[0].ledger.stopping = true })
	}
	if m.options.stop && h == 0 && s.records == nil && s.hosts[0].life == 1 {
		m.handOver(s)
	}
	if s.busy && h == 0 && s.hosts[0].life == 1 {
		m.step(s, func(n *modelState) {
			n.busy = false
			n.hosts[0].ledger.finish(1, modelResult(result.Complete))
		})
	}
	if s.others > 0 && h == 0 {
		m.step(s, m.other)
	}
	for i, run := range s.hosts[h].runs {
		if !run.executed {
			m.step(s, func(n *modelState) {
				n.hosts[h].runs[i].executed = true
				n.execute(run.cause)
			})
			m.step(s, func(n *modelState) { m.finish(n, h, i, result.BackendsRefused) })
		} else {
			m.step(s, func(n *modelState) { m.finish(n, h, i, result.Complete) })
		}
		m.step(s, func(n *modelState) { m.finish(n, h, i, result.OutcomeNotKnown) })
	}
}

// handOver gives host 0's records to the others, as soon as its ledger allows.
func (m *model) handOver(s *modelState) {
	l := cloneLedger(s.hosts[0].ledger)
	if m.options.broken == guardHandOver {
		l.stopping = true
	}
	if records, ok := l.handOver(maxHandOverBytes); ok {
		m.step(s, func(n *modelState) { n.records = &records })
	}
}

// crash ends a life: its memory is gone, its handlers' connections break, and
// what it had sent to backend servers may still execute.
func (m *model) crash(n *modelState, h uint8) {
	n.crashes--
	for _, run := range n.hosts[h].runs {
		if !run.executed {
			n.orphans = append(n.orphans, run.cause)
		}
	}
	n.hosts[h] = modelHost{life: n.hosts[h].life + 1, ledger: newLedger(m.options.entries, m.options.bytes)}
	for i := range n.sends {
		send := &n.sends[i]
		if send.host == h && send.phase != sendNew && send.phase != sendAnswered {
			send.answer(result.OutcomeNotKnown)
		}
	}
}

// other is another booking at host 0, whole in one step.
func (m *model) other(n *modelState) {
	n.others--
	l := n.hosts[0].ledger
	floor := l.floor
	sequence := l.issue()
	if l.begin(sequence, ident.RequestID{0xff}, Digest{0xff}).action == actionRun {
		l.finish(sequence, modelResult(result.Complete))
	}
	if m.options.broken == guardRaise {
		l.floor = floor
	}
}

// modelResult has an answer of one byte where there is one.
func modelResult(code result.Code) Result {
	if code == result.Complete {
		return Result{Code: code, Answer: []byte{1}}
	}
	return Result{Code: code}
}

// finish ends a run and answers the sendings that wait for it.
func (m *model) finish(n *modelState, h uint8, i int, code result.Code) {
	host := &n.hosts[h]
	run := host.runs[i]
	host.runs = slices.Delete(host.runs, i, i+1)
	if code == result.OutcomeNotKnown && !run.executed {
		n.orphans = append(n.orphans, run.cause) // given up, and still under way
	}
	e := host.ledger.entries[run.sequence]
	if e == nil {
		return
	}
	waiting := slices.Clone(e.waiting)
	recorded := code
	if m.options.broken == guardUnknownFinal && code == result.OutcomeNotKnown {
		recorded = result.BackendsRefused
	}
	host.ledger.finish(run.sequence, modelResult(recorded))
	if m.options.broken == guardTold {
		e.told = nil
	}
	for _, id := range waiting {
		m.deliver(n, h, id[0]-1, code)
	}
}

// deliver answers a sending that host h has decided about.
func (m *model) deliver(n *modelState, h, i uint8, code result.Code) {
	n.decide(code)
	send := &n.sends[i]
	if send.host == h && send.phase == sendWaitHere {
		send.answer(code)
		return
	}
	if len(n.messages) < 4 {
		n.messages = append(n.messages, modelMessage{reply: true, sending: i, code: code})
	}
}

// decide holds the promise about the whole booking: the issuer says "not run"
// only while no sending of it has executed.
func (s *modelState) decide(code result.Code) {
	if code.NotRun() && s.executions > 0 {
		s.violation = fmt.Sprintf("the issuer says %s of a booking that ran", code)
	}
}

func (send *modelSend) answer(code result.Code) {
	send.phase = sendAnswered
	send.code = code
}

// stepMessage delivers, loses or duplicates a message between hosts.
func (m *model) stepMessage(s *modelState, i int) {
	message := s.messages[i]
	arrive := func(n *modelState) {
		if message.reply {
			if send := &n.sends[message.sending]; send.phase == sendWaitForward {
				send.answer(message.code)
			}
			return
		}
		m.begin(n, message.ticket.host, message.ticket, message.sending)
	}
	remove := func(n *modelState) { n.messages = slices.Delete(n.messages, i, i+1) }
	m.step(s, remove) // lost
	m.step(s, func(n *modelState) {
		remove(n)
		arrive(n)
	})
	if s.duplicates > 0 {
		m.step(s, func(n *modelState) {
			n.duplicates--
			arrive(n)
		})
	}
}

// begin is the arrival of a sending at the host that its ticket names.
func (m *model) begin(n *modelState, h uint8, t modelTicket, i uint8) {
	host := &n.hosts[h]
	if host.life != t.life && m.options.broken != guardLife {
		m.deliver(n, h, i, result.IssuerGone)
		return
	}
	l := host.ledger
	floor, stopping := l.floor, l.stopping
	if m.options.broken == guardFloor {
		l.floor = 0
	}
	if m.options.broken == guardStopping && stopping {
		// The refusal is said, and a run begins all the same.
		l.stopping = false
	}
	next := l.begin(t.sequence, sendingID(i), Digest{1})
	l.floor, l.stopping = max(floor, l.floor), stopping
	switch next.action {
	case actionRun:
		host.runs = append(host.runs, modelRun{sequence: t.sequence, cause: i})
		if m.options.broken == guardBeforeRun {
			delete(l.entries, t.sequence)
			l.order = nil
		}
		if m.options.broken == guardStopping && stopping {
			m.deliver(n, h, i, result.Draining)
		}
	case actionWait:
	default:
		m.deliver(n, h, i, m.refusal(next.result.Code, t, l))
	}
}

// refusal is the code of a step that starts nothing.
func (m *model) refusal(code result.Code, t modelTicket, l *ledger) result.Code {
	full := code == result.OutcomeNotKnown && t.sequence > l.floor && l.entries[t.sequence] == nil
	if m.options.broken == guardFull && full {
		return result.Overloaded
	}
	return code
}
