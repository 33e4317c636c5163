// Package quarantine finds requests that crash the backend servers that run
// them, and refuses them on every entry host.
//
// A Tracker, at the home of a service, knows which requests run on each
// backend server and decides when a server has died. A Book keeps the
// suspicion that follows, clears the innocent, and holds the verdicts. Hosts
// share verdicts, not suspicion: the home has the whole evidence on its
// service, successes included, and half of it would condemn innocents.
//
// Both are pure (time is passed in; no goroutine, socket or log) and have a
// plain mutex, so many goroutines may use them.
package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Fingerprint names requests that are the same work: route, caller and body.
type Fingerprint uint64

// FingerprintOf makes the fingerprint. Lengths are part of it, so that route
// and caller can't run into each other.
func FingerprintOf(route, caller string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{route, caller} {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

const fingerprintDigits = 16

// String is the form that operators use in overrides: 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%0*x", fingerprintDigits, uint64(f)) }

// ParseFingerprint reads what String writes.
func ParseFingerprint(s string) (Fingerprint, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != fingerprintDigits {
		return 0, errors.Errorf("fingerprint %q: want %d hexadecimal digits", s, fingerprintDigits)
	}
	return Fingerprint(v), nil
}
