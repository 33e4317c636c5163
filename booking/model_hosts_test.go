package booking

import (
	"fmt"
	"slices"

	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// model is one exploration of the state space.
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

// step adds the successor that results from a change of s.
func (m *model) step(s *modelState, change func(*modelState)) {
	next := s.clone()
	change(next)
	next.check()
	m.push(next)
}

// check checks the invariants of a state.
func (s *modelState) check() {
	if s.executions > 1 {
		s.violation = "the booking ran twice"
	}
	for i, r := range s.requests {
		if r.phase == requestAnswered && r.code.NotRun() && r.ownExecutions > 0 {
			s.violation = fmt.Sprintf("request %d was answered %s but ran", i, r.code)
		}
	}
}

func (m *model) successors(s *modelState) {
	for i := range s.requests {
		m.stepRequest(s, uint8(i))
	}
	for i := range s.messages {
		m.stepMessage(s, i)
	}
	for h := range s.hosts {
		m.stepHost(s, uint8(h))
	}
	m.stepExternal(s)
}

// stepExternal explores delayed executions by backend servers and delayed writes
// to the store.
func (m *model) stepExternal(s *modelState) {
	for i := range s.abandoned {
		m.step(s, func(n *modelState) {
			n.execute(n.abandoned[i])
			n.abandoned = slices.Delete(n.abandoned, i, i+1)
		})
	}
	for i := range s.delayedClaims {
		m.step(s, func(n *modelState) {
			n.create(n.delayedClaims[i])
			n.delayedClaims = slices.Delete(n.delayedClaims, i, i+1)
		})
	}
}

func (s *modelState) execute(request uint8) {
	s.executions++
	s.requests[request].ownExecutions++
}

// create writes the claim if it is absent.
func (s *modelState) create(t modelTicket) bool {
	if s.claim.incarnation != 0 {
		return false
	}
	s.claim = t
	return true
}

// stepHost explores a crash, a stop, executions and the ends of runs.
func (m *model) stepHost(s *modelState, h uint8) {
	if s.crashes > 0 {
		m.step(s, func(n *modelState) { m.crash(n, h) })
	}
	if m.options.stop && h == 0 && !s.hosts[0].ticketTable.stopping {
		m.step(s, func(n *modelState) { n.hosts[0].ticketTable.stopping = true })
	}
	if m.options.stop && h == 0 && s.records == nil && s.hosts[0].incarnation == 1 {
		m.handOver(s)
	}
	if s.busy && h == 0 && s.hosts[0].incarnation == 1 {
		m.step(s, func(n *modelState) {
			n.busy = false
			n.hosts[0].ticketTable.finish(1, modelResult(result.Complete))
		})
	}
	if s.otherBookings > 0 && h == 0 {
		m.step(s, m.runOtherBooking)
	}
	for i, run := range s.hosts[h].runs {
		if !run.executed {
			m.step(s, func(n *modelState) {
				n.hosts[h].runs[i].executed = true
				n.execute(run.request)
			})
			m.step(s, func(n *modelState) { m.finish(n, h, i, result.BackendsRefused) })
		} else {
			m.step(s, func(n *modelState) { m.finish(n, h, i, result.Complete) })
		}
		m.step(s, func(n *modelState) { m.finish(n, h, i, result.OutcomeNotKnown) })
	}
}

// handOver hands over the records of host 0 if its table allows it.
func (m *model) handOver(s *modelState) {
	table := cloneTicketTable(s.hosts[0].ticketTable)
	if m.options.broken == ruleHandOver {
		table.stopping = true
	}
	if records, ok := table.handOver(maxHandOverBytes); ok {
		m.step(s, func(n *modelState) { n.records = &records })
	}
}

// crash starts a new incarnation without records. Pending requests get an
// unknown outcome, and requests sent to backend servers may still execute.
func (m *model) crash(n *modelState, h uint8) {
	n.crashes--
	for _, run := range n.hosts[h].runs {
		if !run.executed {
			n.abandoned = append(n.abandoned, run.request)
		}
	}
	n.hosts[h] = modelHost{incarnation: n.hosts[h].incarnation + 1, ticketTable: newTicketTable(m.options.entries, m.options.bytes)}
	for i := range n.requests {
		r := &n.requests[i]
		if r.host == h && r.phase != requestNew && r.phase != requestAnswered {
			r.answer(result.OutcomeNotKnown)
		}
	}
}

// runOtherBooking runs another booking on host 0 in one step.
func (m *model) runOtherBooking(n *modelState) {
	n.otherBookings--
	table := n.hosts[0].ticketTable
	floor := table.floor
	sequence := table.issue()
	if table.begin(sequence, ident.RequestID{0xff}, Digest{0xff}).action == actionRun {
		table.finish(sequence, modelResult(result.Complete))
	}
	if m.options.broken == ruleEvictionRaisesFloor {
		table.floor = floor
	}
}

// modelResult returns a result with an answer of one byte, if it has an answer.
func modelResult(code result.Code) Result {
	if code == result.Complete {
		return Result{Code: code, Answer: []byte{1}}
	}
	return Result{Code: code}
}

// finish ends a run and answers the requests that wait for it.
func (m *model) finish(n *modelState, h uint8, i int, code result.Code) {
	host := &n.hosts[h]
	run := host.runs[i]
	host.runs = slices.Delete(host.runs, i, i+1)
	if code == result.OutcomeNotKnown && !run.executed {
		n.abandoned = append(n.abandoned, run.request) // may still execute
	}
	e := host.ticketTable.entries[run.sequence]
	if e == nil {
		return
	}
	waiting := slices.Clone(e.waiting)
	recorded := code
	if m.options.broken == ruleUnknownFinal && code == result.OutcomeNotKnown {
		recorded = result.BackendsRefused
	}
	host.ticketTable.finish(run.sequence, modelResult(recorded))
	if m.options.broken == ruleNotRunFinal {
		e.answeredNotRun = nil
	}
	for _, id := range waiting {
		m.deliver(n, h, id[0]-1, code)
	}
}

// deliver answers a request with the decision of host h.
func (m *model) deliver(n *modelState, h, i uint8, code result.Code) {
	n.checkAnswer(code)
	r := &n.requests[i]
	if r.host == h && r.phase == requestWaitLocal {
		r.answer(code)
		return
	}
	if len(n.messages) < 4 {
		n.messages = append(n.messages, modelMessage{reply: true, request: i, code: code})
	}
}

// checkAnswer checks that a booking is answered "not run" only before any
// execution.
func (s *modelState) checkAnswer(code result.Code) {
	if code.NotRun() && s.executions > 0 {
		s.violation = fmt.Sprintf("the issuer answered %s to a booking that ran", code)
	}
}

func (r *modelRequest) answer(code result.Code) {
	r.phase = requestAnswered
	r.code = code
}

// stepMessage explores delivery, loss and duplication of a message.
func (m *model) stepMessage(s *modelState, i int) {
	message := s.messages[i]
	receive := func(n *modelState) {
		if message.reply {
			if r := &n.requests[message.request]; r.phase == requestWaitForward {
				r.answer(message.code)
			}
			return
		}
		m.begin(n, message.ticket.host, message.ticket, message.request)
	}
	remove := func(n *modelState) { n.messages = slices.Delete(n.messages, i, i+1) }
	m.step(s, remove) // lost
	m.step(s, func(n *modelState) {
		remove(n)
		receive(n)
	})
	if s.duplicates > 0 {
		m.step(s, func(n *modelState) {
			n.duplicates--
			receive(n)
		})
	}
}

// begin handles a request on the host that its ticket names.
func (m *model) begin(n *modelState, h uint8, t modelTicket, i uint8) {
	host := &n.hosts[h]
	if host.incarnation != t.incarnation && m.options.broken != ruleIncarnation {
		m.deliver(n, h, i, result.IssuerGone)
		return
	}
	table := host.ticketTable
	floor, stopping := table.floor, table.stopping
	if m.options.broken == ruleFloor {
		table.floor = 0
	}
	if m.options.broken == ruleStopping && stopping {
		// The request is refused and runs all the same.
		table.stopping = false
	}
	next := table.begin(t.sequence, modelRequestID(i), Digest{1})
	table.floor, table.stopping = max(floor, table.floor), stopping
	switch next.action {
	case actionRun:
		host.runs = append(host.runs, modelRun{sequence: t.sequence, request: i})
		if m.options.broken == ruleRecordBeforeRun {
			delete(table.entries, t.sequence)
			table.order = nil
		}
		if m.options.broken == ruleStopping && stopping {
			m.deliver(n, h, i, result.Draining)
		}
	case actionWait:
	default:
		m.deliver(n, h, i, m.refusal(next.result.Code, t, table))
	}
}

// refusal returns the code of a decision that starts no run.
func (m *model) refusal(code result.Code, t modelTicket, table *ticketTable) result.Code {
	full := code == result.OutcomeNotKnown && t.sequence > table.floor && table.entries[t.sequence] == nil
	if m.options.broken == ruleTableFull && full {
		return result.Overloaded
	}
	return code
}
