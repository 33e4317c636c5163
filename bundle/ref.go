package bundle

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"github.com/pkg/errors"
)

// Hash is the SHA-256 of a manifest's payload or of a document's content.
type Hash [sha256.Size]byte

func HashOf(content []byte) Hash { return sha256.Sum256(content) }

// HashFromBytes converts a hash from bytes.
func HashFromBytes(raw []byte) (Hash, error) {
	if len(raw) != sha256.Size {
		return Hash{}, errors.Errorf("hash has %d bytes, want %d", len(raw), sha256.Size)
	}
	return Hash(raw), nil
}

// IsZero reports whether the hash is unset.
func (h Hash) IsZero() bool { return h == Hash{} }

// String returns the hash in unpadded URL-safe base64, which is valid in a key of
// the object API.
func (h Hash) String() string { return base64.RawURLEncoding.EncodeToString(h[:]) }

// Short returns a prefix of String for display.
func (h Hash) Short() string { return h.String()[:10] }

// MarshalText implements encoding.TextMarshaler. It returns the same as String.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "hash")
	}
	*h, err = HashFromBytes(raw)
	return err
}

// Ref identifies a configuration by its generation and the hash of its manifest.
// The zero Ref means none and is the parent of the first generation.
type Ref struct {
	Generation uint64 `json:"generation"`
	Hash       Hash   `json:"hash"`
}

// IsZero reports whether the Ref identifies no configuration.
func (r Ref) IsZero() bool { return r == Ref{} }

// String returns the generation and the short hash.
func (r Ref) String() string {
	if r.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d (%s)", r.Generation, r.Hash.Short())
}
