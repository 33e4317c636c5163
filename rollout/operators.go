package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// AcceptedGeneration is one accepted generation in the history.
type AcceptedGeneration struct {
	Ref      bundle.Ref  `json:"ref"`
	Parent   bundle.Ref  `json:"parent"`
	Author   string      `json:"author"`
	SignedBy []string    `json:"signed_by"`
	Reason   string      `json:"reason"`
	Created  time.Time   `json:"created"`
	Restores *bundle.Ref `json:"restores,omitempty"`
}

// Current reads the accepted configuration; a store without one gives a zero
// Ref and empty documents.
func Current(ctx context.Context, store metastore.Store) (bundle.Ref, bundle.Parts, bundle.Documents, error) {
	current, err := readHead(ctx, store)
	if err != nil || current.ref.IsZero() {
		return bundle.Ref{}, bundle.Parts{}, bundle.Documents{}, err
	}
	docs, err := loadDocuments(ctx, store, current.manifest.Parts, current.contents)
	return current.ref, current.manifest.Parts, docs, err
}

// Propose makes an unsigned change of the accepted configuration.
func Propose(ctx context.Context, store metastore.Store, docs bundle.Documents, p bundle.Proposal) (bundle.Change, error) {
	current, err := readHead(ctx, store)
	if err != nil {
		return bundle.Change{}, err
	}
	return bundle.Propose(current.ref, current.manifest.Parts, docs, p)
}

// Rollback makes an unsigned change that restores an earlier generation: a new
// generation that names it. It needs sign-offs and Submit like any other.
func Rollback(ctx context.Context, store metastore.Store, to uint64, p bundle.Proposal) (bundle.Change, error) {
	current, err := readHead(ctx, store)
	if err != nil {
		return bundle.Change{}, err
	}
	if to == 0 || to >= current.ref.Generation {
		return bundle.Change{}, errors.Errorf("generation %d can't be restored: the one in force is %s; name an earlier one of bundle history", to, current.ref)
	}
	signed, err := findManifest(ctx, store, to)
	if err != nil {
		return bundle.Change{}, err
	}
	restored, manifest, err := refOf(signed)
	if err != nil {
		return bundle.Change{}, err
	}
	contents := make(bundle.Contents)
	if err := readDocuments(ctx, store, manifest.Parts, contents); err != nil {
		return bundle.Change{}, err
	}
	change, err := bundle.NewChange(bundle.Manifest{
		Generation: max(current.ref.Generation, p.AboveGeneration) + 1,
		Parent:     current.ref,
		Author:     p.Author,
		Reason:     p.Reason,
		Created:    p.Created.UTC().Truncate(time.Second),
		Restores:   &restored,
		Parts:      manifest.Parts,
	}, contents)
	if err != nil {
		return bundle.Change{}, err
	}
	_, _, err = change.Open()
	return change, errors.Wrapf(err, "generation %d no longer passes the checks", to)
}

// History reads the newest accepted generations, at most limit, newest first.
func History(ctx context.Context, store metastore.Store, limit int) ([]AcceptedGeneration, error) {
	current, err := readHead(ctx, store)
	if err != nil || current.ref.IsZero() {
		return nil, err
	}
	var accepted []AcceptedGeneration
	signed := current.signed
	for len(accepted) < limit {
		ref, m, err := refOf(signed)
		if err != nil {
			return accepted, err
		}
		accepted = append(accepted, acceptedOf(ref, m, signed))
		if m.Parent.IsZero() {
			break
		}
		if signed, err = readManifest(ctx, store, current, m.Parent); err != nil {
			return accepted, err
		}
	}
	return accepted, nil
}

func acceptedOf(ref bundle.Ref, m bundle.Manifest, signed bundle.Signed) AcceptedGeneration {
	a := AcceptedGeneration{
		Ref: ref, Parent: m.Parent, Author: m.Author, Reason: m.Reason,
		Created: m.Created, Restores: m.Restores,
	}
	for _, signature := range signed.Signatures {
		a.SignedBy = append(a.SignedBy, signature.Signer)
	}
	return a
}
