package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/backend"
)

// loggedRunner writes a line for each attempt that gave no answer, other than
// those that were cancelled since their answer was no longer needed. With the
// line of the whole request they lead from its id to the server at fault.
type loggedRunner struct {
	runner backend.Runner
	log    *zap.Logger
	now    func() time.Time
	count  *atomic.Int64 // of all attempts
}

// Run implements backend.Runner.
func (r loggedRunner) Run(ctx context.Context, server backend.Server, call backend.Call) backend.CallResult {
	r.count.Add(1)
	started := r.now()
	end := r.runner.Run(ctx, server, call)
	if end.Fault == backend.FaultNone || end.Fault == backend.FaultCancelled {
		return end
	}
	r.log.Info("attempt gave no answer",
		zap.String("request", call.Forward.AttemptID), zap.String("service", call.Service),
		zap.String("server", server.Name), zap.String("address", server.Address),
		zap.Stringer("fault", end.Fault), zap.Bool("not_run", end.Outcome.NotRun()),
		zap.Int("server_running", end.Reply.Load.Running), zap.Int("server_waiting", end.Reply.Load.Queued),
		zap.Duration("took", r.now().Sub(started)), zap.Duration("left", call.Deadline.Sub(r.now())))
	return end
}
