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

// ConflictError: another change was accepted first; nothing of this one is in
// force. It shows the other's change, so that the author can make theirs again
// on top.
type ConflictError struct {
	// Parent is the configuration that the refused change started from.
	Parent bundle.Ref
	// Head is the one accepted since.
	Head   bundle.Ref
	Author string
	Reason string
	// Differences is what was accepted since Parent.
	Differences []bundle.Difference
}

// Error writes whose change came first, what it changes and the mend.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: this change starts from generation %s, but %s's generation %s (%q) was accepted since; nothing of this change is in force; make it again on top and sign it again",
		e.Parent, e.Author, e.Head, e.Reason)
	for _, difference := range e.Differences {
		fmt.Fprintf(&b, "\n  %s", difference)
	}
	return b.String()
}

// UnknownError: the store did not say in time whether the head moved.
type UnknownError struct {
	Ref   bundle.Ref
	Cause error
}

// Error says what to do: to submit the same file again is always safe.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("whether generation %s was accepted is not known (%v); submit the same file again when the store answers", e.Ref, e.Cause)
}

// Unwrap returns the last error of the store.
func (e *UnknownError) Unwrap() error { return e.Cause }

// SubmitResult tells what a submit did.
type SubmitResult struct {
	Ref bundle.Ref `json:"ref"`
	// Superseded: it was accepted, and a later change has been accepted since.
	Superseded bool `json:"superseded,omitempty"`
	// DocumentsWritten counts the documents that the store lacked.
	DocumentsWritten int `json:"documents_written"`
	// Elapsed is from the first call to acceptance.
	Elapsed time.Duration `json:"elapsed"`
}

// Submit checks the change and moves the head to it. It is idempotent: the
// same change may be submitted again after any error. Until ctx ends it goes
// on through outages of the store.
//
// The errors: *bundle.SignatureError and bundle.Problems refuse the change,
// *ConflictError means that another came first, *UnknownError that the outcome
// is open; any other means that this submit did not move the head.
func Submit(ctx context.Context, store metastore.Store, signers bundle.Signers, change bundle.Change) (SubmitResult, error) {
	s, err := newSubmitter(store, signers, change)
	if err != nil {
		return SubmitResult{}, err
	}
	return s.run(ctx)
}

type submitter struct {
	store    metastore.Store
	signed   bundle.Signed
	manifest bundle.Manifest
	contents bundle.Contents
	logic    submission

	head     acceptedHead         // as last read
	ancestor bundle.Ref           // where the walk down from the head has come to
	written  map[bundle.Hash]bool // documents, over all tries
	prepared bool
	// conflicted is set by a write that conflicted, and refusedVersion is the
	// version it expected, which is 0 for the first head.
	conflicted     bool
	refusedVersion uint64
	// open is set by a write whose outcome the store did not tell.
	open bool
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
		store:    store,
		signed:   change.Signed,
		manifest: manifest,
		contents: change.Contents,
		written:  make(map[bundle.Hash]bool),
		logic:    submission{self: self, parent: manifest.Parent},
	}, nil
}

func (s *submitter) run(ctx context.Context) (SubmitResult, error) {
	started := time.Now()
	wait := newBackoff(operatorFirstBackoff, operatorLastBackoff)
	next := stepReadHead
	for {
		var err error
		next, err = s.do(ctx, next)
		switch {
		case err != nil && ctx.Err() == nil && retryable(err):
			_ = pause(ctx, wait.NextBackOff())
		case err != nil:
			return SubmitResult{}, s.failure(err)
		case next == stepAccepted:
			s.announce(ctx)
			return SubmitResult{
				Ref:              s.logic.self,
				Superseded:       s.head.ref.Generation > s.logic.self.Generation,
				DocumentsWritten: len(s.written),
				Elapsed:          time.Since(started),
			}, nil
		case next == stepConflict:
			return SubmitResult{}, s.conflict(ctx)
		}
	}
}

// announce updates the hint for watchers' heartbeats. A failure changes nothing
// for the operator: the head has moved, and watches have told it.
func (s *submitter) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_ = writeRef(ctx, s.store, s.logic.self)
}

