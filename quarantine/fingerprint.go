// Package quarantine finds requests that crash the backend servers that run
// them, and refuses them on every entry host.
//
// A Tracker, at the home of a service, knows which requests run on each backend
// server and detects crashes. A Registry collects the crashes, clears requests
// that succeed, and holds the verdicts. Hosts share verdicts but not suspicion,
// since only the home has all the evidence on its service, successes included.
//
// Both take the time as a parameter, do no I/O, and are safe for concurrent use.
package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Fingerprint identifies equal requests: those with the same route, caller and
// body.
type Fingerprint uint64

// FingerprintOf hashes a request. The lengths of route and caller are hashed as
// well, so that the boundary between the two is unambiguous.
func FingerprintOf(route, caller string, body []byte) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{route, caller} {
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

const fingerprintDigits = 16

// String returns 16 hexadecimal digits, the form that overrides use.
func (f Fingerprint) String() string { return fmt.Sprintf("%0*x", fingerprintDigits, uint64(f)) }

// ParseFingerprint parses the form that String returns.
func ParseFingerprint(s string) (Fingerprint, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != fingerprintDigits {
		return 0, errors.Errorf("fingerprint %q: want %d hexadecimal digits", s, fingerprintDigits)
	}
	return Fingerprint(v), nil
}
