package booking

import (
	"context"
	"encoding/hex"
	"encoding/json"

	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// bookWithKey books with the ticket in the claim of the idempotency key, and
// creates the claim if there is none.
func (e *Executor) bookWithKey(ctx context.Context, r Request) Result {
	if e.config.Store == nil {
		return claimFailedResult(r)
	}
	key := claimKey(r.Caller, r.Route, r.IdempotencyKey)
	ticket, ok := e.claimedTickets.Get(key)
	if !ok {
		return e.claim(ctx, r, key)
	}
	outcome := e.bookWithClaim(ctx, r, ticket)
	if outcome.Code != result.IssuerGone {
		return outcome
	}
	// The issuer may have recorded the outcome in the claim before it stopped.
	if object, err := e.config.Store.Get(ctx, key); err == nil {
		return e.readClaim(ctx, r, key, object)
	}
	return outcome
}

// bookWithClaim books with the ticket of a claim.
func (e *Executor) bookWithClaim(ctx context.Context, r Request, ticket string) Result {
	r.Ticket, r.IdempotencyKey = ticket, ""
	return e.bookWithTicket(ctx, r)
}

// claim creates the claim of a key with a new ticket, or uses the existing one.
func (e *Executor) claim(ctx context.Context, r Request, key string) Result {
	content := contentDigest(r.Caller, r.Route, r.Body)
	own := claim{Ticket: e.Issue(r.Caller, r.Route), Content: hex.EncodeToString(content[:])}
	value, err := json.Marshal(own)
	if err != nil {
		return claimFailedResult(r)
	}
	for tries := 1; ; tries++ {
		_, err := e.config.Store.Put(ctx, key, value, 0)
		switch afterWrite(err) {
		case claimWritten:
			return e.useClaim(ctx, r, key, own)
		case claimFailed:
			return claimFailedResult(r)
		}
		object, err := e.config.Store.Get(ctx, key)
		if err == nil {
			return e.readClaim(ctx, r, key, object)
		}
		if afterRead(err, tries) != claimRetry {
			return claimUnknownResult()
		}
	}
}

// claimFailedResult is the result when the claim was surely not written, so
// that this request did not run.
func claimFailedResult(r Request) Result {
	if r.Resent {
		return claimUnknownResult()
	}
	return Result{Code: result.StoreUnavailable, Detail: "the idempotency key can't be claimed while the store is down; a ticket needs no store"}
}

// claimUnknownResult is the result when the key may be claimed and the booking
// may run on another host.
func claimUnknownResult() Result {
	return Result{Code: result.OutcomeNotKnown, Detail: "the store does not say whether the key is claimed; ask again with the same key"}
}

func (e *Executor) readClaim(ctx context.Context, r Request, key string, object metastore.Object) Result {
	found, err := parseClaim(object.Value)
	if err != nil {
		return claimUnknownResult()
	}
	return e.useClaim(ctx, r, key, found)
}

// useClaim returns the outcome in the claim, or books with the claim's ticket.
func (e *Executor) useClaim(ctx context.Context, r Request, key string, found claim) Result {
	content := contentDigest(r.Caller, r.Route, r.Body)
	if found.Content != hex.EncodeToString(content[:]) {
		return Result{Code: result.TicketInvalid, Detail: "the idempotency key was used for another request"}
	}
	if found.Code != 0 {
		return Result{Code: found.Code, Detail: found.Detail, Answer: found.Answer}
	}
	e.claimedTickets.Add(key, found.Ticket)
	if t, err := parseTicket(found.Ticket); err == nil && e.issuedHere(t) {
		e.claimKeys.Add(t.sequence, key)
	}
	return e.bookWithClaim(ctx, r, found.Ticket)
}

// recordOutcomeInClaim adds a final outcome to the claim, so that it remains
// available when this host is gone. It is best effort: without it the outcome
// is unknown.
func (e *Executor) recordOutcomeInClaim(sequence uint64, r Request, outcome Result) {
	key, ok := e.claimKeys.Get(sequence)
	if !ok || outcome.Code.NotRun() || len(outcome.Answer) > maxClaimAnswerBytes {
		return
	}
	select {
	case e.claimWriteSlots <- struct{}{}:
		defer func() { <-e.claimWriteSlots }()
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimWriteTimeout)
	defer cancel()
	content := contentDigest(r.Caller, r.Route, r.Body)
	e.writeClaimOutcome(ctx, key, claim{
		Ticket: r.Ticket, Content: hex.EncodeToString(content[:]),
		Code: outcome.Code, Detail: outcome.Detail, Answer: outcome.Answer,
	})
}

func (e *Executor) writeClaimOutcome(ctx context.Context, key string, completed claim) {
	object, err := e.config.Store.Get(ctx, key)
	if err != nil {
		return
	}
	if found, err := parseClaim(object.Value); err != nil || found.Ticket != completed.Ticket {
		return
	}
	value, err := json.Marshal(completed)
	if err != nil {
		return
	}
	_, _ = e.config.Store.Put(ctx, key, value, object.Version)
}
