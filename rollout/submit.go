package rollout

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// ConflictError reports that another change was accepted first and that this
// one has no effect. It describes the other change, so that the author can
// rebase on it.
type ConflictError struct {
	// Parent is the configuration that the refused change is based on.
	Parent bundle.Ref
	// Head is the configuration accepted since, by Author for Reason.
	Head   bundle.Ref
	Author string
	Reason string
	// Differences lists the changes from Parent to Head.
	Differences []bundle.Difference
}

// Error describes the other change and how to resolve the conflict.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: this change is based on generation %s, but %s's generation %s (%q) was accepted since; this change has no effect; make it again on top and sign it again",
		e.Parent, e.Author, e.Head, e.Reason)
	for _, difference := range e.Differences {
		fmt.Fprintf(&b, "\n  %s", difference)
	}
	return b.String()
}

// OutcomeUnknownError reports that the store did not confirm in time whether the
// head was replaced.
type OutcomeUnknownError struct {
	Ref   bundle.Ref
	Cause error
}

// Error describes how to resolve the outcome; submitting the same file again is
// always safe.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("whether generation %s was accepted is not known (%v); submit the same file again when the store answers", e.Ref, e.Cause)
}

// Unwrap returns the last error of the store.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// SubmitResult is the result of a submit whose change was accepted.
type SubmitResult struct {
	Ref bundle.Ref `json:"ref"`
	// Superseded reports that a later change has been accepted since.
	Superseded bool `json:"superseded,omitempty"`
	// DocumentsWritten counts the documents that were written to the store.
	DocumentsWritten int `json:"documents_written"`
	// Elapsed is the time from the first call until acceptance.
	Elapsed time.Duration `json:"elapsed"`
}

// Submit verifies the change and makes it the head. It is idempotent: the same
// change may be submitted again after any error. It retries through outages of
// the store until ctx ends.
//
// A *bundle.SignatureError or bundle.Problems says that the change is invalid,
// a *ConflictError that another change was accepted first, and an
// *OutcomeUnknownError that the outcome is unknown. After any other error this
// call did not replace the head.
func Submit(ctx context.Context, store metastore.Store, signers bundle.Signers, change bundle.Change) (SubmitResult, error) {
	s, err := newSubmitter(store, signers, change)
	if err != nil {
		return SubmitResult{}, err
	}
	return s.run(ctx)
}

type submitter struct {
	store     metastore.Store
	signed    bundle.Signed
	manifest  bundle.Manifest
	contents  bundle.Contents
	decisions submission

	head                 acceptedHead         // as last read
	ancestor             bundle.Ref           // of the head; the next one to read
	written              map[bundle.Hash]bool // documents, in all attempts
	prerequisitesWritten bool
	// conflicted is set by a write that conflicted, and conflictVersion is the
	// version it expected; 0 is valid, for the first head.
	conflicted      bool
	conflictVersion uint64
	// outcomeUnknown is set by a write whose outcome the store did not report.
	outcomeUnknown bool
}

func newSubmitter(store metastore.Store, signers bundle.Signers, change bundle.Change) (*submitter, error) {
	manifest, err := signers.Verify(change.Signed)
	if err != nil {
		return nil, err
	}
	if _, _, err := bundle.Open(manifest, change.Contents); err != nil {
		return nil, err
	}
	self := bundle.Ref{Generation: manifest.Generation, Hash: change.Signed.Hash()}
	return &submitter{
		store:     store,
		signed:    change.Signed,
		manifest:  manifest,
		contents:  change.Contents,
		written:   make(map[bundle.Hash]bool),
		decisions: submission{self: self, parent: manifest.Parent},
	}, nil
}

func (s *submitter) run(ctx context.Context) (SubmitResult, error) {
	started := time.Now()
	wait := newBackoff(operatorMinBackoff, operatorMaxBackoff)
	next := stepReadHead
	for {
		var err error
		next, err = s.doStep(ctx, next)
		switch {
		case err != nil && ctx.Err() == nil && retryable(err):
			_ = pause(ctx, wait.NextBackOff())
		case err != nil:
			return SubmitResult{}, s.wrapError(err)
		case next == stepAccepted:
			s.updateRef(ctx)
			return SubmitResult{
				Ref:              s.decisions.self,
				Superseded:       s.head.ref.Generation > s.decisions.self.Generation,
				DocumentsWritten: len(s.written),
				Elapsed:          time.Since(started),
			}, nil
		case next == stepConflict:
			return SubmitResult{}, s.conflict(ctx)
		}
	}
}

// updateRef updates the ref object for the watchers' heartbeats. A failure is
// ignored: the head is already replaced, and the watches report it.
func (s *submitter) updateRef(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refUpdateTimeout)
	defer cancel()
	_ = writeRef(ctx, s.store, s.decisions.self)
}

// doStep performs one step and returns the next. With an error, the returned
// step is the one to retry after the backoff.
func (s *submitter) doStep(ctx context.Context, current step) (step, error) {
	switch current {
	case stepReadHead:
		head, err := s.readHead(ctx)
		if err != nil {
			return stepReadHead, err
		}
		s.head, s.ancestor = head, head.manifest.Parent
		next := s.decisions.onHead(head.ref, head.manifest.Parent)
		// A write at this version has conflicted, so the read is stale. Without
		// a backoff, stale reads and conflicting writes would alternate in a
		// busy loop.
		if next == stepReadHead || (next == stepWriteHead && s.conflicted && head.version == s.conflictVersion) {
			return stepReadHead, errStale
		}
		return next, nil
	case stepWriteHead:
		return s.writeHead(ctx)
	case stepReadAncestor:
		return s.readAncestor(ctx)
	default:
		return current, errors.Errorf("unknown submit step %d", current)
	}
}

