package rollout

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

const (
	// HeadKey is the key of the head object, which holds the accepted
	// configuration's signed manifest.
	HeadKey = "config/head"
	// refKey is the key of a small object with the head's reference. It is
	// updated after the head and may lag behind it. Heartbeats read it instead
	// of the much larger head.
	refKey          = "config/ref"
	manifestsPrefix = "config/manifests/"
	documentsPrefix = "config/documents/"
	// maxHeadDocumentBytes bounds the changed documents in the head object.
	// Base64 adds a third; with the largest manifest the object still stays
	// below metastore.MaxValueBytes.
	maxHeadDocumentBytes = 256 << 10
)

// manifestKey includes the hash: in a store that was restored from a backup a
// generation may be accepted twice, and the history keeps both manifests.
func manifestKey(ref bundle.Ref) string { return generationPrefix(ref.Generation) + ref.Hash.String() }

func generationPrefix(generation uint64) string {
	return fmt.Sprintf("%s%020d-", manifestsPrefix, generation)
}

func documentKey(hash bundle.Hash) string { return documentsPrefix + hash.String() }

// head is the value of the head object. It includes the documents that differ
// from the parent, so that one watch reply delivers the whole change even if
// the store goes down right after it.
type head struct {
	Signed    bundle.Signed `json:"signed"`
	Documents [][]byte      `json:"documents,omitempty"`
}

func encodeHead(signed bundle.Signed, changed bundle.Contents, order []bundle.Hash) ([]byte, error) {
	value := head{Signed: signed}
	if changed.Bytes() <= maxHeadDocumentBytes {
		for _, hash := range order {
			if content, ok := changed[hash]; ok {
				value.Documents = append(value.Documents, content)
			}
		}
	}
	raw, err := json.Marshal(value)
	return raw, errors.Wrap(err, "encode head")
}

// decodeHead decodes a head object without verifying its signatures.
func decodeHead(raw []byte) (head, error) {
	if len(raw) > metastore.MaxValueBytes {
		return head{}, errors.Errorf("head object of %d bytes exceeds the platform's limit", len(raw))
	}
	var value head
	if err := json.Unmarshal(raw, &value); err != nil {
		return head{}, errors.Wrap(err, "decode head object")
	}
	return value, nil
}

func (h head) contents() bundle.Contents {
	contents := make(bundle.Contents, len(h.Documents))
	for _, content := range h.Documents {
		contents[bundle.HashOf(content)] = content
	}
	return contents
}

// refOf decodes a signed manifest and its reference without verifying the
// signatures.
func refOf(signed bundle.Signed) (bundle.Ref, bundle.Manifest, error) {
	m, err := signed.Manifest()
	if err != nil {
		return bundle.Ref{}, bundle.Manifest{}, err
	}
	return bundle.Ref{Generation: m.Generation, Hash: signed.Hash()}, m, nil
}

// acceptedHead is the decoded head object with its version, as the operators'
// commands use it.
type acceptedHead struct {
	ref      bundle.Ref
	manifest bundle.Manifest
	signed   bundle.Signed
	contents bundle.Contents
	version  uint64
}

// readHead reads the head object; it returns the zero value if there is none.
func readHead(ctx context.Context, store metastore.Store) (acceptedHead, error) {
	object, err := store.Get(ctx, HeadKey)
	if errors.Is(err, metastore.ErrNotFound) {
		return acceptedHead{}, nil
	}
	if err != nil {
		return acceptedHead{}, errors.Wrap(err, "read head")
	}
	value, err := decodeHead(object.Value)
	if err != nil {
		return acceptedHead{}, err
	}
	ref, manifest, err := refOf(value.Signed)
	if err != nil {
		return acceptedHead{}, errors.Wrap(err, "decode manifest of head")
	}
	return acceptedHead{ref, manifest, value.Signed, value.contents(), object.Version}, nil
}

// readManifest reads an accepted manifest from the head or from the history.
func readManifest(ctx context.Context, store metastore.Store, current acceptedHead, ref bundle.Ref) (bundle.Signed, error) {
	if ref == current.ref {
		return current.signed, nil
	}
	object, err := store.Get(ctx, manifestKey(ref))
	if err != nil {
		return bundle.Signed{}, errors.Wrapf(err, "read manifest of generation %s", ref)
	}
	return bundle.DecodeSigned(object.Value)
}

// findManifest looks up an accepted manifest by its generation.
func findManifest(ctx context.Context, store metastore.Store, generation uint64) (bundle.Signed, error) {
	objects, _, err := store.List(ctx, generationPrefix(generation))
	switch {
	case err != nil:
		return bundle.Signed{}, errors.Wrapf(err, "read manifest of generation %d", generation)
	case len(objects) == 0:
		return bundle.Signed{}, errors.Errorf("generation %d was never accepted; choose one listed by bundle history", generation)
	case len(objects) > 1:
		return bundle.Signed{}, errors.Errorf("generation %d was accepted %d times because the store was restored from a backup; sign the documents themselves", generation, len(objects))
	}
	return bundle.DecodeSigned(objects[0].Value)
}

// readDocuments adds to contents the documents that parts names and contents
// lacks.
func readDocuments(ctx context.Context, store metastore.Store, parts bundle.Parts, contents bundle.Contents) error {
	for _, hash := range parts.Missing(contents) {
		object, err := store.Get(ctx, documentKey(hash))
		if err != nil {
			return errors.Wrapf(err, "read document %s", hash.Short())
		}
		if bundle.HashOf(object.Value) != hash {
			return errors.Errorf("document %s in the store does not match its hash", hash.Short())
		}
		contents[hash] = object.Value
	}
	return nil
}

// readRef reads the ref object and its version; both are zero if there is none.
func readRef(ctx context.Context, store metastore.Store) (bundle.Ref, uint64, error) {
	object, err := store.Get(ctx, refKey)
	if errors.Is(err, metastore.ErrNotFound) {
		return bundle.Ref{}, 0, nil
	}
	if err != nil {
		return bundle.Ref{}, 0, errors.Wrap(err, "read ref")
	}
	var ref bundle.Ref
	err = json.Unmarshal(object.Value, &ref)
	return ref, object.Version, errors.Wrap(err, "decode ref object")
}

// writeRef updates the ref object unless it has the same or a higher generation.
func writeRef(ctx context.Context, store metastore.Store, ref bundle.Ref) error {
	stored, version, err := readRef(ctx, store)
	if err != nil || stored.Generation >= ref.Generation {
		return err
	}
	raw, err := json.Marshal(ref)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, refKey, raw, version)
	return err
}
