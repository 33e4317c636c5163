package rollout

import (
	"errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/platform"
)

// step is what a submission does next.
type step int

const (
	// stepReadHead reads the head object.
	stepReadHead step = iota
	// stepWriteHead moves the head from the version last read.
	stepWriteHead
	// stepReadHistory reads whether the history has the submission's manifest.
	stepReadHistory
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
func (s submission) onHead(head bundle.Ref) step {
	switch {
	case head == s.self:
		return stepAccepted
	case head == s.parent:
		return stepWriteHead
	case head.Generation > s.self.Generation:
		// The head may have moved to this manifest and on from there while
		// the reply was lost. The history tells.
		return stepReadHistory
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

// onHistory decides from whether the history holds the submission's manifest.
// Whoever moves the head on from a manifest has put it there before.
func (s submission) onHistory(found bool) step {
	if found {
		return stepAccepted
	}
	return stepConflict
}

// mayHaveTakenEffect reports whether a failed write leaves the outcome open.
// Only errors that the store defines as without effect are sure.
func mayHaveTakenEffect(err error) bool {
	return err != nil && !errors.Is(err, platform.ErrUnavailable) &&
		!errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrTooLarge)
}
