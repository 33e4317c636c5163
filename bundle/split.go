package bundle

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

const (
	// partBytes is the size of a part that Split aims at. A change moves the
	// manifest (46 bytes for each part) and one part; docs/measurements/rollout.md
	// has the sizes that were tried.
	partBytes = 8 << 10
	// resplitFactor is how far the mean size of parts may drift from
	// partBytes before the number of parts changes. A new number moves every
	// item, so a bundle near the boundary must not flip between two numbers.
	resplitFactor = 4
	// MaxBundleBytes bounds all documents together, which hosts keep in memory.
	MaxBundleBytes = 8 << 20
)

// Contents maps content hashes to the documents' bytes.
type Contents map[Hash][]byte

// Bytes is the size of all documents together.
func (c Contents) Bytes() int {
	total := 0
	for _, content := range c {
		total += len(content)
	}
	return total
}

type baseDocument struct {
	Classes    []Class              `json:"classes"`
	Policy     Policy               `json:"policy"`
	Quarantine []QuarantineOverride `json:"quarantine"`
}

// Split cuts documents into content-addressed parts. With the parts of the
// configuration that was changed, it keeps their number where it can, so that
// the change of one item changes one part.
func Split(docs Documents, previous Parts) (Parts, Contents, error) {
	return SplitWithPartSize(docs, previous, partBytes)
}

// SplitWithPartSize is Split with another size of parts than the default, in bytes. How
// a bundle is split is its author's choice: readers take any.
func SplitWithPartSize(docs Documents, previous Parts, size int) (Parts, Contents, error) {
	contents := make(Contents)
	var parts Parts
	var err error
	base := baseDocument{Classes: docs.Classes, Policy: docs.Policy, Quarantine: docs.Quarantine}
	if parts.Base, err = addDocument(contents, base); err != nil {
		return Parts{}, nil, err
	}
	if parts.Routes, err = splitKind(contents, docs.Routes, routeName, len(previous.Routes), size); err != nil {
		return Parts{}, nil, err
	}
	if parts.Callers, err = splitKind(contents, docs.Callers, callerName, len(previous.Callers), size); err != nil {
		return Parts{}, nil, err
	}
	if parts.Services, err = splitKind(contents, docs.Services, serviceName, len(previous.Services), size); err != nil {
		return Parts{}, nil, err
	}
	if total := contents.Bytes(); total > MaxBundleBytes {
		return Parts{}, nil, errors.Errorf("bundle of %d bytes is over the limit of %d; remove unused routes or callers", total, MaxBundleBytes)
	}
	return parts, contents, nil
}

func routeName(r Route) string     { return r.Name }
func callerName(c Caller) string   { return c.Name }
func serviceName(s Service) string { return s.Name }

func splitKind[T any](contents Contents, items []T, name func(T) string, previous, size int) ([]Hash, error) {
	encoded, err := json.Marshal(items)
	if err != nil {
		return nil, errors.Wrap(err, "encode documents")
	}
	count := partCount(len(encoded), previous, size)
	buckets := make([][]T, count)
	for _, item := range items {
		i := bucketOf(name(item), count)
		buckets[i] = append(buckets[i], item)
	}
	hashes := make([]Hash, count)
	for i, bucket := range buckets {
		slices.SortFunc(bucket, func(a, b T) int { return strings.Compare(name(a), name(b)) })
		if hashes[i], err = addDocument(contents, bucket); err != nil {
			return nil, err
		}
	}
	return hashes, nil
}

func bucketOf(name string, count int) int {
	return int(xxhash.Sum64String(name) & uint64(count-1))
}

// partCount is a power of two: the previous one while parts stay near size.
func partCount(total, previous, size int) int {
	if previous > 0 && total <= previous*size*resplitFactor && (previous == 1 || total*resplitFactor >= previous*size) {
		return previous
	}
	count := 1
	for count*size < total {
		count *= 2
	}
	return count
}

func addDocument(contents Contents, value any) (Hash, error) {
	content, err := json.Marshal(value)
	if err != nil {
		return Hash{}, errors.Wrap(err, "encode document")
	}
	if len(content) > metastore.MaxValueBytes {
		return Hash{}, errors.Errorf("a document of %d bytes is over the platform's limit of %d; split large routes or classes", len(content), metastore.MaxValueBytes)
	}
	hash := HashOf(content)
	contents[hash] = content
	return hash, nil
}

// MissingError lists documents that are named but not at hand.
type MissingError struct {
	Hashes []Hash
}

// Error counts what is missing.
func (e *MissingError) Error() string {
	return errors.Errorf("%d documents are missing, the first is %s", len(e.Hashes), e.Hashes[0].Short()).Error()
}

// Missing lists the documents of the parts that contents lacks.
func (p Parts) Missing(contents Contents) []Hash {
	var missing []Hash
	for _, hash := range p.All() {
		if _, ok := contents[hash]; !ok {
			missing = append(missing, hash)
		}
	}
	return missing
}

// Join puts documents together again. It checks every content against its
// hash, so contents may come from anyone.
func Join(parts Parts, contents Contents) (Documents, error) {
	if missing := parts.Missing(contents); len(missing) > 0 {
		return Documents{}, &MissingError{missing}
	}
	var docs Documents
	var base baseDocument
	if err := readDocument(contents, parts.Base, &base); err != nil {
		return docs, err
	}
	docs.Classes, docs.Policy, docs.Quarantine = base.Classes, base.Policy, base.Quarantine
	var err error
	if docs.Routes, err = joinKind(contents, parts.Routes, routeName); err != nil {
		return docs, err
	}
	if docs.Callers, err = joinKind(contents, parts.Callers, callerName); err != nil {
		return docs, err
	}
	docs.Services, err = joinKind(contents, parts.Services, serviceName)
	return docs, err
}

func joinKind[T any](contents Contents, hashes []Hash, name func(T) string) ([]T, error) {
	var items []T
	total := 0
	for i, hash := range hashes {
		var bucket []T
		if err := readDocument(contents, hash, &bucket); err != nil {
			return nil, err
		}
		if total += len(contents[hash]); total > MaxBundleBytes {
			return nil, errors.Errorf("bundle is over the limit of %d bytes", MaxBundleBytes)
		}
		for _, item := range bucket {
			if bucketOf(name(item), len(hashes)) != i {
				return nil, errors.Errorf("document %s: item %q belongs into another part", hash.Short(), name(item))
			}
		}
		items = append(items, bucket...)
	}
	slices.SortFunc(items, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return items, nil
}

func readDocument(contents Contents, hash Hash, into any) error {
	content := contents[hash]
	if HashOf(content) != hash {
		return errors.Errorf("document %s: its content has another hash", hash.Short())
	}
	if err := decodeStrict(content, into); err != nil {
		return errors.Wrapf(err, "document %s", hash.Short())
	}
	if again, err := json.Marshal(into); err != nil || !bytes.Equal(again, content) {
		return errors.Errorf("document %s is not in its canonical encoding", hash.Short())
	}
	return nil
}
