// Package ident holds the identifiers that travel on every hop of a request:
// they are echoed by the other side and checked, so that a late or crossed
// reply is never taken for another request's.
package ident

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
)

// RequestID names one request of a caller, unique across the fleet.
type RequestID [16]byte

// NewRequestID draws a random identifier from the operating system.
func NewRequestID() RequestID {
	var id RequestID
	_, _ = rand.Read(id[:]) // documented never to fail
	return id
}

// ParseRequestID reads the 32 hexadecimal digits that String writes.
func ParseRequestID(s string) (RequestID, error) {
	var id RequestID
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(id) {
		return id, errors.Errorf("request id %q: want %d hexadecimal digits", s, 2*len(id))
	}
	copy(id[:], raw)
	return id, nil
}

// String writes the identifier as 32 hexadecimal digits.
func (id RequestID) String() string { return hex.EncodeToString(id[:]) }

// Less orders identifiers; it breaks ties between equal deadlines the same
// way on every host.
func (id RequestID) Less(other RequestID) bool {
	return string(id[:]) < string(other[:])
}

// AttemptID numbers the attempts of one host incarnation, from 1.
type AttemptID uint64

// HostID is the name of an entry host, from its settings. It is kept across
// restarts; the Incarnation tells one life of the host from the next.
type HostID string

// Incarnation tells one life of a process from another at the same address.
// The upper 42 bits are the start time in milliseconds since 1970, so later
// lives usually compare higher; the lower 22 bits are random, so two lives
// never compare equal. No safety property leans on the order.
type Incarnation uint64

const incarnationRandomBits = 22

// NewIncarnation makes the incarnation of a process that starts at now.
func NewIncarnation(now time.Time) Incarnation {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	random := binary.BigEndian.Uint64(raw[:]) & (1<<incarnationRandomBits - 1)
	return Incarnation(uint64(now.UnixMilli())<<incarnationRandomBits | random)
}
