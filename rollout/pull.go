package rollout

import (
	"context"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/rollout/rolloutpb"
)

// errNotNewer: a peer was asked and had nothing newer.
var errNotNewer = errors.New("peer has nothing newer")

// puller gets one configuration: manifest, then the documents that differ. It
// runs beside the control goroutine and changes none of the agent's state.
type puller struct {
	agent *Agent
	have  *published
	known *head
	// address is a peer that should have it; empty: none is known.
	address string
	// documentsInStore and headInStore allow reading these from the store.
	documentsInStore bool
	headInStore      bool
	contents         bundle.Contents
}

func (a *Agent) newPuller(state pullState) *puller {
	p := &puller{
		agent: a, have: a.published.Load(), known: state.known,
		address: state.wanted.from, contents: state.partial,
		// A watcher reads the store anyway. Other hosts leave it alone while
		// there are peers: all of a zone would turn to it at once.
		documentsInStore: a.config.IsWatcher() || state.failures >= pullsBeforeStore,
		headInStore:      state.failures >= pullsBeforeStore,
	}
	if p.contents == nil {
		p.contents = make(bundle.Contents)
	}
	if p.address == "" {
		p.address = a.anyPeer()
	}
	return p
}

func (p *puller) run(ctx context.Context) pulled {
	signed, err := p.manifest(ctx)
	if err != nil {
		return p.failed(err)
	}
	return p.complete(ctx, signed)
}

func (p *puller) failed(err error) pulled { return pulled{err: err, partial: p.contents} }

// complete checks the sign-offs before it asks for a single document.
func (p *puller) complete(ctx context.Context, signed bundle.Signed) pulled {
	ref, _, err := refOf(signed)
	if err != nil {
		return p.failed(errors.Wrap(err, "unreadable manifest"))
	}
	if p.have != nil && ref.Generation <= p.have.ref.Generation {
		return p.failed(errNotNewer)
	}
	manifest, err := p.agent.config.Signers.Verify(signed)
	if err != nil {
		return pulled{refusal: refusedSignOffs, ref: ref, err: err}
	}
	if err := p.documents(ctx, manifest.Parts); err != nil {
		return p.failed(err)
	}
	config, _, err := bundle.Open(manifest, p.contents)
	if err != nil {
		return pulled{refusal: refusedContent, ref: ref, err: err}
	}
	raw, err := signed.Encode()
	if err != nil {
		return pulled{refusal: refusedContent, ref: ref, err: err}
	}
	return pulled{ref: ref, candidate: &candidate{
		ref: ref, raw: raw, manifest: manifest, contents: p.only(manifest.Parts), config: config,
	}}
}

// manifest gets the signed manifest from the peer, or from the store.
func (p *puller) manifest(ctx context.Context) (bundle.Signed, error) {
	if p.known != nil {
		p.take(p.known.contents())
		return p.known.Signed, nil
	}
	signed, err := p.manifestFromPeer(ctx)
	// The limit is for word of configurations that don't exist: every host of
	// the fleet would read the store for each such message.
	if err == nil || !p.headInStore || !p.agent.fallbackLimit.Allow() {
		return signed, err
	}
	value, _, err := p.agent.readStoreHead(ctx)
	if err != nil {
		return bundle.Signed{}, err
	}
	p.take(value.contents())
	return value.Signed, nil
}

func (p *puller) manifestFromPeer(ctx context.Context) (bundle.Signed, error) {
	if p.address == "" {
		return bundle.Signed{}, errors.New("no peer is known")
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &rolloutpb.HeadRequest{}
	if p.have != nil {
		request.Generation = p.have.ref.Generation
		request.ManifestHash = p.have.ref.Hash[:]
	}
	reply, err := p.agent.client(ctx, p.address).Head(ctx, request)
	if err != nil {
		return bundle.Signed{}, errors.Wrap(err, "ask peer for its configuration")
	}
	if len(reply.GetManifest()) == 0 {
		return bundle.Signed{}, errNotNewer
	}
	p.takeReply(reply.GetDocuments())
	return bundle.DecodeSigned(reply.GetManifest())
}

// documents gets what is still missing: from the peer, then from the store.
func (p *puller) documents(ctx context.Context, parts bundle.Parts) error {
	if p.have != nil {
		for _, hash := range parts.Missing(p.contents) {
			if content, ok := p.have.contents[hash]; ok {
				p.contents[hash] = content
			}
		}
	}
	err := p.documentsFromPeer(ctx, parts)
	if err == nil || !p.documentsInStore {
		return err
	}
	return p.documentsFromStore(ctx, parts)
}

func (p *puller) documentsFromPeer(ctx context.Context, parts bundle.Parts) error {
	for {
		missing := parts.Missing(p.contents)
		if len(missing) == 0 {
			return nil
		}
		if p.address == "" {
			return errors.New("no peer is known")
		}
		if err := p.askDocuments(ctx, missing); err != nil {
			return err
		}
		if len(parts.Missing(p.contents)) == len(missing) {
			return &bundle.MissingError{Hashes: missing}
		}
	}
}

func (p *puller) askDocuments(ctx context.Context, missing []bundle.Hash) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &rolloutpb.DocumentsRequest{}
	for i := range missing {
		request.Hashes = append(request.Hashes, missing[i][:])
	}
	reply, err := p.agent.client(ctx, p.address).Documents(ctx, request)
	if err != nil {
		return errors.Wrap(err, "ask peer for documents")
	}
	p.takeReply(reply.GetDocuments())
	return nil
}

func (p *puller) documentsFromStore(ctx context.Context, parts bundle.Parts) error {
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

// takeReply files documents under the hash of what came, never under a hash
// that the sender claims.
func (p *puller) takeReply(documents []*rolloutpb.Document) {
	for _, document := range documents {
		p.contents[bundle.HashOf(document.GetContent())] = document.GetContent()
	}
}

func (p *puller) take(contents bundle.Contents) {
	for hash, content := range contents {
		p.contents[hash] = content
	}
}

// only drops documents that the manifest doesn't name, which a sender may add.
func (p *puller) only(parts bundle.Parts) bundle.Contents {
	contents := make(bundle.Contents)
	for _, hash := range parts.All() {
		contents[hash] = p.contents[hash]
	}
	return contents
}
