package booking

import (
	"context"
	"encoding/hex"
	"encoding/json"

	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// bookKey finds or makes the claim of the idempotency key and goes on with the
// claim's ticket.
func (d *Executor) bookKey(ctx context.Context, r Request) Result {
	if d.config.Store == nil {
		return notClaimed(r)
	}
	key := claimKey(r.Caller, r.Route, r.IdempotencyKey)
	ticket, ok := d.claims.Get(key)
	if !ok {
		return d.claim(ctx, r, key)
	}
	outcome := d.bookClaimed(ctx, r, ticket)
	if outcome.Code != result.IssuerGone {
		return outcome
	}
	// The issuer may have left the outcome in the claim before it went.
	if object, err := d.config.Store.Get(ctx, key); err == nil {
		return d.readClaim(ctx, r, key, object)
	}
	return outcome
}

// bookClaimed goes on with a ticket; the key has done its part.
func (d *Executor) bookClaimed(ctx context.Context, r Request, ticket string) Result {
	r.Ticket, r.IdempotencyKey = ticket, ""
	return d.bookTicket(ctx, r)
}

func (d *Executor) claim(ctx context.Context, r Request, key string) Result {
	content := contentOf(r.Caller, r.Route, r.Body)
	own := claim{Ticket: d.Issue(r.Caller, r.Route), Content: hex.EncodeToString(content[:])}
	value, err := json.Marshal(own)
	if err != nil {
		return notClaimed(r)
	}
	for tries := 1; ; tries++ {
		_, err := d.config.Store.Put(ctx, key, value, 0)
		switch afterWrite(err) {
		case claimMine:
			return d.useClaim(ctx, r, key, own)
		case claimRefused:
			return notClaimed(r)
		}
		object, err := d.config.Store.Get(ctx, key)
		if err == nil {
			return d.readClaim(ctx, r, key, object)
		}
		if afterRead(err, tries) != claimAgain {
			return claimUnclearResult()
		}
	}
}

// notClaimed is the answer when the store refused the claim: nothing of this
// sending ran or will.
func notClaimed(r Request) Result {
	if r.Resent {
		return claimUnclearResult()
	}
	return Result{Code: result.StoreUnavailable, Detail: "the idempotency key can't be claimed while the store is down; a ticket needs no store"}
}

// claimUnclearResult is the answer when a claim of the key may stand, and with
// it a run at the host that holds it.
func claimUnclearResult() Result {
	return Result{Code: result.OutcomeNotKnown, Detail: "the store does not say whether the key is claimed; ask again with the same key"}
}

func (d *Executor) readClaim(ctx context.Context, r Request, key string, object metastore.Object) Result {
	found, err := parseClaim(object.Value)
	if err != nil {
		return claimUnclearResult()
	}
	return d.useClaim(ctx, r, key, found)
}

// useClaim answers from the outcome in the claim, or goes on with its ticket.
func (d *Executor) useClaim(ctx context.Context, r Request, key string, found claim) Result {
	content := contentOf(r.Caller, r.Route, r.Body)
	if found.Content != hex.EncodeToString(content[:]) {
		return Result{Code: result.TicketInvalid, Detail: "the idempotency key was used for another request"}
	}
	if found.Code != 0 {
		return Result{Code: found.Code, Detail: found.Detail, Answer: found.Answer}
	}
	d.claims.Add(key, found.Ticket)
	if t, err := parseTicket(found.Ticket); err == nil && d.issuedHere(t) {
		d.issued.Add(t.sequence, key)
	}
	return d.bookClaimed(ctx, r, found.Ticket)
}

// recordInClaim adds a final outcome to the claim, so that it outlives this
// host. It is help, not a guard: without it the outcome is "unknown" once the
// host is gone.
func (d *Executor) recordInClaim(sequence uint64, r Request, outcome Result) {
	key, ok := d.issued.Get(sequence)
	if !ok || outcome.Code.NotRun() || len(outcome.Answer) > maxClaimAnswer {
		return
	}
	select {
	case d.records <- struct{}{}:
		defer func() { <-d.records }()
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	content := contentOf(r.Caller, r.Route, r.Body)
	d.writeOutcome(ctx, key, claim{
		Ticket: r.Ticket, Content: hex.EncodeToString(content[:]),
		Code: outcome.Code, Detail: outcome.Detail, Answer: outcome.Answer,
	})
}

func (d *Executor) writeOutcome(ctx context.Context, key string, full claim) {
	object, err := d.config.Store.Get(ctx, key)
	if err != nil {
		return
	}
	if found, err := parseClaim(object.Value); err != nil || found.Ticket != full.Ticket {
		return
	}
	value, err := json.Marshal(full)
	if err != nil {
		return
	}
	_, _ = d.config.Store.Put(ctx, key, value, object.Version)
}
