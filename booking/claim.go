package booking

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// ClaimPrefix is the store's key prefix for claims of idempotency keys.
const ClaimPrefix = "booking/claims/"

const (
	// maxClaimWrites bounds the writes of one claim while its outcome is unknown.
	maxClaimWrites = 3
	// maxClaimAnswerBytes bounds the answer stored in a claim. The outcome of a
	// booking with a longer one is kept only by the host that ran it.
	maxClaimAnswerBytes = 64 << 10
)

// claim permanently binds an idempotency key to one ticket. It is created only
// if absent; later writes only add the outcome. Every host that reads it sends
// the booking to the ticket's issuer.
type claim struct {
	Ticket  string      `json:"ticket"`
	Content string      `json:"content"` // hexadecimal digest of the booking
	Code    result.Code `json:"code,omitempty"`
	Detail  string      `json:"detail,omitempty"`
	Answer  []byte      `json:"answer,omitempty"`
}

// claimKey returns the store's key of a claim. The same idempotency key of
// another caller or route is a different claim.
func claimKey(caller, route, key string) string {
	var message []byte
	message = appendField(message, caller)
	message = appendField(message, route)
	message = appendField(message, key)
	sum := sha256.Sum256(message)
	return ClaimPrefix + hex.EncodeToString(sum[:])
}

// contentDigest returns the digest that identifies a booking's content.
func contentDigest(caller, route string, body []byte) Digest {
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
		return c, errors.Wrap(err, "decode claim of idempotency key")
	}
	return c, nil
}

// claimStep is the next step in claiming a key.
type claimStep uint8

const (
	claimWritten  claimStep = iota // the write took effect: use the new ticket
	claimReadBack                  // read the claim to see which ticket it has
	claimRetry                     // write again
	claimFailed                    // give up: the write surely had no effect
	claimUnknown                   // give up: the key may be claimed
)

// afterWrite returns the step after writing the claim. If the reply was lost,
// the claim must be read: to run the booking without a claim could run it
// twice, and to refuse it would leave a claimed key unused.
func afterWrite(err error) claimStep {
	switch {
	case err == nil:
		return claimWritten
	case errors.Is(err, metastore.ErrUnavailable), errors.Is(err, metastore.ErrTooLarge):
		return claimFailed
	default:
		// Claimed by another request, or an error after which the write may
		// have taken effect.
		return claimReadBack
	}
}

// afterRead returns the step after the claim was not found or could not be
// read; tries counts the writes so far. "Not found" may be a stale read or
// precede a delayed write, so it never allows a run. Writing the same ticket
// again is safe, whichever write takes effect.
func afterRead(readErr error, tries int) claimStep {
	if errors.Is(readErr, metastore.ErrNotFound) && tries < maxClaimWrites {
		return claimRetry
	}
	return claimUnknown
}
