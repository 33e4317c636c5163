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

// maxCachedParts bounds the full parts that are cached after a truncated reply, in case the
// peer needs the remaining records: about two seconds of a busy host's parts.
const maxCachedParts = 2048

// proxyServer runs calls at local backend servers for hosts in other availability zones.
type proxyServer struct {
	runner backend.Runner
	// inService holds the servers in service, by name; it is replaced as a whole.
	inService atomic.Pointer[map[string]backend.Server]
	cache     *lru.Cache[partKey, []byte]
}

// partKey identifies a part by the caller's attempt and the server or service that it is of.
type partKey struct {
	attempt, source string
}

func newProxyServer(runner backend.Runner) (*proxyServer, error) {
	cache, err := lru.New[partKey, []byte](maxCachedParts)
	if err != nil {
		return nil, errors.Wrap(err, "create cache of full parts")
	}
	return &proxyServer{runner: runner, cache: cache}, nil
}

// setServers replaces the servers that calls may be passed on to.
func (s *proxyServer) setServers(servers map[string]backend.Server) { s.inService.Store(&servers) }

// Run implements leg.Runner for legs that name their server.
func (s *proxyServer) Run(request leg.Request, done func(leg.Result)) (cancel func()) {
	server, failure := s.find(request)
	if failure != nil {
		done(*failure)
		return func() {}
	}
	if request.FullAnswer {
		done(s.cachedPart(request))
		return func() {}
	}
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	go func() {
		defer cancel()
		done(s.run(ctx, server, request))
	}()
	return cancel
}

// find looks the server up. Both hosts must consider the server in service, with the same
// incarnation: the sender may not have heard yet that it is leaving or has restarted.
func (s *proxyServer) find(request leg.Request) (backend.Server, *leg.Result) {
	inService := s.inService.Load()
	if inService == nil || request.Forward == nil {
		failed := leg.Failed(request, result.NotReady, result.OutcomeUnsent, "not ready for legs of peers")
		return backend.Server{}, &failed
	}
	server, ok := (*inService)[request.DirectServer]
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

func (s *proxyServer) run(ctx context.Context, server backend.Server, request leg.Request) leg.Result {
	attempt := s.runner.Run(ctx, server, backend.Call{
		Service:    server.Service,
		Deadline:   request.Deadline,
		Idempotent: true,
		Body:       request.Body,
		Forward:    request.Forward,
	})
	res := leg.Failed(request, 0, attempt.Outcome, "")
	res.Attempt = &attempt
	if attempt.Fault != backend.FaultNone {
		return res
	}
	res.Body = attempt.Reply.Body
	if limit := request.MaxRecords; limit > 0 && len(res.Body) > limit*recordSize {
		s.cache.Add(proxyPartKey(request), res.Body)
		res.Body, res.Truncated = scatter.TopK([][]byte{res.Body}, recordSize, limit), true
	}
	return res
}

// cachedPart answers with the full part after a truncated reply.
func (s *proxyServer) cachedPart(request leg.Request) leg.Result {
	body, ok := s.cache.Get(proxyPartKey(request))
	if !ok {
		return leg.Failed(request, result.NoSnapshot, result.OutcomeUnsent, "the part is not kept any more")
	}
	res := leg.Failed(request, 0, result.OutcomeRan, "")
	res.Body = body
	res.Attempt = &backend.CallResult{Outcome: result.OutcomeRan}
	return res
}

func proxyPartKey(request leg.Request) partKey {
	return partKey{attempt: request.Forward.AttemptID, source: request.DirectServer}
}