// do takes one step and returns the next. With an error the next step is the
// one to take after a pause.
func (s *submitter) do(ctx context.Context, current step) (step, error) {
	switch current {
	case stepReadHead:
		head, err := s.readHead(ctx)
		if err != nil {
			return stepReadHead, err
		}
		s.head, s.ancestor = head, head.manifest.Parent
		next := s.logic.onHead(head.ref, head.manifest.Parent)
		// A write at this version has conflicted, so the store has moved on and
		// the read lags. Without a pause the two would follow each other as fast
		// as the store answers.
		if next == stepReadHead || (next == stepWriteHead && s.conflicted && head.version == s.refusedVersion) {
			return stepReadHead, errStale
		}
		return next, nil
	case stepWriteHead:
		return s.writeHead(ctx)
	case stepReadAncestor:
		return s.readAncestor(ctx)
	default:
		return current, errors.Errorf("submit has no step %d", current)
	}
}

func (s *submitter) readHead(ctx context.Context) (acceptedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	return readHead(ctx, s.store)
}

func (s *submitter) writeHead(ctx context.Context) (step, error) {
	if !s.prepared {
		if err := s.prepare(ctx); err != nil {
			return stepReadHead, err
		}
		s.prepared = true
	}
	raw, err := encodeHead(s.signed, s.changed(), s.manifest.Parts.All())
	if err != nil {
		return stepReadHead, err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	_, err = s.store.Put(ctx, HeadKey, raw, s.head.version)
	if mayHaveTakenEffect(err) {
		s.open = true
	}
	next := s.logic.onWrite(err)
	if errors.Is(err, metastore.ErrConflict) {
		s.conflicted, s.refusedVersion = true, s.head.version
		return next, nil // someone moved it: no need to wait before reading
	}
	return next, err
}

// prepare writes what must be there before the head moves: the documents, and
// the parent in the history, so that no accepted generation is lost from it
// when a submitter dies between two writes.
func (s *submitter) prepare(ctx context.Context) error {
	for hash, content := range s.changed() {
		if s.written[hash] {
			continue
		}
		if err := s.create(ctx, documentKey(hash), content); err != nil {
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
	return s.create(ctx, manifestKey(s.head.ref), parent)
}

// create writes an object that always has the same value, so one that is
// there already is as good.
func (s *submitter) create(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	_, err := s.store.Put(ctx, key, value, 0)
	if errors.Is(err, metastore.ErrConflict) {
		return nil
	}
	return err
}

// changed is what the parent does not have.
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
		return stepReadAncestor, errStale // it was written before its successor
	}
	if err != nil {
		return stepReadAncestor, err
	}
	_, manifest, err := refOf(signed)
	if err != nil {
		return stepReadAncestor, err
	}
	s.ancestor = manifest.Parent
	return s.logic.onAncestor(s.ancestor), nil
}

// errStale: the store answers with a state older than one it has shown.
var errStale = errors.New("the store's reads lag behind its writes")

// retryable errors are outages; all others stay as they are.
func retryable(err error) bool {
	return errors.Is(err, metastore.ErrUnavailable) || errors.Is(err, metastore.ErrAmbiguous) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errStale)
}

func (s *submitter) failure(err error) error {
	if s.open {
		return &UnknownError{Ref: s.logic.self, Cause: err}
	}
	return errors.Wrapf(err, "generation %s: this submit did not move the head; submit the same file again when the store answers", s.logic.self)
}

func (s *submitter) conflict(ctx context.Context) error {
	conflict := &ConflictError{
		Parent: s.manifest.Parent,
		Head:   s.head.ref,
		Author: s.head.manifest.Author,
		Reason: s.head.manifest.Reason,
	}
	// Without the differences the refusal still stands and is still clear.
	conflict.Differences, _ = differencesSince(ctx, s.store, s.head, s.manifest.Parent, s.contents)
	return conflict
}

// differencesSince lists what was accepted after the parent. The change's own
// documents save reading most of the parent's.
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
