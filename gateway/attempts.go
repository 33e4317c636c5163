package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
)

// loggingRunner logs each failed attempt, except cancelled ones, so that a request id leads
// to the server at fault.
type loggingRunner struct {
	runner   backend.Runner
	log      *zap.Logger
	now      func() time.Time
	attempts *atomic.Int64 // counts all attempts
}

// Run implements backend.Runner.
func (r loggingRunner) Run(ctx context.Context, server backend.Server, call backend.Call) backend.CallResult {
	r.attempts.Add(1)
	started := r.now()
	attempt := r.runner.Run(ctx, server, call)
	if attempt.Fault == backend.FaultNone || attempt.Fault == backend.FaultCancelled {
		return attempt
	}
	r.log.Info("attempt gave no answer",
		zap.String("request", call.Forward.AttemptID), zap.Stringer("fingerprint", fingerprintOf(call.Forward, call.Body)), zap.String("service", call.Service),
		zap.String("server", server.Name), zap.String("address", server.Address),
		zap.Stringer("fault", attempt.Fault), zap.Bool("not_run", attempt.Outcome.NotRun()),
		zap.Uint64("connection", attempt.Connection), zap.Int("connection_calls", attempt.ConnectionCalls),
		zap.Int("server_running", attempt.Reply.Load.Running), zap.Int("server_waiting", attempt.Reply.Load.Queued),
		zap.Duration("took", r.now().Sub(started)), zap.Duration("left", call.Deadline.Sub(r.now())))
	return attempt
}
