// Package ident defines the identifiers of requests, attempts, hosts and
// processes. They are echoed in replies and checked, so that a late or misrouted
// reply is never matched to another request.
package ident

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
)

// RequestID identifies one request of a caller across the fleet.
type RequestID [16]byte

// NewRequestID returns a random identifier.
func NewRequestID() RequestID {
	var id RequestID
	_, _ = rand.Read(id[:]) // never fails
	return id
}

// ParseRequestID parses the output of String.
func ParseRequestID(s string) (RequestID, error) {
	var id RequestID
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(id) {
		return id, errors.Errorf("request id %q: want %d hexadecimal digits", s, 2*len(id))
	}
	copy(id[:], raw)
	return id, nil
}

// String returns the identifier as 32 hexadecimal digits.
func (id RequestID) String() string { return hex.EncodeToString(id[:]) }

// Less orders identifiers, so that every host breaks ties between equal
// deadlines the same way.
func (id RequestID) Less(other RequestID) bool {
	return string(id[:]) < string(other[:])
}

// AttemptID identifies an attempt within one incarnation of a host. Each home on the
// host numbers its attempts in a range of its own.
type AttemptID uint64

// HostID is the name of an entry host, from its settings. It is kept across
// restarts, unlike the Incarnation.
type HostID string

// Incarnation distinguishes the successive processes at one address. The upper
// 42 bits are the start time in Unix milliseconds and the lower 22 bits are
// random. Later processes usually compare higher, but nothing depends on it.
type Incarnation uint64

const incarnationRandomBits = 22

// NewIncarnation returns the incarnation of a process that starts at now.
func NewIncarnation(now time.Time) Incarnation {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	random := binary.BigEndian.Uint64(raw[:]) & (1<<incarnationRandomBits - 1)
	return Incarnation(uint64(now.UnixMilli())<<incarnationRandomBits | random)
}
