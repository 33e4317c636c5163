package booking

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// ClaimPrefix is where claims of idempotency keys are kept in the platform.
const ClaimPrefix = "booking/claims/"

const (
	// maxClaimTries bounds the writes for one claim whose outcome stays unclear.
	maxClaimTries = 3
	// maxClaimAnswer bounds the answer that is kept in a claim; a longer one
	// is known only to the host that ran it.
	maxClaimAnswer = 64 << 10
)

// claim binds an idempotency key to one ticket, for good. It is written once
// by create-if-absent; later writes only add the outcome. Whoever reads it
// sends the booking to the ticket's issuer, so the ticket is the nonce that
// tells one claimer from another.
type claim struct {
	Ticket  string      `json:"ticket"`
	Content string      `json:"content"` // hexadecimal digest of the booking
	Code    result.Code `json:"code,omitempty"`
	Detail  string      `json:"detail,omitempty"`
	Answer  []byte      `json:"answer,omitempty"`
}

// claimKey names the claim's object. A key is the caller's own: two callers, or
// two routes, never share one.
func claimKey(caller, route, key string) string {
	var message []byte
	message = appendField(message, caller)
	message = appendField(message, route)
	message = appendField(message, key)
	sum := sha256.Sum256(message)
	return ClaimPrefix + hex.EncodeToString(sum[:])
}

func contentOf(caller, route string, body []byte) Digest {
	hash := sha256.New()
	var message []byte
	message = appendField(message, caller)
	message = appendField(message, route)
	hash.Write(message)
	hash.Write(body)
	return Digest(hash.Sum(nil))
}

func parseClaim(value []byte) (claim, error) {
	var c claim
	if err := json.Unmarshal(value, &c); err != nil {
		return c, errors.Wrap(err, "claim of an idempotency key")
	}
	return c, nil
}

// claimStep is what to do next about a claim.
type claimStep uint8

const (
	claimMine    claimStep = iota // the write took effect: use the new ticket
	claimRead                     // read the claim back to see whose it is
	claimAgain                    // write again
	claimRefused                  // give up: the key is surely not claimed by us
	claimUnclear                  // give up: a claim of the key may exist
)

// afterWrite decides after the create-if-absent.
//
// A lost reply leaves open whether the claim stands. To run on would let a
// second host, which finds no claim, run too; to refuse would strand the key.
// Reading back settles it.
func afterWrite(err error) claimStep {
	switch {
	case err == nil:
		return claimMine
	case errors.Is(err, metastore.ErrUnavailable), errors.Is(err, metastore.ErrTooLarge):
		return claimRefused
	default:
		// Held by another, or ambiguous, or an error that promises nothing.
		return claimRead
	}
}

// afterRead decides after the claim was read back and not found, or not read;
// tries counts the writes so far. "Not found" can be a stale read, or a write
// that has yet to arrive, so it never allows a run: only another write with
// the same ticket can settle it. Whichever of the two writes lands first, they
// name one ticket.
func afterRead(readErr error, tries int) claimStep {
	if errors.Is(readErr, metastore.ErrNotFound) && tries < maxClaimTries {
		return claimAgain
	}
	return claimUnclear
}
