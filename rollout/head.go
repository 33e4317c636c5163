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
	// HeadKey is the object that names the accepted configuration.
	HeadKey = "config/head"
	// refKey repeats which configuration the head names, in a few bytes. It is
	// written after the head moved and is a hint only: watchers read it as a
	// heartbeat, and the head when it names a higher generation.
	refKey          = "config/ref"
	manifestsPrefix = "config/manifests/"
	documentsPrefix = "config/documents/"
	// headDocumentsBytes bounds the changed documents that ride in the head
	// object. In JSON they grow by a third, and with the largest manifest
	// still fit in a value of the platform.
	headDocumentsBytes = 256 << 10
)

// manifestKey holds the hash, so that a store that was set back, where a
// generation is accepted a second time, keeps both in its history.
func manifestKey(ref bundle.Ref) string { return generationPrefix(ref.Generation) + ref.Hash.String() }

func generationPrefix(generation uint64) string {
	return fmt.Sprintf("%s%020d-", manifestsPrefix, generation)
}

func documentKey(hash bundle.Hash) string { return documentsPrefix + hash.String() }

// head is the value of the head object. The documents that differ from the
// parent ride along: a watcher has all of the change with the one reply of
// its watch, also when the store goes down right after.
type head struct {
	Signed    bundle.Signed `json:"signed"`
	Documents [][]byte      `json:"documents,omitempty"`
}

func encodeHead(signed bundle.Signed, changed bundle.Contents, order []bundle.Hash) ([]byte, error) {
	value := head{Signed: signed}
	if changed.Bytes() <= headDocumentsBytes {
		for _, hash := range order {
			if content, ok := changed[hash]; ok {
				value.Documents = append(value.Documents, content)
			}
		}
	}
	raw, err := json.Marshal(value)
	return raw, errors.Wrap(err, "encode head")
}

// decodeHead reads a head object. It checks no signature.
func decodeHead(raw []byte) (head, error) {
	if len(raw) > metastore.MaxValueBytes {
		return head{}, errors.Errorf("head of %d bytes is over the platform's limit", len(raw))
	}
	var value head
	if err := json.Unmarshal(raw, &value); err != nil {
		return head{}, errors.Wrap(err, "head object")
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

// refOf names a signed manifest without checking its sign-offs.
func refOf(signed bundle.Signed) (bundle.Ref, bundle.Manifest, error) {
	m, err := signed.Manifest()
	if err != nil {
		return bundle.Ref{}, bundle.Manifest{}, err
	}
	return bundle.Ref{Generation: m.Generation, Hash: signed.Hash()}, m, nil
}

// acceptedHead is the head object as operators' commands read it.
type acceptedHead struct {
	ref      bundle.Ref
	manifest bundle.Manifest
	signed   bundle.Signed
	contents bundle.Contents
	version  uint64
}

// readHead reads the head; a store without one gives the zero head.
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
		return acceptedHead{}, errors.Wrap(err, "head object")
	}
	return acceptedHead{ref, manifest, value.Signed, value.contents(), object.Version}, nil
}

// readManifest reads an accepted manifest from the head or the history.
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

// findManifest reads an accepted manifest by its generation alone.
func findManifest(ctx context.Context, store metastore.Store, generation uint64) (bundle.Signed, error) {
	objects, _, err := store.List(ctx, generationPrefix(generation))
	switch {
	case err != nil:
		return bundle.Signed{}, errors.Wrapf(err, "read manifest of generation %d", generation)
	case len(objects) == 0:
		return bundle.Signed{}, errors.Errorf("generation %d was never accepted; name one of bundle history", generation)
	case len(objects) > 1:
		return bundle.Signed{}, errors.Errorf("generation %d was accepted %d times, in a store that was set back; sign the documents themselves", generation, len(objects))
	}
	return bundle.DecodeSigned(objects[0].Value)
}

// readDocuments adds the documents of the parts that contents lacks.
func readDocuments(ctx context.Context, store metastore.Store, parts bundle.Parts, contents bundle.Contents) error {
	for _, hash := range parts.Missing(contents) {
		object, err := store.Get(ctx, documentKey(hash))
		if err != nil {
			return errors.Wrapf(err, "read document %s", hash.Short())
		}
		if bundle.HashOf(object.Value) != hash {
			return errors.Errorf("document %s in the store has other content", hash.Short())
		}
		contents[hash] = object.Value
	}
	return nil
}

// readRef reads the hint; zero: there is none.
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
	return ref, object.Version, errors.Wrap(err, "ref object")
}

// writeRef writes the hint unless it names a generation that is as high.
func writeRef(ctx context.Context, store metastore.Store, ref bundle.Ref) error {
	there, version, err := readRef(ctx, store)
	if err != nil || there.Generation >= ref.Generation {
		return err
	}
	raw, err := json.Marshal(ref)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, refKey, raw, version)
	return err
}
