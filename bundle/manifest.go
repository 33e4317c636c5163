package bundle

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	// manifestFormat is the version of the manifest format.
	manifestFormat = 1
	// MaxManifestBytes bounds an encoded manifest, which hosts parse before they
	// verify signatures.
	MaxManifestBytes = 256 << 10
	// MaxReasonBytes bounds the reason of a change.
	MaxReasonBytes = 2000
	maxNameBytes   = 63
)

// Manifest describes one generation of the configuration. Its payload, which is
// hashed and signed, is the compact JSON returned by Encode, with the fields in
// the order of this struct.
type Manifest struct {
	Format int `json:"format"`
	// Generation is above the parent's; hosts never go back.
	Generation uint64 `json:"generation"`
	// Parent is the configuration that the author changed. The store's head, which
	// names the accepted manifest, moves only from the parent to this manifest.
	Parent Ref `json:"parent"`
	// Author is the signer who wrote the change; another signer must sign too.
	Author string `json:"author"`
	// Reason explains the change in the history.
	Reason string `json:"reason"`
	// Created is the author's time, for information only.
	Created time.Time `json:"created"`
	// Restores is the earlier configuration that a rollback restores.
	Restores *Ref  `json:"restores,omitempty"`
	Parts    Parts `json:"parts"`
}

// Parts lists the content hashes of the stored documents into which Split divides a
// bundle's Documents. Items are distributed over the parts of their kind by a hash
// of their name.
type Parts struct {
	// Base holds the classes, policy and quarantine overrides.
	Base     Hash   `json:"base"`
	Routes   []Hash `json:"routes"`
	Callers  []Hash `json:"callers"`
	Services []Hash `json:"services"`
}

// All returns the distinct hashes of the documents in a fixed order.
func (p Parts) All() []Hash {
	seen := make(map[Hash]bool, 1+len(p.Routes)+len(p.Callers)+len(p.Services))
	var all []Hash
	for _, group := range [][]Hash{{p.Base}, p.Routes, p.Callers, p.Services} {
		for _, hash := range group {
			if !seen[hash] {
				seen[hash] = true
				all = append(all, hash)
			}
		}
	}
	return all
}

// Encode returns the manifest's payload in the canonical encoding.
func (m Manifest) Encode() ([]byte, error) {
	payload, err := json.Marshal(m)
	return payload, errors.Wrap(err, "encode manifest")
}

// DecodeManifest decodes a payload. It refuses any encoding but the canonical one,
// so that equal manifests have equal hashes.
func DecodeManifest(payload []byte) (Manifest, error) {
	if len(payload) > MaxManifestBytes {
		return Manifest{}, errors.Errorf("manifest of %d bytes is over the limit of %d", len(payload), MaxManifestBytes)
	}
	var m Manifest
	if err := decodeStrict(payload, &m); err != nil {
		return Manifest{}, errors.Wrap(err, "manifest")
	}
	encoded, err := m.Encode()
	if err != nil {
		return Manifest{}, err
	}
	if !bytes.Equal(encoded, payload) {
		return Manifest{}, errors.New("manifest is not in its canonical encoding")
	}
	return m, m.check()
}

func (m Manifest) check() error {
	switch {
	case m.Format != manifestFormat:
		return errors.Errorf("manifest has format %d, this version reads %d", m.Format, manifestFormat)
	case m.Generation == 0:
		return errors.New("manifest has generation 0; the first is 1")
	case m.Generation <= m.Parent.Generation:
		return errors.Errorf("manifest's generation %d is not above its parent's %d", m.Generation, m.Parent.Generation)
	case m.Author == "" || len(m.Author) > maxNameBytes:
		return errors.Errorf("manifest's author must have 1 to %d bytes", maxNameBytes)
	case m.Reason == "" || len(m.Reason) > MaxReasonBytes:
		return errors.Errorf("manifest's reason must have 1 to %d bytes", MaxReasonBytes)
	case m.Restores != nil && m.Restores.Generation >= m.Generation:
		return errors.Errorf("manifest restores generation %d, which is not below its own %d", m.Restores.Generation, m.Generation)
	}
	return m.Parts.check()
}

func (p Parts) check() error {
	if p.Base.IsZero() {
		return errors.New("manifest names no base document")
	}
	for _, group := range [][]Hash{p.Routes, p.Callers, p.Services} {
		if n := len(group); n == 0 || n&(n-1) != 0 {
			return errors.Errorf("manifest has %d parts of a kind; the number must be a power of two", n)
		}
	}
	return nil
}

// decodeStrict decodes exactly one JSON value and refuses unknown fields.
func decodeStrict(raw []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}
