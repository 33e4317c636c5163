package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/eligible"
	"github.com/goldcrestspan/goldcrestspan/result"
)

// eligibilityRunner checks right before sending that the server may still get the request;
// see eligible.Rules.
type eligibilityRunner struct {
	runner backend.Runner
	check  func(server backend.Server, call backend.Call) eligible.Reason
	// clean removes what no backend server may get from the call.
	clean func(call backend.Call) backend.Call
	log   *zap.Logger
}

// Run implements backend.Runner.
func (r eligibilityRunner) Run(ctx context.Context, server backend.Server, call backend.Call) backend.CallResult {
	reason := r.check(server, call)
	if reason == eligible.Allowed {
		return r.runner.Run(ctx, server, r.clean(call))
	}
	r.log.Info("attempt was held back", logCustomer(call.Forward), logKey(call.Forward.Credential), zap.String("request", call.Forward.AttemptID), zap.String("server", server.Name), zap.String("zone", server.Zone), zap.Stringer("reason", reason))
	fault := backend.FaultNotAllowed
	if reason == eligible.KeyRemoved {
		fault = backend.FaultKeyRefused
	}
	return backend.CallResult{Outcome: result.OutcomeUnsent, Fault: fault}
}

// checkOwn decides on attempts whose server a home on this host has chosen.
func (g *Gateway) checkOwn(server backend.Server, call backend.Call) eligible.Reason {
	return g.checkRequest(call, g.rules.Load().CheckZone(server.Zone, call.Forward.Regions))
}

// checkForPeer decides on attempts whose server another host has chosen.
func (g *Gateway) checkForPeer(server backend.Server, call backend.Call) eligible.Reason {
	return g.checkRequest(call, g.rules.Load().CheckForwarded(g.options.Now(), server.Name, server.Zone, call.Forward.Regions))
}

// checkRequest decides whether the request may be sent to a server that is allowed to get it.
func (g *Gateway) checkRequest(call backend.Call, server eligible.Reason) eligible.Reason {
	if server != eligible.Allowed {
		return server
	}
	if g.listsOutdated.Load() {
		return eligible.ListsOutdated
	}
	if !g.crashDetector.mayBeSent(call.Forward, call.Body) {
		return eligible.RequestHeldBack
	}
	return g.checkKey(call.Forward)
}

func (g *Gateway) withEligibility(runner backend.Runner, check func(backend.Server, backend.Call) eligible.Reason) backend.Runner {
	return eligibilityRunner{runner: runner, check: check, clean: g.withoutCallerHeaders, log: g.log}
}
