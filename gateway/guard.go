package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// guardedRunner asks once more, at the moment of sending, whether the server may get
// the request; see eligible.Rules.
type guardedRunner struct {
	runner backend.Runner
	check  func(server backend.Server, call backend.Call) eligible.Reason
	log    *zap.Logger
}

// Run implements backend.Runner.
func (r guardedRunner) Run(ctx context.Context, server backend.Server, call backend.Call) backend.CallResult {
	reason := r.check(server, call)
	if reason == eligible.Allowed {
		return r.runner.Run(ctx, server, call)
	}
	r.log.Info("attempt was held back", zap.String("request", call.Forward.AttemptID), zap.String("server", server.Name), zap.String("zone", server.Zone), zap.Stringer("reason", reason))
	return backend.CallResult{Outcome: result.OutcomeUnsent, Fault: backend.FaultNotAllowed}
}

// mayGet decides on an attempt that a home of this host has chosen the server for.
func (g *Gateway) mayGet(server backend.Server, call backend.Call) eligible.Reason {
	return g.rules.Load().CheckZone(server.Zone, call.Forward.Regions)
}

// mayPassOn decides on an attempt that another host has chosen the server for.
func (g *Gateway) mayPassOn(server backend.Server, call backend.Call) eligible.Reason {
	return g.rules.Load().CheckForwarded(g.options.Now(), server.Name, server.Zone, call.Forward.Regions)
}

func (g *Gateway) guard(runner backend.Runner, check func(backend.Server, backend.Call) eligible.Reason) backend.Runner {
	return guardedRunner{runner: runner, check: check, log: g.log}
}
