package rollout

import (
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// stepOp explores an operator's next step, a crash, and a new change.
func (m *model) stepOp(s modelState, o int) {
	op := s.operators[o]
	if op.phase == operatorIdle {
		if op.attempts < m.limits.attempts[o] {
			m.propose(s, o)
		}
		return
	}
	m.action = "operator crashes and submits again"
	crashed := s
	crashed.operators[o].phase, crashed.operators[o].readHead, crashed.operators[o].readVersion, crashed.operators[o].nextAncestor = operatorReadingHead, 0, 0, 0
	m.push(crashed)
	if s.down {
		return
	}
	switch op.phase {
	case operatorReadingHead:
		for version := uint8(1); version <= s.length; version++ {
			m.action = "operator reads head"
			next := s
			next.operators[o].readHead, next.operators[o].readVersion = s.heads[version-1], version
			ancestor := m.table.parent[s.heads[version-1]]
			next.operators[o].nextAncestor = ancestor
			m.advance(next, o, m.rules.onHead(m.submission(op), m.table.refs[s.heads[version-1]], m.table.refs[ancestor]))
		}
	case operatorWritingHistory:
		m.action = "operator writes the parent into the history"
		next := s
		if !m.rules.skipsHistory {
			next.history |= 1 << op.readHead
		}
		next.operators[o].phase = operatorWritingHead
		m.push(next)
	case operatorWritingHead:
		m.write(s, o)
	case operatorReadingAncestor:
		if s.history&(1<<op.nextAncestor) == 0 {
			return // a retry; checkRecovery detects one that never ends
		}
		m.action = "operator reads an ancestor"
		next := s
		next.operators[o].nextAncestor = m.table.parent[op.nextAncestor]
		m.advance(next, o, m.rules.onAncestor(m.submission(op), m.table.refs[next.operators[o].nextAncestor]))
	}
}

func (m *model) submission(op modelOperator) submission {
	return submission{self: m.table.refs[op.change], parent: m.table.refs[m.table.parent[op.change]]}
}

// propose makes a change on any present or earlier head.
func (m *model) propose(s modelState, o int) {
	for _, parent := range s.heads[:s.length] {
		m.action = "operator proposes a change"
		next := s
		op := &next.operators[o]
		op.attempts++
		op.change = m.table.add(uint8(o)+1, op.attempts, parent)
		op.phase = operatorReadingHead
		m.push(next)
	}
}

// write explores every outcome of a write of the head.
func (m *model) write(s modelState, o int) {
	op := s.operators[o]
	matches := op.readVersion == s.length || m.rules.unconditionalWrite
	if matches && int(s.length) < modelVersions {
		done := s
		done.heads[s.length] = op.change
		done.length++
		m.action = "head is replaced"
		m.advance(done, o, m.rules.onWrite(m.submission(op), nil))
		m.action = "head is replaced, reply lost"
		m.advance(done, o, m.rules.onWrite(m.submission(op), metastore.ErrAmbiguous))
	}
	if !matches {
		m.action = "write of the head conflicts"
		m.advance(s, o, m.rules.onWrite(m.submission(op), metastore.ErrConflict))
	}
	m.action = "write of the head is lost"
	m.advance(s, o, m.rules.onWrite(m.submission(op), metastore.ErrAmbiguous))
	if op.delayed == noConfig {
		delayed := s
		delayed.operators[o].delayed, delayed.operators[o].delayedVersion = op.change, op.readVersion
		m.action = "write of the head is delayed"
		m.advance(delayed, o, m.rules.onWrite(m.submission(op), metastore.ErrAmbiguous))
	}
}

// stepDelayedWrite explores a delayed write that takes effect or is dropped.
func (m *model) stepDelayedWrite(s modelState, o int) {
	op := s.operators[o]
	if op.delayed == noConfig || s.down {
		return
	}
	next := s
	next.operators[o].delayed, next.operators[o].delayedVersion = noConfig, 0
	m.action = "delayed write is dropped"
	m.push(next)
	if (op.delayedVersion == s.length || m.rules.unconditionalWrite) && int(s.length) < modelVersions {
		next.heads[s.length] = op.delayed
		next.length++
		m.action = "delayed write takes effect"
		m.push(next)
	}
}

// advance moves the operator to the decided step.
func (m *model) advance(s modelState, o int, next step) {
	op := &s.operators[o]
	switch next {
	case stepReadHead:
		op.phase, op.readHead, op.readVersion, op.nextAncestor = operatorReadingHead, 0, 0, 0
	case stepWriteHead:
		op.phase, op.nextAncestor = operatorWritingHistory, 0
	case stepReadAncestor:
		op.phase = operatorReadingAncestor
	case stepAccepted:
		if !s.isAccepted(op.change) {
			m.fail(errors.Errorf("%d reported as accepted, but it never was the head", op.change))
		}
		op.phase, op.readHead, op.readVersion, op.nextAncestor = operatorIdle, 0, 0, 0
	case stepConflict:
		s.refused |= 1 << op.change
		op.phase, op.readHead, op.readVersion, op.nextAncestor = operatorIdle, 0, 0, 0
	}
	m.push(s)
}
