package gateway

import (
	"context"
	"time"

	"github.com/goldcrestspan/goldcrestspan/drain"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

// leaveTimeout bounds announcing the stop to the peers.
const leaveTimeout = time.Second

// plannedStop removes this host from the advice, keeps serving while callers may hold older
// advice, then refuses new work, and returns when nothing is in flight or on timeout.
func (g *Gateway) plannedStop(runCtx context.Context) {
	stop := drain.Begin(g.options.Now(), adviceTTLFactor*AdviceTTL, g.reloadable.Load().StopTimeout)
	g.stop.Store(stop)
	ctx, cancel := context.WithTimeout(runCtx, leaveTimeout)
	defer cancel()
	if err := g.members.Leave(ctx); err != nil {
		g.log.Warn("failed to announce the stop to peers", observe.ErrorText(err))
	}
	stop.Wait(runCtx, g.options.Now, func() int { return int(g.inFlight.Load() + g.homeLegRunner.running.Load()) }, g.log)
}
