package gateway

import (
	"context"
	"time"

	"github.com/goldcrestspan/goldcrestspan/drain"
	"github.com/goldcrestspan/goldcrestspan/internal/wait"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/result"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// leaveTimeout bounds announcing the stop to the peers.
const leaveTimeout = time.Second

const (
	// answerTimeout bounds how long the requests that are ended with the stop take to answer.
	answerTimeout = 150 * time.Millisecond
	// answerPollInterval is how often it is checked whether they have.
	answerPollInterval = 5 * time.Millisecond
)

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
	close(g.stopEnded)
	ctx, cancel = context.WithTimeout(runCtx, answerTimeout)
	defer cancel()
	for g.inFlight.Load() > 0 && ctx.Err() == nil {
		wait.For(ctx, answerPollInterval)
	}
}

// refuseInStop refuses a request that would outlast a planned stop that has begun; nil admits it.
func (g *Gateway) refuseInStop(spec *scatter.QuerySpec) *Answer {
	stop := g.stop.Load()
	if stop == nil || stop.Admits(g.options.Now(), spec.Deadline, g.coordinators.of(spec).LongestForecast(spec)) {
		return nil
	}
	return newRefusal(result.Draining, "this host stops before the request would end", otherHostRetryAfter)
}
