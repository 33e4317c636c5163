package booking

import (
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// stepSend is one step of a sending's handler.
func (m *model) stepSend(s *modelState, i uint8) {
	send := s.sends[i]
	switch send.phase {
	case sendNew:
		m.stepNew(s, i)
	case sendClaim:
		m.stepClaim(s, i)
	case sendRead:
		m.stepRead(s, i)
	case sendTicket:
		m.stepTicket(s, i)
	case sendWaitHere:
		m.step(s, func(n *modelState) { n.sends[i].answer(result.BookingInProgress) })
	case sendWaitForward:
		m.step(s, func(n *modelState) { n.sends[i].answer(m.forwardLost()) })
	}
}

func (m *model) forwardLost() result.Code {
	if m.options.broken == guardForwardLost {
		return result.HomeUnavailable
	}
	return result.OutcomeNotKnown
}

// stepNew lets the sending arrive at any host.
func (m *model) stepNew(s *modelState, i uint8) {
	first := s.sends[0]
	if m.options.resend && i > 0 && (first.phase != sendAnswered || first.code.NotRun()) {
		return
	}
	for h := range s.hosts {
		m.step(s, func(n *modelState) {
			send := &n.sends[i]
			send.host = uint8(h)
			send.phase = sendTicket
			if m.options.keys {
				send.phase = sendClaim
				send.ticket = modelTicket{host: uint8(h), life: n.hosts[h].life, sequence: n.hosts[h].ledger.issue()}
			}
		})
	}
}

// stepClaim is the create-if-absent, with every reply that it can have.
func (m *model) stepClaim(s *modelState, i uint8) {
	m.step(s, func(n *modelState) { m.written(n, i, metastore.ErrUnavailable) })
	m.step(s, func(n *modelState) {
		if n.create(n.sends[i].ticket) {
			m.written(n, i, nil)
		} else {
			m.written(n, i, metastore.ErrConflict)
		}
	})
	if s.ambiguous == 0 {
		return
	}
	for _, fate := range []func(*modelState){
		func(*modelState) {}, // lost
		func(n *modelState) { n.create(n.sends[i].ticket) },
		func(n *modelState) { n.pending = append(n.pending, n.sends[i].ticket) },
	} {
		m.step(s, func(n *modelState) {
			n.ambiguous--
			fate(n)
			m.written(n, i, metastore.ErrAmbiguous)
		})
	}
}

func (m *model) written(n *modelState, i uint8, err error) {
	send := &n.sends[i]
	send.tries++
	next := afterWrite(err)
	if m.options.broken == guardReadBack && err == metastore.ErrAmbiguous {
		next = claimMine
	}
	switch next {
	case claimMine:
		send.phase = sendTicket
	case claimRead:
		send.phase = sendRead
	default:
		resent := m.options.resend && i > 0 && m.options.broken != guardResent
		code := notClaimed(Request{Resent: resent}).Code
		if m.options.resend && i > 0 {
			n.decide(code)
		}
		send.answer(code)
	}
}

// stepRead reads the claim back.
func (m *model) stepRead(s *modelState, i uint8) {
	m.step(s, func(n *modelState) { m.notRead(n, i, metastore.ErrUnavailable) })
	if s.claim.life != 0 {
		m.step(s, func(n *modelState) {
			n.sends[i].ticket = n.claim
			n.sends[i].phase = sendTicket
		})
	}
	if s.claim.life == 0 || s.stale > 0 {
		m.step(s, func(n *modelState) {
			if n.claim.life != 0 {
				n.stale--
			}
			m.notRead(n, i, metastore.ErrNotFound)
		})
	}
}

func (m *model) notRead(n *modelState, i uint8, err error) {
	send := &n.sends[i]
	next := afterRead(err, int(send.tries))
	if m.options.broken == guardNotFound && err == metastore.ErrNotFound {
		send.phase = sendTicket
		return
	}
	if next == claimAgain {
		send.phase = sendClaim
		return
	}
	send.answer(claimUnclearResult().Code)
}

// stepTicket routes a sending that has its ticket.
func (m *model) stepTicket(s *modelState, i uint8) {
	t := s.sends[i].ticket
	h := s.sends[i].host
	if t.host == h && (t.life == s.hosts[h].life || m.options.broken == guardLife) {
		m.step(s, func(n *modelState) {
			n.sends[i].phase = sendWaitHere
			m.begin(n, h, t, i)
		})
		return
	}
	if s.records != nil && t.host == 0 && t.life == 1 {
		m.step(s, func(n *modelState) {
			code := n.records.recall(t.sequence, Digest{1}).Code
			n.decide(code)
			n.sends[i].answer(code)
		})
	}
	// The view of the members may lag either way.
	m.step(s, func(n *modelState) { n.sends[i].answer(result.IssuerGone) })
	m.step(s, func(n *modelState) {
		n.sends[i].phase = sendWaitForward
		n.messages = append(n.messages, modelMessage{sending: i, ticket: t})
	})
}
