package rollout

import (
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// stepOp explores an operator's next step, a crash, and a new change.
func (m *model) stepOp(s modelState, o int) {
	op := s.ops[o]
	if op.at == opIdle {
		if op.attempts < m.limits.attempts[o] {
			m.propose(s, o)
		}
		return
	}
	m.action = "operator crashes and submits again"
	crashed := s
	crashed.ops[o].at, crashed.ops[o].readHead, crashed.ops[o].readVersion, crashed.ops[o].cursor = opReading, 0, 0, 0
	m.push(crashed)
	if s.down {
		return
	}
	switch op.at {
	case opReading:
		for version := uint8(1); version <= s.length; version++ {
			m.action = "operator reads head"
			next := s
			next.ops[o].readHead, next.ops[o].readVersion = s.heads[version-1], version
			ancestor := m.table.parent[s.heads[version-1]]
			next.ops[o].cursor = ancestor
			m.advance(next, o, m.rules.onHead(m.submission(op), m.table.refs[s.heads[version-1]], m.table.refs[ancestor]))
		}
	case opPreparing:
		m.action = "operator writes the parent into the history"
		next := s
		if !m.rules.skipsHistory {
			next.history |= 1 << op.readHead
		}
		next.ops[o].at = opWriting
		m.push(next)
	case opWriting:
		m.write(s, o)
	case opWalking:
		if s.history&(1<<op.cursor) == 0 {
			return // a retry; checkRecovery detects one that never ends
		}
		m.action = "operator reads an ancestor"
		next := s
		next.ops[o].cursor = m.table.parent[op.cursor]
		m.advance(next, o, m.rules.onAncestor(m.submission(op), m.table.refs[next.ops[o].cursor]))
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
		op := &next.ops[o]
		op.attempts++
		op.change = m.table.add(uint8(o)+1, op.attempts, parent)
		op.at = opReading
		m.push(next)
	}
}

// write explores every outcome of a write of the head.
func (m *model) write(s modelState, o int) {
	op := s.ops[o]
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
		delayed.ops[o].delayed, delayed.ops[o].delayedVersion = op.change, op.readVersion
		m.action = "write of the head is delayed"
		m.advance(delayed, o, m.rules.onWrite(m.submission(op), metastore.ErrAmbiguous))
	}
}

// stepDelayedWrite explores a delayed write that takes effect or is dropped.
func (m *model) stepDelayedWrite(s modelState, o int) {
	op := s.ops[o]
	if op.delayed == noConfig || s.down {
		return
	}
	next := s
	next.ops[o].delayed, next.ops[o].delayedVersion = noConfig, 0
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
	op := &s.ops[o]
	switch next {
	case stepReadHead:
		op.at, op.readHead, op.readVersion, op.cursor = opReading, 0, 0, 0
	case stepWriteHead:
		op.at, op.cursor = opPreparing, 0
	case stepReadAncestor:
		op.at = opWalking
	case stepAccepted:
		if !s.isAccepted(op.change) {
			m.fail(errors.Errorf("%d reported as accepted, but it never was the head", op.change))
		}
		op.at, op.readHead, op.readVersion, op.cursor = opIdle, 0, 0, 0
	case stepConflict:
		s.refused |= 1 << op.change
		op.at, op.readHead, op.readVersion, op.cursor = opIdle, 0, 0, 0
	}
	m.push(s)
}
