package bundle

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Change is a manifest with its documents, as authors and reviewers pass it
// on until it has its sign-offs.
type Change struct {
	Signed   Signed
	Contents Contents
}

type changeFile struct {
	Signed    Signed   `json:"signed"`
	Documents [][]byte `json:"documents"`
}

// maxChangeBytes bounds a file of a change: the documents in base64 and the
// manifest.
const maxChangeBytes = 2*MaxBundleBytes + MaxSignedBytes

// Proposal is what an author says about a change.
type Proposal struct {
	Author  string
	Reason  string
	Created time.Time
	// AboveGeneration makes the generation higher than this and the parent's. It is for
	// a store that was set back by its own operators, while hosts have a higher
	// generation in force.
	AboveGeneration uint64
}

// Propose makes an unsigned change of the parent. For the first generation
// the parent is zero.
func Propose(parent Ref, previous Parts, docs Documents, p Proposal) (Change, error) {
	if problems := Validate(docs); len(problems) > 0 {
		return Change{}, problems
	}
	parts, contents, err := Split(docs, previous)
	if err != nil {
		return Change{}, err
	}
	return NewChange(Manifest{
		Generation: max(parent.Generation, p.AboveGeneration) + 1,
		Parent:     parent,
		Author:     p.Author,
		Reason:     p.Reason,
		Created:    p.Created.UTC().Truncate(time.Second),
		Parts:      parts,
	}, contents)
}

// NewChange makes an unsigned change of a manifest.
func NewChange(m Manifest, contents Contents) (Change, error) {
	signed, err := NewSigned(m)
	return Change{Signed: signed, Contents: contents}, err
}

// Sign adds a sign-off.
func (c Change) Sign(key SigningKey) Change {
	return Change{Signed: c.Signed.Sign(key.Name, key.Private), Contents: c.Contents}
}

// Open checks the documents of the change and returns them.
func (c Change) Open() (Manifest, Documents, error) {
	m, err := c.Signed.Manifest()
	if err != nil {
		return Manifest{}, Documents{}, err
	}
	_, docs, err := Open(m, c.Contents)
	return m, docs, err
}

// Encode writes the change for a file.
func (c Change) Encode() ([]byte, error) {
	m, err := c.Signed.Manifest()
	if err != nil {
		return nil, err
	}
	file := changeFile{Signed: c.Signed}
	for _, hash := range m.Parts.All() {
		file.Documents = append(file.Documents, c.Contents[hash])
	}
	raw, err := json.MarshalIndent(file, "", " ")
	return raw, errors.Wrap(err, "encode change")
}

// DecodeChange reads what Encode writes. It checks no signature.
func DecodeChange(raw []byte) (Change, error) {
	if len(raw) > maxChangeBytes {
		return Change{}, errors.Errorf("change of %d bytes is over the limit of %d", len(raw), maxChangeBytes)
	}
	var file changeFile
	if err := decodeStrict(raw, &file); err != nil {
		return Change{}, errors.Wrap(err, "change file")
	}
	c := Change{Signed: file.Signed, Contents: make(Contents, len(file.Documents))}
	for _, content := range file.Documents {
		c.Contents[HashOf(content)] = content
	}
	_, err := c.Signed.Manifest()
	return c, err
}
