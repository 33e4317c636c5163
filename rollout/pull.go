package rollout

import (
	"context"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/freshness"
	"github.com/goldcrestspan/goldcrestspan/rollout/rolloutpb"
)

var errNotNewer = errors.New("peer has no newer configuration")

// puller fetches one configuration: its manifest, then the documents that the
// host lacks. It runs outside the control loop and doesn't change agent state.
type puller struct {
	agent      *Agent
	active     *snapshot
	targetHead *head
	// address is the peer to pull from; empty if no peer is known.
	address string
	// useStoreDocuments and useStoreHead permit reads of these from the store.
	useStoreDocuments bool
	useStoreHead      bool
	contents          bundle.Contents
}

func (a *Agent) newPuller(state pullState) *puller {
	p := &puller{
		agent: a, active: a.snapshot.Load(), targetHead: state.targetHead,
		address: state.target.from, contents: state.partial,
		// Hosts that aren't watchers read the store only after pulls from
		// peers failed, so that a zone doesn't query it all at once.
		useStoreDocuments: a.config.IsWatcher() || state.failures >= pullFailuresBeforeStore,
		useStoreHead:      state.failures >= pullFailuresBeforeStore,
	}
	if p.contents == nil {
		p.contents = make(bundle.Contents)
	}
	if p.address == "" {
		p.address = a.randomPeer()
	}
	return p
}

// source is where the configuration is pulled from: the store or a peer's address.
func (p *puller) source() string {
	if p.targetHead != nil {
		return freshness.Store
	}
	return p.address
}

func (p *puller) run(ctx context.Context) pullResult {
	signed, err := p.fetchManifest(ctx)
	if err != nil {
		return p.failed(err)
	}
	return p.fetchDocumentsAndVerify(ctx, signed)
}

func (p *puller) failed(err error) pullResult { return pullResult{err: err, partial: p.contents} }

// fetchDocumentsAndVerify verifies the signatures, then fetches the documents and
// validates them.
func (p *puller) fetchDocumentsAndVerify(ctx context.Context, signed bundle.Signed) pullResult {
	ref, _, err := refOf(signed)
	if err != nil {
		return p.failed(errors.Wrap(err, "decode manifest"))
	}
	if p.active != nil && ref.Generation <= p.active.ref.Generation {
		return p.failed(errNotNewer)
	}
	manifest, err := p.agent.config.Signers.Verify(signed)
	if err != nil {
		return pullResult{refusal: refusedSignatures, ref: ref, err: err}
	}
	if err := p.fetchDocuments(ctx, manifest.Parts); err != nil {
		return p.failed(err)
	}
	config, _, err := bundle.Open(manifest, p.contents)
	if err != nil {
		return pullResult{refusal: refusedContent, ref: ref, err: err}
	}
	raw, err := signed.Encode()
	if err != nil {
		return pullResult{refusal: refusedContent, ref: ref, err: err}
	}
	return pullResult{ref: ref, candidate: &candidate{
		ref: ref, raw: raw, manifest: manifest, contents: p.referencedContents(manifest.Parts), config: config,
	}}
}

// fetchManifest fetches the signed manifest from the peer, or from the store.
func (p *puller) fetchManifest(ctx context.Context) (bundle.Signed, error) {
	if p.targetHead != nil {
		p.addContents(p.targetHead.contents())
		return p.targetHead.Signed, nil
	}
	signed, err := p.fetchManifestFromPeer(ctx)
	// The rate limit keeps announcements of nonexistent configurations from
	// making every host read the store.
	if err == nil || !p.useStoreHead || !p.agent.fallbackLimiter.Allow() {
		return signed, err
	}
	value, _, err := p.agent.readStoreHead(ctx)
	if err != nil {
		return bundle.Signed{}, err
	}
	p.addContents(value.contents())
	return value.Signed, nil
}

func (p *puller) fetchManifestFromPeer(ctx context.Context) (bundle.Signed, error) {
	if p.address == "" {
		return bundle.Signed{}, errors.New("no peer is known")
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &rolloutpb.HeadRequest{}
	if p.active != nil {
		request.Generation = p.active.ref.Generation
		request.ManifestHash = p.active.ref.Hash[:]
	}
	reply, err := p.agent.client(ctx, p.address).Head(ctx, request)
	if err != nil {
		return bundle.Signed{}, errors.Wrap(err, "request configuration from peer")
	}
	if len(reply.GetManifest()) == 0 {
		return bundle.Signed{}, errNotNewer
	}
	p.addDocuments(reply.GetDocuments())
	return bundle.DecodeSigned(reply.GetManifest())
}

// fetchDocuments fetches the missing documents from the peer, then from the
// store.
func (p *puller) fetchDocuments(ctx context.Context, parts bundle.Parts) error {
	if p.active != nil {
		for _, hash := range parts.Missing(p.contents) {
			if content, ok := p.active.contents[hash]; ok {
				p.contents[hash] = content
			}
		}
	}
	err := p.fetchDocumentsFromPeer(ctx, parts)
	if err == nil || !p.useStoreDocuments {
		return err
	}
	return p.fetchDocumentsFromStore(ctx, parts)
}

func (p *puller) fetchDocumentsFromPeer(ctx context.Context, parts bundle.Parts) error {
	for {
		missing := parts.Missing(p.contents)
		if len(missing) == 0 {
			return nil
		}
		if p.address == "" {
			return errors.New("no peer is known")
		}
		if err := p.requestDocuments(ctx, missing); err != nil {
			return err
		}
		if len(parts.Missing(p.contents)) == len(missing) {
			return &bundle.MissingError{Hashes: missing}
		}
	}
}

func (p *puller) requestDocuments(ctx context.Context, missing []bundle.Hash) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &rolloutpb.DocumentsRequest{}
	for i := range missing {
		request.Hashes = append(request.Hashes, missing[i][:])
	}
	reply, err := p.agent.client(ctx, p.address).Documents(ctx, request)
	if err != nil {
		return errors.Wrap(err, "request documents from peer")
	}
	p.addDocuments(reply.GetDocuments())
	return nil
}

func (p *puller) fetchDocumentsFromStore(ctx context.Context, parts bundle.Parts) error {
	for _, hash := range parts.Missing(p.contents) {
		content, err := p.agent.readStoreDocument(ctx, hash)
		if err != nil {
			return err
		}
		p.contents[bundle.HashOf(content)] = content
	}
	if missing := parts.Missing(p.contents); len(missing) > 0 {
		return &bundle.MissingError{Hashes: missing}
	}
	return nil
}

// addDocuments adds documents under the hash computed from their content, since
// the sender isn't trusted.
func (p *puller) addDocuments(documents []*rolloutpb.Document) {
	for _, document := range documents {
		p.contents[bundle.HashOf(document.GetContent())] = document.GetContent()
	}
}

func (p *puller) addContents(contents bundle.Contents) {
	for hash, content := range contents {
		p.contents[hash] = content
	}
}

// referencedContents returns the documents that the manifest names; a sender may
// have added others.
func (p *puller) referencedContents(parts bundle.Parts) bundle.Contents {
	contents := make(bundle.Contents)
	for _, hash := range parts.All() {
		contents[hash] = p.contents[hash]
	}
	return contents
}