func (s *submitter) readHead(ctx context.Context) (acceptedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	return readHead(ctx, s.store)
}

func (s *submitter) writeHead(ctx context.Context) (step, error) {
	if !s.prerequisitesWritten {
		if err := s.writePrerequisites(ctx); err != nil {
			return stepReadHead, err
		}
		s.prerequisitesWritten = true
	}
	raw, err := encodeHead(s.signed, s.changed(), s.manifest.Parts.All())
	if err != nil {
		return stepReadHead, err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	_, err = s.store.Put(ctx, HeadKey, raw, s.head.version)
	if mayHaveTakenEffect(err) {
		s.outcomeUnknown = true
	}
	next := s.decisions.onWrite(err)
	if errors.Is(err, metastore.ErrConflict) {
		s.conflicted, s.conflictVersion = true, s.head.version
		return next, nil // the head has changed; read it without a backoff
	}
	return next, err
}

// writePrerequisites writes the documents, and the parent manifest to the
// history. Both must exist before the head is replaced: a submit that crashes in
// between must not leave a gap in the history.
func (s *submitter) writePrerequisites(ctx context.Context) error {
	for hash, content := range s.changed() {
		if s.written[hash] {
			continue
		}
		if err := s.createIfAbsent(ctx, documentKey(hash), content); err != nil {
			return err
		}
		s.written[hash] = true
	}
	if s.head.ref.IsZero() {
		return nil
	}
	parent, err := s.head.signed.Encode()
	if err != nil {
		return err
	}
	return s.createIfAbsent(ctx, manifestKey(s.head.ref), parent)
}

// createIfAbsent writes an object whose value depends on its key alone. It is no
// error if the object exists.
func (s *submitter) createIfAbsent(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	_, err := s.store.Put(ctx, key, value, 0)
	if errors.Is(err, metastore.ErrConflict) {
		return nil
	}
	return err
}

// changed returns the documents that the head does not have.
func (s *submitter) changed() bundle.Contents {
	known := make(map[bundle.Hash]bool)
	if !s.head.ref.IsZero() {
		for _, hash := range s.head.manifest.Parts.All() {
			known[hash] = true
		}
	}
	changed := make(bundle.Contents)
	for _, hash := range s.manifest.Parts.All() {
		if !known[hash] {
			changed[hash] = s.contents[hash]
		}
	}
	return changed
}

func (s *submitter) readAncestor(ctx context.Context) (step, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	signed, err := readManifest(ctx, s.store, s.head, s.ancestor)
	if errors.Is(err, metastore.ErrNotFound) {
		return stepReadAncestor, errStale // it was written before its successor, so this read is stale
	}
	if err != nil {
		return stepReadAncestor, err
	}
	_, manifest, err := refOf(signed)
	if err != nil {
		return stepReadAncestor, err
	}
	s.ancestor = manifest.Parent
	return s.decisions.onAncestor(s.ancestor), nil
}

// errStale reports that a read returned an older state than one already seen.
var errStale = errors.New("the store's reads lag behind its writes")

// retryable reports whether the error is temporary.
func retryable(err error) bool {
	return errors.Is(err, metastore.ErrUnavailable) || errors.Is(err, metastore.ErrAmbiguous) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errStale)
}

func (s *submitter) wrapError(err error) error {
	if s.outcomeUnknown {
		return &OutcomeUnknownError{Ref: s.decisions.self, Cause: err}
	}
	return errors.Wrapf(err, "generation %s: this submit did not move the head; submit the same file again when the store answers", s.decisions.self)
}

func (s *submitter) conflict(ctx context.Context) error {
	conflict := &ConflictError{
		Parent: s.manifest.Parent,
		Head:   s.head.ref,
		Author: s.head.manifest.Author,
		Reason: s.head.manifest.Reason,
	}
	// The differences only add detail; an error in reading them is ignored.
	conflict.Differences, _ = differencesSince(ctx, s.store, s.head, s.manifest.Parent, s.contents)
	return conflict
}

// differencesSince lists the changes accepted after parent. own holds the
// change's documents, which saves reading those that the parent shares.
func differencesSince(ctx context.Context, store metastore.Store, current acceptedHead, parent bundle.Ref, own bundle.Contents) ([]bundle.Difference, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	contents := make(bundle.Contents, len(own))
	for hash, content := range own {
		contents[hash] = content
	}
	for hash, content := range current.contents {
		contents[hash] = content
	}
	var before bundle.Documents
	if !parent.IsZero() {
		signed, err := readManifest(ctx, store, current, parent)
		if err != nil {
			return nil, err
		}
		_, m, err := refOf(signed)
		if err != nil {
			return nil, err
		}
		if before, err = loadDocuments(ctx, store, m.Parts, contents); err != nil {
			return nil, err
		}
	}
	var after bundle.Documents
	if !current.ref.IsZero() {
		var err error
		if after, err = loadDocuments(ctx, store, current.manifest.Parts, contents); err != nil {
			return nil, err
		}
	}
	return bundle.Diff(before, after), nil
}

func loadDocuments(ctx context.Context, store metastore.Store, parts bundle.Parts, contents bundle.Contents) (bundle.Documents, error) {
	if err := readDocuments(ctx, store, parts, contents); err != nil {
		return bundle.Documents{}, err
	}
	return bundle.Join(parts, contents)
}
