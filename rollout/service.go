package rollout

import (
	"context"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/rollout/rolloutpb"
)

// errBusy sends an asker to another peer.
var errBusy = errors.New("rollout: busy, ask another peer")

// service answers peers from what the agent has published.
type service struct {
	agent *Agent
}

// Notify takes news and tells what is in force here.
func (s service) Notify(_ context.Context, request *rolloutpb.NotifyRequest) (*rolloutpb.NotifyReply, error) {
	if request.GetGeneration() != 0 {
		hash, err := bundle.HashFromBytes(request.GetManifestHash())
		if err != nil {
			return nil, err
		}
		s.agent.hear(bundle.Ref{Generation: request.GetGeneration(), Hash: hash}, request.GetAddress())
	}
	ref := s.agent.ActiveRef()
	if ref.IsZero() {
		return &rolloutpb.NotifyReply{}, nil
	}
	return &rolloutpb.NotifyReply{Generation: ref.Generation, ManifestHash: ref.Hash[:]}, nil
}

// Head returns the manifest and the documents that the asker lacks.
func (s service) Head(_ context.Context, request *rolloutpb.HeadRequest) (*rolloutpb.HeadReply, error) {
	release, err := s.admit()
	if err != nil {
		return nil, err
	}
	defer release()
	p := s.agent.published.Load()
	if p == nil || request.GetGeneration() >= p.ref.Generation {
		return &rolloutpb.HeadReply{}, nil
	}
	reply := &rolloutpb.HeadReply{Manifest: p.signed}
	for _, earlier := range p.recent {
		if earlier.ref.Generation == request.GetGeneration() && string(earlier.ref.Hash[:]) == string(request.GetManifestHash()) {
			reply.Documents = p.documents(without(p.parts.All(), earlier.parts.All()))
		}
	}
	return reply, nil
}

// Documents returns those of the documents that are in force here.
func (s service) Documents(_ context.Context, request *rolloutpb.DocumentsRequest) (*rolloutpb.DocumentsReply, error) {
	release, err := s.admit()
	if err != nil {
		return nil, err
	}
	defer release()
	p := s.agent.published.Load()
	if p == nil {
		return &rolloutpb.DocumentsReply{}, nil
	}
	var hashes []bundle.Hash
	for _, raw := range request.GetHashes() {
		hash, err := bundle.HashFromBytes(raw)
		if err != nil {
			return nil, err
		}
		hashes = append(hashes, hash)
	}
	return &rolloutpb.DocumentsReply{Documents: p.documents(hashes)}, nil
}

func (s service) admit() (release func(), err error) {
	select {
	case s.agent.serving <- struct{}{}:
		return func() { <-s.agent.serving }, nil
	default:
		s.agent.metrics.busy.Inc()
		return nil, errBusy
	}
}

// documents collects what is in force here, up to the size of a reply.
func (p *published) documents(hashes []bundle.Hash) []*rolloutpb.Document {
	var documents []*rolloutpb.Document
	size := 0
	for _, hash := range hashes {
		content, ok := p.contents[hash]
		if !ok {
			continue
		}
		if size += len(content); size > replyDocumentsBytes && len(documents) > 0 {
			break
		}
		documents = append(documents, &rolloutpb.Document{Content: content})
	}
	return documents
}

func without(hashes, known []bundle.Hash) []bundle.Hash {
	skip := make(map[bundle.Hash]bool, len(known))
	for _, hash := range known {
		skip[hash] = true
	}
	var rest []bundle.Hash
	for _, hash := range hashes {
		if !skip[hash] {
			rest = append(rest, hash)
		}
	}
	return rest
}
