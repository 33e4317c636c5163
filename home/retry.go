package home

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/result"
)

const (
	// defaultRetryBurst is the default number of retries that may be sent beyond the
	// budget's rate.
	defaultRetryBurst = 10
	// maxAttempts limits the retry budget spent on one leg.
	maxAttempts = 6
	// maxRefusedAttempts limits the attempts of a leg that servers have no capacity
	// for: with pauses that double up to maxPause they take seconds.
	maxRefusedAttempts = 24
	// maxUnknownOutcomes limits the attempts of an idempotent leg that end with an
	// unknown outcome, so that a request that crashes servers reaches two of them at
	// most.
	maxUnknownOutcomes = 2
)

// handleEnd handles the end of an attempt of a leg that is still open: it answers, retries
// or fails the leg.
func (h *Home) handleEnd(now time.Time, a *attempt, end AttemptResult, acts []Action) []Action {
	l := a.leg
	if isAnswer(end) {
		return h.completeLeg(now, a, acts)
	}
	l.recordOutcome(end.Outcome)
	if !end.Outcome.NotRun() {
		l.possibleRuns++
		if a.server.spec.Name != l.ReservedServer {
			l.possibleRunsElsewhere++
		}
	}
	h.recordFailure(l, end)
	if l.runningCount() > 0 {
		return acts // another attempt may still answer
	}
	h.dequeue(l)
	if !h.canRetry(l, end, now) {
		return h.failLeg(l, failureCode(l, end), end.RetryAfter, acts)
	}
	if h.needsRetryBudget(end) && !h.spendRetry() {
		return h.failLeg(l, l.failureCode(result.RetryBudgetSpent), h.retryAfter(now, end.RetryAfter), acts)
	}
	if !isRefusal(end) {
		l.avoidServer = a.server // a refusing server is paused anyway
	}
	l.queuedIn = inWaitingQueue
	h.queuedBytes += l.Bytes
	h.classes[l.Class].waiting.insert(l)
	return acts
}

// isCapacityRefusal reports whether the end was a refusal for lack of capacity, after
// which the leg is queued again at no cost. Such refusals are normal while a home moves
// between hosts; charging them would spend the retry budget of a healthy service within
// milliseconds. The pauses after refusals prevent a retry storm.
func isCapacityRefusal(end AttemptResult) bool {
	return end.Fault == backend.FaultShed || end.Fault == backend.FaultConnectionLimit
}

// needsRetryBudget reports whether another attempt after this end is charged to the retry
// budget.
func (h *Home) needsRetryBudget(end AttemptResult) bool {
	return h.cfg.ChargeRefusals || !isCapacityRefusal(end)
}

// spendRetry spends one retry, from the hedge budget if the retry budget is spent: a lost
// answer is worth more than a hedge of a slow leg. Where half of the servers lose two in
// five answers, the retry budget is spent within a second, and each lost answer then fails
// its leg.
func (h *Home) spendRetry() bool {
	return h.retryBudget.Spend() || h.hedgeBudget.Spend()
}

func attemptLimit(end AttemptResult) int {
	if isCapacityRefusal(end) {
		return maxRefusedAttempts
	}
	return maxAttempts
}

func isAnswer(end AttemptResult) bool {
	return end.Outcome == result.OutcomeRan && end.Fault == backend.FaultNone
}

func (h *Home) recordFailure(l *leg, end AttemptResult) {
	switch end.Outcome {
	case result.OutcomeUnknown:
		l.unknownCount++
	case result.OutcomeRan:
		l.ranCode = result.BackendFailed
		if end.Fault == backend.FaultSnapshotMismatch {
			l.ranCode = result.SnapshotGone
		}
	}
}

// canRetry reports whether the leg may have another attempt. After an unknown outcome,
// or a reply from another snapshot, only an idempotent leg may; an attempt that ran and
// failed is retried only for a forwarded request.
func (h *Home) canRetry(l *leg, end AttemptResult, now time.Time) bool {
	if end.NoRetry || h.cfg.RetryBudget <= 0 || !h.canMeetDeadline(l, now) || l.attemptCount >= attemptLimit(end) {
		return false
	}
	if !l.outcome.NotRun() && !l.Idempotent {
		return false
	}
	if l.serversLeft() <= 0 {
		return false
	}
	switch {
	case end.Outcome.NotRun():
		return true
	case end.Outcome == result.OutcomeUnknown:
		return l.unknownCount < maxUnknownOutcomes
	default:
		return end.Fault == backend.FaultSnapshotMismatch || (l.Forwarded && end.Fault == backend.FaultServerError)
	}
}

func failureCode(l *leg, end AttemptResult) result.Code {
	if end.Fault == backend.FaultDeadline && l.Idempotent {
		return result.DeadlineExceeded
	}
	return l.failureCode(result.BackendsRefused)
}

// completeLeg completes the leg with the attempt's reply and cancels the other attempt.
func (h *Home) completeLeg(now time.Time, a *attempt, acts []Action) []Action {
	l := a.leg
	acts = append(acts, Action{Kind: ActionAnswer, Leg: l.ID, Attempt: a.id, Server: a.server.spec.Name, Hedge: a.hedge, Outcome: result.OutcomeRan})
	h.removeLeg(l)
	return h.cancelAttempts(l, acts)
}

func (h *Home) cancelAttempts(l *leg, acts []Action) []Action {
	for _, a := range l.attempts {
		if a == nil || a.cancelled {
			continue
		}
		a.cancelled = true
		h.classes[l.Class].hedgeCandidates.remove(a)
		acts = append(acts, Action{Kind: ActionCancel, Leg: l.ID, Attempt: a.id, Server: a.server.spec.Name, Hedge: a.hedge})
	}
	return acts
}

// failLeg completes the leg without an answer.
func (h *Home) failLeg(l *leg, code result.Code, retryAfter time.Duration, acts []Action) []Action {
	h.removeLeg(l)
	return append(acts, Action{Kind: ActionFail, Leg: l.ID, Code: code, Outcome: l.outcome, RetryAfter: retryAfter})
}

// removeLeg forgets a completed leg; its attempts end later.
func (h *Home) removeLeg(l *leg) {
	h.dequeue(l)
	l.done = true
	delete(h.legs, l.ID)
}

func (h *Home) dequeue(l *leg) {
	c := &h.classes[l.Class]
	switch l.queuedIn {
	case inWaitingQueue:
		h.queuedBytes -= l.Bytes
		c.waiting.remove(l)
	case inHedgeQueue:
		c.hedges.remove(l)
	}
	l.queuedIn = notQueued
}

// retryAfter returns when it is worth sending again: once the queue is drained and a
// server is available.
func (h *Home) retryAfter(now time.Time, hint time.Duration) time.Duration {
	wait := hint
	if at := h.nextAvailable(now); at.After(now) {
		wait = max(wait, at.Sub(now))
	}
	return max(wait, h.drainTime(now), minPause)
}

// drainTime returns how long the waiting legs keep the slots busy.
func (h *Home) drainTime(now time.Time) time.Duration {
	work := 0.0 // slot time in seconds
	for i := range h.classes {
		c := &h.classes[i]
		work += float64(c.waiting.len()) * c.meanSeconds(now)
	}
	return seconds(work / float64(max(1, h.totalSlots)))
}
