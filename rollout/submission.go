package rollout

import (
	"errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// step is the next step of a submission.
type step int

const (
	stepReadHead step = iota
	// stepWriteHead replaces the head at the version last read.
	stepWriteHead
	// stepReadAncestor reads the next older manifest of the head's history.
	stepReadAncestor
	// stepAccepted is final: the manifest is or was the head.
	stepAccepted
	// stepConflict is final: another change was accepted first.
	stepConflict
)

// submission decides the steps by which a manifest becomes the head. It does no
// I/O. It can be restarted from the first step at any time, also by another
// process, and reaches the same outcome.
type submission struct {
	self   bundle.Ref
	parent bundle.Ref
}

// onHead returns the step after reading the head; a zero head means that there
// is none. The head is replaced only if it is the change's parent, so of two
// concurrent changes the second conflicts. A head below the parent is a stale
// read and is read again.
func (s submission) onHead(head, headParent bundle.Ref) step {
	switch {
	case head == s.self:
		return stepAccepted
	case head == s.parent:
		return stepWriteHead
	case head.Generation < s.parent.Generation:
		return stepReadHead
	case head.Generation > s.self.Generation:
		return s.onAncestor(headParent)
	default:
		return stepConflict
	}
}

// onAncestor returns the step after reading an ancestor of the head. If the
// manifest was accepted and then superseded while a reply was lost, it is among
// the head's ancestors.
func (s submission) onAncestor(ancestor bundle.Ref) step {
	switch {
	case ancestor == s.self:
		return stepAccepted
	case ancestor.Generation > s.self.Generation:
		return stepReadAncestor
	default:
		return stepConflict
	}
}

// onWrite returns the step after writing the head. After an error the write may
// have taken effect, or may do so later, so the head is read again. If that
// still is the parent, the write is repeated with the same expected version, so
// that at most one of the two takes effect.
func (s submission) onWrite(err error) step {
	if err == nil {
		return stepAccepted
	}
	return stepReadHead
}

// mayHaveTakenEffect reports whether a write that returned err may still have
// changed the store.
func mayHaveTakenEffect(err error) bool {
	return err != nil && !errors.Is(err, metastore.ErrUnavailable) &&
		!errors.Is(err, metastore.ErrConflict) && !errors.Is(err, metastore.ErrTooLarge)
}
