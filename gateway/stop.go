package gateway

import (
	"context"
	"time"

	"github.com/goldcrestspan/goldcrestspan/drain"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

// leaveWait bounds telling the peers.
const leaveWait = time.Second

// plannedStop leaves the advice, serves on while callers may keep old advice,
// refuses new work, and returns when nothing is in flight or the limit passed.
func (g *Gateway) plannedStop(live context.Context) {
	stop := drain.Begin(g.options.Now(), keepFactor*AdviceTTL, g.tuning.Load().StopTimeout)
	g.stop.Store(stop)
	ctx, cancel := context.WithTimeout(live, leaveWait)
	defer cancel()
	if err := g.members.Leave(ctx); err != nil {
		g.log.Warn("peers were not told of the stop", observe.ErrorText(err))
	}
	stop.Wait(live, g.options.Now, func() int { return int(g.inFlight.Load() + g.homeLegs.open.Load()) }, g.log)
}
