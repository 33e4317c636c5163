package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// retryBurst is how many retries may be sent beyond the budget's rate.
	retryBurst = 10
	// maxAttempts bounds one leg's share of the retry budget.
	maxAttempts = 6
	// maxPacedAttempts bounds the attempts of a leg that servers have no room
	// for: with pauses that double up to 250 ms it is seconds of trying.
	maxPacedAttempts = 24
	// maxUnknowns is how many attempts of an idempotent leg may end unknown: a
	// request that crashes each server that runs it takes down two at most
	// before its leg gives up.
	maxUnknowns = 2
)

// settle decides what an attempt's end means for its leg, which still waits.
func (h *Home) settle(now time.Time, a *attempt, end AttemptResult, acts []Action) []Action {
	l := a.leg
	if answers(end) {
		return h.answer(now, a, acts)
	}
	l.note(end.Outcome)
	if !end.Outcome.NotRun() {
		l.exposed++
	}
	h.noteFailure(l, end)
	if l.runningCount() > 0 {
		return acts // the other attempt may still answer
	}
	h.unqueue(l)
	if !h.mayRetry(l, end, now) {
		return h.fail(l, finalCode(l, end), end.RetryAfter, acts)
	}
	if h.costsRetry(end) && !h.payRetry() {
		return h.fail(l, l.failCode(result.RetryBudgetSpent), h.retryAfter(now, end.RetryAfter), acts)
	}
	if !countsAsRefusal(end) {
		l.avoid = a.server // after a refusal the server's pause is enough
	}
	l.place = inWaiting
	h.bytes += l.Bytes
	h.classes[l.Class].waiting.insert(l)
	return acts
}

// paced reports whether the leg goes back into the queue at no cost.
//
// Load: another home, or a caller of its own, fills the slots that this home
// believes to be free; it happens each time a home moves between hosts. Harm
// prevented: legs of a healthy service use up the retry budget within
// milliseconds and fail. It makes no retry storm, since a server that refused
// is paused, longer each time, and one that all servers refuse is failed by
// dropUnservable.
func paced(end AttemptResult) bool {
	return end.Fault == backend.FaultShed || end.Fault == backend.FaultConnectionLimit
}

// costsRetry reports whether another attempt after this end is paid from the
// retry budget.
func (h *Home) costsRetry(end AttemptResult) bool { return h.cfg.ChargeRefusals || !paced(end) }

// payRetry pays for one retry, with what is left for hedges if need be.
//
// Load: half of the servers of a service lose two in five of their answers for
// seconds. Harm prevented: the retries' part of the budget is spent within the
// first, each lost answer then fails its leg, and a query that lacks three legs
// fails as a whole, while hedges go on being sent for legs that are only slow.
func (h *Home) payRetry() bool {
	return h.retryBudget.Spend() || h.hedgeBudget.Spend()
}

func attemptsFor(end AttemptResult) int {
	if paced(end) {
		return maxPacedAttempts
	}
	return maxAttempts
}

func answers(end AttemptResult) bool {
	return end.Outcome == result.OutcomeRan && end.Fault == backend.FaultNone
}

func (h *Home) noteFailure(l *leg, end AttemptResult) {
	switch end.Outcome {
	case result.OutcomeUnknown:
		l.unknowns++
	case result.OutcomeRan:
		l.ran = result.BackendFailed
		if end.Fault == backend.FaultSnapshotMismatch {
			l.ran = result.SnapshotGone
		}
	}
}

// mayRetry: an attempt that surely did not run may move on; after an unknown
// end, or a reply from another snapshot, only an idempotent leg may. A request
// that ran and failed would fail again.
//
// Load: a service of which every server refuses. Harm prevented: a retry
// storm, and a booking that runs twice. See retry.Budget for the limit.
func (h *Home) mayRetry(l *leg, end AttemptResult, now time.Time) bool {
	if end.NoRetry || h.cfg.RetryBudget <= 0 || !h.canMeet(l, now) || l.started >= attemptsFor(end) {
		return false
	}
	if !l.worst.NotRun() && !l.Idempotent {
		return false
	}
	if l.serversLeft() <= 0 {
		return false
	}
	switch {
	case end.Outcome.NotRun():
		return true
	case end.Outcome == result.OutcomeUnknown:
		return l.unknowns < maxUnknowns
	default:
		return end.Fault == backend.FaultSnapshotMismatch || (l.Forwarded && end.Fault == backend.FaultServerError)
	}
}

func finalCode(l *leg, end AttemptResult) result.Code {
	if end.Fault == backend.FaultDeadline && l.Idempotent {
		return result.DeadlineExceeded
	}
	return l.failCode(result.BackendsRefused)
}

// answer ends the leg with the attempt's reply and cancels the other attempt.
func (h *Home) answer(now time.Time, a *attempt, acts []Action) []Action {
	l := a.leg
	acts = append(acts, Action{Kind: ActionAnswer, Leg: l.ID, Attempt: a.id, Server: a.server.spec.Name, Hedge: a.hedge, Outcome: result.OutcomeRan})
	h.remove(l)
	return h.cancelAttempts(l, acts)
}

func (h *Home) cancelAttempts(l *leg, acts []Action) []Action {
	for _, a := range l.attempts {
		if a == nil || a.cancelled {
			continue
		}
		a.cancelled = true
		h.classes[l.Class].watch.remove(a)
		acts = append(acts, Action{Kind: ActionCancel, Leg: l.ID, Attempt: a.id, Server: a.server.spec.Name, Hedge: a.hedge})
	}
	return acts
}

// fail ends the leg without an answer, at once: the caller's time is better
// spent elsewhere.
func (h *Home) fail(l *leg, code result.Code, retryAfter time.Duration, acts []Action) []Action {
	h.remove(l)
	return append(acts, Action{Kind: ActionFail, Leg: l.ID, Code: code, Outcome: l.worst, RetryAfter: retryAfter})
}

// remove forgets a leg that is done; its attempts end later.
func (h *Home) remove(l *leg) {
	h.unqueue(l)
	l.done = true
	delete(h.legs, l.ID)
}

func (h *Home) unqueue(l *leg) {
	c := &h.classes[l.Class]
	switch l.place {
	case inWaiting:
		h.bytes -= l.Bytes
		c.waiting.remove(l)
	case inHedges:
		c.hedges.remove(l)
	}
	l.place = notQueued
}

// retryAfter is when it is worth sending again: once the queue is drained and
// a server takes work.
func (h *Home) retryAfter(now time.Time, hint time.Duration) time.Duration {
	wait := hint
	if at := h.nextAvailable(now); at.After(now) {
		wait = max(wait, at.Sub(now))
	}
	return max(wait, h.drainTime(now), leastPause)
}

// drainTime is how long the waiting legs keep the slots busy.
func (h *Home) drainTime(now time.Time) time.Duration {
	work := 0.0 // seconds of slot time
	for i := range h.classes {
		c := &h.classes[i]
		work += float64(c.waiting.len()) * c.prior(now)
	}
	return seconds(work / float64(max(1, h.totalSlots)))
}
