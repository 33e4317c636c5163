package bundle

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"github.com/pkg/errors"
)

// Hash is the SHA-256 of a manifest's payload or of a document's content.
type Hash [sha256.Size]byte

// HashOf hashes the content.
func HashOf(content []byte) Hash { return sha256.Sum256(content) }

// HashFromBytes takes over a hash that came as bytes.
func HashFromBytes(raw []byte) (Hash, error) {
	if len(raw) != sha256.Size {
		return Hash{}, errors.Errorf("hash of %d bytes: want %d", len(raw), sha256.Size)
	}
	return Hash(raw), nil
}

// IsZero reports whether no hash is set.
func (h Hash) IsZero() bool { return h == Hash{} }

// String writes the hash as 43 characters of unpadded URL-safe base64, which
// is a third shorter than hexadecimal and fits in a key of the object API.
func (h Hash) String() string { return base64.RawURLEncoding.EncodeToString(h[:]) }

// Short is the start of String, for lines that people read.
func (h Hash) Short() string { return h.String()[:10] }

// MarshalText writes what String writes.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads what MarshalText writes, and nothing else.
func (h *Hash) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "hash")
	}
	*h, err = HashFromBytes(raw)
	return err
}

// Ref names one configuration: its generation and the hash of its manifest.
// The zero Ref names none, and is the parent of the first generation.
type Ref struct {
	Generation uint64 `json:"generation"`
	Hash       Hash   `json:"hash"`
}

// IsZero reports whether the Ref names no configuration.
func (r Ref) IsZero() bool { return r == Ref{} }

// String writes generation and start of the hash.
func (r Ref) String() string {
	if r.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d (%s)", r.Generation, r.Hash.Short())
}
