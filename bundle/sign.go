package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/settings"
)

const (
	// signContext prefixes the signed message for domain separation.
	signContext = "goldcrestspan bundle manifest 1\n"
	// minSignOffs counts the author and a reviewer.
	minSignOffs = 2
	// maxSignatures bounds the work of verifying an untrusted manifest.
	maxSignatures = 16
	// MaxSignedBytes bounds an encoded Signed.
	MaxSignedBytes = 2*MaxManifestBytes + maxSignatures*256
)

// Signed is a manifest's payload with its signatures, as stored in the platform
// and sent between hosts.
type Signed struct {
	Payload    []byte      `json:"payload"`
	Signatures []Signature `json:"signatures"`
}

// Signature is one signer's sign-off on a payload.
type Signature struct {
	Signer    string `json:"signer"`
	Signature []byte `json:"signature"`
}

// NewSigned encodes a manifest without signatures.
func NewSigned(m Manifest) (Signed, error) {
	m.Format = manifestFormat
	payload, err := m.Encode()
	if err != nil {
		return Signed{}, err
	}
	if _, err := DecodeManifest(payload); err != nil {
		return Signed{}, err
	}
	return Signed{Payload: payload}, nil
}

// Sign returns a copy with a signature added or replaced for the signer.
func (s Signed) Sign(signer string, key ed25519.PrivateKey) Signed {
	added := Signature{Signer: signer, Signature: ed25519.Sign(key, s.message())}
	signatures := make([]Signature, 0, len(s.Signatures)+1)
	for _, old := range s.Signatures {
		if old.Signer != signer {
			signatures = append(signatures, old)
		}
	}
	return Signed{Payload: s.Payload, Signatures: append(signatures, added)}
}

// Hash returns the hash of the payload, which excludes the signatures.
func (s Signed) Hash() Hash { return HashOf(s.Payload) }

// Manifest decodes the payload without verifying signatures.
func (s Signed) Manifest() (Manifest, error) { return DecodeManifest(s.Payload) }

// Encode encodes the signed manifest in JSON.
func (s Signed) Encode() ([]byte, error) {
	raw, err := json.Marshal(s)
	return raw, errors.Wrap(err, "encode signed manifest")
}

// DecodeSigned decodes a signed manifest. It doesn't verify signatures.
func DecodeSigned(raw []byte) (Signed, error) {
	if len(raw) > MaxSignedBytes {
		return Signed{}, errors.Errorf("signed manifest of %d bytes is over the limit of %d", len(raw), MaxSignedBytes)
	}
	var s Signed
	if err := decodeStrict(raw, &s); err != nil {
		return Signed{}, errors.Wrap(err, "signed manifest")
	}
	return s, nil
}

func (s Signed) message() []byte {
	return append([]byte(signContext), s.Payload...)
}

// Signers holds the public keys of the people who may sign bundles. During a key
// rotation a signer has several keys.
type Signers struct {
	keys map[string][]ed25519.PublicKey
}

// NewSigners decodes the signers of a host's settings.
func NewSigners(list []settings.Signer) (Signers, error) {
	signers := Signers{keys: make(map[string][]ed25519.PublicKey, len(list))}
	owner := make(map[string]string, len(list))
	for _, signer := range list {
		raw, err := base64.StdEncoding.DecodeString(signer.PublicKey)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return Signers{}, errors.Errorf("signer %s: public_key must be %d bytes in base64", signer.Name, ed25519.PublicKeySize)
		}
		// A key under two names would let one person sign as author and reviewer.
		if other, taken := owner[string(raw)]; taken && other != signer.Name {
			return Signers{}, errors.Errorf("signers %s and %s have the same public_key; each person needs a key", other, signer.Name)
		}
		owner[string(raw)] = signer.Name
		signers.keys[signer.Name] = append(signers.keys[signer.Name], raw)
	}
	return signers, nil
}

// SignatureError reports a missing or invalid signature.
type SignatureError struct {
	Ref     Ref
	Message string
}

// Error implements error.
func (e *SignatureError) Error() string {
	return fmt.Sprintf("generation %d: %s", e.Ref.Generation, e.Message)
}

// Verify checks that the author and at least one other known signer have signed
// the payload. Only verified manifests may be applied.
func (s Signers) Verify(signed Signed) (Manifest, error) {
	m, err := signed.Manifest()
	if err != nil {
		return Manifest{}, err
	}
	ref := Ref{Generation: m.Generation, Hash: signed.Hash()}
	if len(signed.Signatures) > maxSignatures {
		return Manifest{}, &SignatureError{ref, fmt.Sprintf("%d signatures; at most %d are allowed", len(signed.Signatures), maxSignatures)}
	}
	valid, err := s.validSigners(signed)
	if err != nil {
		return Manifest{}, &SignatureError{ref, err.Error()}
	}
	if !valid[m.Author] {
		return Manifest{}, &SignatureError{ref, fmt.Sprintf("not signed by its author %s; run bundle sign as the author", m.Author)}
	}
	if len(valid) < minSignOffs {
		return Manifest{}, &SignatureError{ref, fmt.Sprintf("signed by %s alone; run bundle sign as another signer", m.Author)}
	}
	return m, nil
}

// validSigners returns the names of the signers. It fails if any signature is
// invalid.
func (s Signers) validSigners(signed Signed) (map[string]bool, error) {
	valid := make(map[string]bool, len(signed.Signatures))
	message := signed.message()
	for _, signature := range signed.Signatures {
		keys, known := s.keys[signature.Signer]
		if !known {
			return nil, errors.Errorf("signed by %q, who is not among the signers; add the public key to keys.signers or sign as someone else", signature.Signer)
		}
		if !verifyAny(keys, message, signature.Signature) {
			return nil, errors.Errorf("the signature of %s does not match the manifest under any of their public keys; sign again", signature.Signer)
		}
		valid[signature.Signer] = true
	}
	return valid, nil
}

func verifyAny(keys []ed25519.PublicKey, message, signature []byte) bool {
	for _, key := range keys {
		if ed25519.Verify(key, message, signature) {
			return true
		}
	}
	return false
}
