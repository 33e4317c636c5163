package booking

import (
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// stepRequest explores the next step of a request's handler.
func (m *model) stepRequest(s *modelState, i uint8) {
	r := s.requests[i]
	switch r.phase {
	case requestNew:
		m.stepNew(s, i)
	case requestClaim:
		m.stepClaim(s, i)
	case requestReadClaim:
		m.stepRead(s, i)
	case requestTicket:
		m.stepTicket(s, i)
	case requestWaitLocal:
		m.step(s, func(n *modelState) { n.requests[i].answer(result.BookingInProgress) })
	case requestWaitForward:
		m.step(s, func(n *modelState) { n.requests[i].answer(m.forwardLost()) })
	}
}

func (m *model) forwardLost() result.Code {
	if m.options.broken == ruleForwardLost {
		return result.HomeUnavailable
	}
	return result.OutcomeNotKnown
}

// stepNew sends the request to any host.
func (m *model) stepNew(s *modelState, i uint8) {
	first := s.requests[0]
	if m.options.resend && i > 0 && (first.phase != requestAnswered || first.code.NotRun()) {
		return
	}
	for h := range s.hosts {
		m.step(s, func(n *modelState) {
			r := &n.requests[i]
			r.host = uint8(h)
			r.phase = requestTicket
			if m.options.keys {
				r.phase = requestClaim
				r.ticket = modelTicket{host: uint8(h), incarnation: n.hosts[h].incarnation, sequence: n.hosts[h].ticketTable.issue()}
			}
		})
	}
}

// stepClaim explores every outcome of writing the claim.
func (m *model) stepClaim(s *modelState, i uint8) {
	m.step(s, func(n *modelState) { m.claimWriteEnded(n, i, metastore.ErrUnavailable) })
	m.step(s, func(n *modelState) {
		if n.create(n.requests[i].ticket) {
			m.claimWriteEnded(n, i, nil)
		} else {
			m.claimWriteEnded(n, i, metastore.ErrConflict)
		}
	})
	if s.ambiguous == 0 {
		return
	}
	for _, write := range []func(*modelState){
		func(*modelState) {}, // lost
		func(n *modelState) { n.create(n.requests[i].ticket) },
		func(n *modelState) { n.delayedClaims = append(n.delayedClaims, n.requests[i].ticket) },
	} {
		m.step(s, func(n *modelState) {
			n.ambiguous--
			write(n)
			m.claimWriteEnded(n, i, metastore.ErrAmbiguous)
		})
	}
}

func (m *model) claimWriteEnded(n *modelState, i uint8, err error) {
	r := &n.requests[i]
	r.tries++
	next := afterWrite(err)
	if m.options.broken == ruleReadClaim && err == metastore.ErrAmbiguous {
		next = claimWritten
	}
	switch next {
	case claimWritten:
		r.phase = requestTicket
	case claimReadBack:
		r.phase = requestReadClaim
	default:
		resent := m.options.resend && i > 0 && m.options.broken != ruleResent
		code := claimFailedResult(Request{Resent: resent}).Code
		if m.options.resend && i > 0 {
			n.checkAnswer(code)
		}
		r.answer(code)
	}
}

// stepRead explores every outcome of reading the claim.
func (m *model) stepRead(s *modelState, i uint8) {
	m.step(s, func(n *modelState) { m.claimReadFailed(n, i, metastore.ErrUnavailable) })
	if s.claim.incarnation != 0 {
		m.step(s, func(n *modelState) {
			n.requests[i].ticket = n.claim
			n.requests[i].phase = requestTicket
		})
	}
	if s.claim.incarnation == 0 || s.stale > 0 {
		m.step(s, func(n *modelState) {
			if n.claim.incarnation != 0 {
				n.stale--
			}
			m.claimReadFailed(n, i, metastore.ErrNotFound)
		})
	}
}

func (m *model) claimReadFailed(n *modelState, i uint8, err error) {
	r := &n.requests[i]
	next := afterRead(err, int(r.tries))
	if m.options.broken == ruleNotFound && err == metastore.ErrNotFound {
		r.phase = requestTicket
		return
	}
	if next == claimRetry {
		r.phase = requestClaim
		return
	}
	r.answer(claimUnknownResult().Code)
}

// stepTicket routes a request by its ticket.
func (m *model) stepTicket(s *modelState, i uint8) {
	t := s.requests[i].ticket
	h := s.requests[i].host
	if t.host == h && (t.incarnation == s.hosts[h].incarnation || m.options.broken == ruleIncarnation) {
		m.step(s, func(n *modelState) {
			n.requests[i].phase = requestWaitLocal
			m.begin(n, h, t, i)
		})
		return
	}
	if s.records != nil && t.host == 0 && t.incarnation == 1 {
		m.step(s, func(n *modelState) {
			code := n.records.recall(t.sequence, Digest{1}).Code
			n.checkAnswer(code)
			n.requests[i].answer(code)
		})
	}
	// The membership view may be outdated: the issuer is listed or not.
	m.step(s, func(n *modelState) { n.requests[i].answer(result.IssuerGone) })
	m.step(s, func(n *modelState) {
		n.requests[i].phase = requestWaitForward
		n.messages = append(n.messages, modelMessage{request: i, ticket: t})
	})
}
