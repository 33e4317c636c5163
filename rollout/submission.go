package rollout

import (
	"errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// step is what a submission does next.
type step int

const (
	// stepReadHead reads the head object.
	stepReadHead step = iota
	// stepWriteHead moves the head from the version last read.
	stepWriteHead
	// stepReadAncestor reads the manifest that the walk down from the head has
	// come to.
	stepReadAncestor
	// stepAccepted ends it: the manifest is or was the head.
	stepAccepted
	// stepConflict ends it: someone else's change came first.
	stepConflict
)

// submission decides how one manifest becomes the head. It is pure; Submit
// does the calls. It may be run again from the start at any time, by the same
// or another process, with the same outcome.
type submission struct {
	self   bundle.Ref
	parent bundle.Ref
}

// onHead decides from the head as read; zero: there is none.
//
// Guard against operators who race: the head moves only from the very
// configuration that the author started from, so of two changes of one parent
// the second is refused, never merged or overwritten unseen.
//
// Guard against stale reads: a head below the parent was read from a copy that
// lags. Taken for the truth, it would make a change that is in force look
// refused. It is read again until it is the parent at least.
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

// onAncestor decides from an ancestor of the head. The head may have moved to
// this manifest and on from there while the reply was lost; the ancestors tell
// for sure, since they never change and each generation has one.
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

// onWrite decides from the outcome of moving the head.
//
// Guard against a lost reply: the write may have taken effect, or may still
// take effect. Telling the operator "failed" would make them submit another
// change against a configuration that is in force. The head is read again: it
// names this manifest, or the parent, and then the write is repeated with the
// same expected version, so at most one of the two takes effect.
func (s submission) onWrite(err error) step {
	if err == nil {
		return stepAccepted
	}
	return stepReadHead
}

// mayHaveTakenEffect reports whether a failed write leaves the outcome open.
// Only errors that the store defines as without effect are sure.
func mayHaveTakenEffect(err error) bool {
	return err != nil && !errors.Is(err, metastore.ErrUnavailable) &&
		!errors.Is(err, metastore.ErrConflict) && !errors.Is(err, metastore.ErrTooLarge)
}
