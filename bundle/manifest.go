package bundle

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	// manifestFormat is raised when the meaning of a manifest changes.
	manifestFormat = 1
	// MaxManifestBytes bounds an encoded manifest. A host reads it before it
	// has checked a signature, so the bound also limits what a stranger can
	// make it parse.
	MaxManifestBytes = 256 << 10
	// MaxReasonBytes bounds the reason of a change.
	MaxReasonBytes = 2000
	maxNameBytes   = 63
)

// Manifest says what a generation of the configuration consists of. What is
// signed and hashed is its payload: the compact JSON that Encode writes, with
// the fields in the order of this struct.
type Manifest struct {
	Format int `json:"format"`
	// Generation is above the parent's; hosts only ever go up.
	Generation uint64 `json:"generation"`
	// Parent is the configuration that the author changed. The head moves to
	// this manifest only from there.
	Parent Ref `json:"parent"`
	// Author wrote the change; a signature of another signer is needed too.
	Author string `json:"author"`
	// Reason tells later readers of the history why.
	Reason string `json:"reason"`
	// Created is the author's clock, for people; no decision reads it.
	Created time.Time `json:"created"`
	// Restores names the earlier configuration that a rollback brings back.
	Restores *Ref `json:"restores,omitempty"`
	// Parts are the content hashes of the documents.
	Parts Parts `json:"parts"`
}

// Parts names the documents of a bundle. Items are spread over the parts of
// their kind by a hash of their name.
type Parts struct {
	// Base holds what is small and read together: classes, policy, quarantine.
	Base     Hash   `json:"base"`
	Routes   []Hash `json:"routes"`
	Callers  []Hash `json:"callers"`
	Services []Hash `json:"services"`
}

// All returns the hash of every document once, in a fixed order.
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

// Encode writes the manifest's payload: canonical, so that one manifest has
// one hash.
func (m Manifest) Encode() ([]byte, error) {
	payload, err := json.Marshal(m)
	return payload, errors.Wrap(err, "encode manifest")
}

// DecodeManifest reads a payload. Anything but the canonical encoding is
// refused, so that two payloads with the same meaning cannot have two hashes
// and show up as two configurations with one generation.
func DecodeManifest(payload []byte) (Manifest, error) {
	if len(payload) > MaxManifestBytes {
		return Manifest{}, errors.Errorf("manifest of %d bytes is over the limit of %d", len(payload), MaxManifestBytes)
	}
	var m Manifest
	if err := decodeStrict(payload, &m); err != nil {
		return Manifest{}, errors.Wrap(err, "manifest")
	}
	again, err := m.Encode()
	if err != nil {
		return Manifest{}, err
	}
	if !bytes.Equal(again, payload) {
		return Manifest{}, errors.New("manifest is not in its canonical encoding")
	}
	return m, m.check()
}

func (m Manifest) check() error {
	switch {
	case m.Format != manifestFormat:
		return errors.Errorf("manifest has format %d, this program reads %d", m.Format, manifestFormat)
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

// decodeStrict reads exactly one JSON value without unknown fields.
func decodeStrict(raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("bytes after the end of the value")
	}
	return nil
}
