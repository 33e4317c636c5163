package gateway

import (
	"context"
	"sync/atomic"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/leg"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// keptParts bounds the parts that were cut and are kept whole for a peer that
// turns out to need the rest: some two seconds of a busy host's, at 400 bytes.
const keptParts = 2048

// farServer runs calls at backend servers near this host for hosts of other
// availability zones.
type farServer struct {
	runner backend.Runner
	// known are the servers in service, by name; replaced as a whole.
	known atomic.Pointer[map[string]backend.Server]
	kept  *lru.Cache[partKey, []byte]
}

// partKey names a part by the caller's attempt and the server that answered it.
type partKey struct {
	attempt, server string
}

func newFarServer(runner backend.Runner) (*farServer, error) {
	kept, err := lru.New[partKey, []byte](keptParts)
	if err != nil {
		return nil, errors.Wrap(err, "parts kept for peers")
	}
	return &farServer{runner: runner, kept: kept}, nil
}

// setServers tells which servers calls may be passed on to.
func (s *farServer) setServers(servers map[string]backend.Server) { s.known.Store(&servers) }

// Run implements leg.Runner for legs that name their server.
func (s *farServer) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	server, failure := s.find(request)
	if failure != nil {
		done(*failure)
		return func() {}
	}
	if request.FullAnswer {
		done(s.whole(request))
		return func() {}
	}
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	go func() {
		defer cancel()
		done(s.run(ctx, server, request))
	}()
	return cancel
}

// find looks the server up.
//
// Failure: the host that sends has not heard yet that a server leaves. It shows
// as work at a server that should have got none for seconds. The guard holds
// because both hosts must believe that the server is in service, and in the same
// start of it: one of them may still have the address of the start before.
func (s *farServer) find(request leg.Request) (backend.Server, *leg.Result) {
	known := s.known.Load()
	if known == nil || request.Forward == nil {
		failed := leg.Failed(request, result.NotReady, result.OutcomeUnsent, "not ready for legs of peers")
		return backend.Server{}, &failed
	}
	server, ok := (*known)[request.DirectServer]
	if !ok {
		failed := leg.Failed(request, result.NoBackend, result.OutcomeUnsent, "unknown or leaving server "+request.DirectServer)
		return backend.Server{}, &failed
	}
	if request.DirectIncarnation != server.Incarnation {
		failed := leg.Failed(request, result.NoBackend, result.OutcomeUnsent, "another start of server "+request.DirectServer)
		return backend.Server{}, &failed
	}
	return server, nil
}

func (s *farServer) run(ctx context.Context, server backend.Server, request leg.Request) leg.Result {
	attempt := s.runner.Run(ctx, server, backend.Call{
		Service:    server.Service,
		Deadline:   request.Deadline,
		Idempotent: true,
		Body:       request.Body,
		Forward:    request.Forward,
	})
	ended := leg.Failed(request, 0, attempt.Outcome, "")
	ended.Attempt = &attempt
	if attempt.Fault != backend.FaultNone {
		return ended
	}
	ended.Body = attempt.Reply.Body
	if most := request.MaxRecords; most > 0 && len(ended.Body) > most*recordSize {
		s.kept.Add(keyOf(request), ended.Body)
		ended.Body, ended.Truncated = scatter.TopK([][]byte{ended.Body}, recordSize, most), true
	}
	return ended
}

// whole is a part that was cut before.
func (s *farServer) whole(request leg.Request) leg.Result {
	body, ok := s.kept.Get(keyOf(request))
	if !ok {
		return leg.Failed(request, result.NoSnapshot, result.OutcomeUnsent, "the part is not kept any more")
	}
	ended := leg.Failed(request, 0, result.OutcomeRan, "")
	ended.Body = body
	ended.Attempt = &backend.CallResult{Outcome: result.OutcomeRan}
	return ended
}

func keyOf(request leg.Request) partKey {
	return partKey{attempt: request.Forward.AttemptID, server: request.DirectServer}
}
