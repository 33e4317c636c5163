// Package booking runs non-idempotent requests at most once. A ticket names the
// incarnation of the entry host that issued it, and only that incarnation may
// run it, by its records in memory. It relies on no lease, clock, store or
// consensus: if the issuer is gone, the outcome is reported as unknown.
package booking

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/ident"
)

const (
	ticketFormat     = 1
	macBytes         = 16
	keyBytes         = 32
	maxHostBytes     = 255
	maxTicketLength  = 512
	fixedTicketBytes = 1 + 1 + 8 + 8 + macBytes // format, host length, incarnation, sequence, MAC
)

var ticketEncoding = base64.RawURLEncoding

// ticket is a decoded ticket. Only its issuer can verify the MAC.
type ticket struct {
	host        ident.HostID
	incarnation ident.Incarnation
	sequence    uint64
	mac         [macBytes]byte
}

// parseTicket decodes a ticket without verifying its MAC.
func parseTicket(text string) (ticket, error) {
	var t ticket
	if len(text) > maxTicketLength {
		return t, errors.New("the ticket is too long")
	}
	raw, err := ticketEncoding.DecodeString(text)
	if err != nil || len(raw) < fixedTicketBytes || raw[0] != ticketFormat {
		return t, errors.New("the ticket can't be read")
	}
	hostLength := int(raw[1])
	if len(raw) != fixedTicketBytes+hostLength {
		return t, errors.New("the ticket has the wrong length")
	}
	raw = raw[2:]
	t.host = ident.HostID(raw[:hostLength])
	raw = raw[hostLength:]
	t.incarnation = ident.Incarnation(binary.BigEndian.Uint64(raw))
	t.sequence = binary.BigEndian.Uint64(raw[8:])
	copy(t.mac[:], raw[16:])
	return t, nil
}

func (t ticket) encode() string {
	raw := make([]byte, 0, fixedTicketBytes+len(t.host))
	raw = append(raw, ticketFormat, byte(len(t.host)))
	raw = append(raw, t.host...)
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.incarnation))
	raw = binary.BigEndian.AppendUint64(raw, t.sequence)
	raw = append(raw, t.mac[:]...)
	return ticketEncoding.EncodeToString(raw)
}

// signer computes and verifies the MACs of tickets. Its random key never leaves
// the process, so that no other host or incarnation can make or accept tickets
// of this one.
type signer struct {
	key [keyBytes]byte
}

func newSigner() *signer {
	s := &signer{}
	_, _ = rand.Read(s.key[:]) // documented never to fail
	return s
}

// sign returns the MAC that binds the ticket to a caller and a route.
func (s *signer) sign(t ticket, caller, route string) [macBytes]byte {
	message := make([]byte, 0, 128)
	message = appendField(message, string(t.host))
	message = binary.BigEndian.AppendUint64(message, uint64(t.incarnation))
	message = binary.BigEndian.AppendUint64(message, t.sequence)
	message = appendField(message, caller)
	message = appendField(message, route)
	mac := hmac.New(sha256.New, s.key[:])
	mac.Write(message)
	var sum [sha256.Size]byte
	return [macBytes]byte(mac.Sum(sum[:0]))
}

func (s *signer) valid(t ticket, caller, route string) bool {
	want := s.sign(t, caller, route)
	return hmac.Equal(want[:], t.mac[:])
}

// appendField appends the field with a length prefix, so that different lists
// of fields have different encodings.
func appendField(to []byte, field string) []byte {
	to = binary.BigEndian.AppendUint32(to, uint32(len(field)))
	return append(to, field...)
}
