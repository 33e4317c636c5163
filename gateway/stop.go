package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/drain"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

const (
	// stopPoll is how often a planned stop looks at what is in flight.
	stopPoll = 20 * time.Millisecond
	// leaveWait bounds telling the peers.
	leaveWait = time.Second
)

// plannedStop leaves the advice, serves on while callers may keep old advice,
// refuses new work, and returns when nothing is in flight or the limit passed.
func (g *Gateway) plannedStop(live context.Context) {
	stop := drain.Begin(g.options.Now(), keepFactor*AdviceKeep, g.options.StopWithin)
	g.stop.Store(stop)
	g.log.Info("planned stop began", zap.Duration("at_most", stop.Remaining(g.options.Now())))
	ctx, cancel := context.WithTimeout(live, leaveWait)
	defer cancel()
	if err := g.members.Leave(ctx); err != nil {
		g.log.Warn("peers were not told of the stop", observe.Reason(err))
	}
	last := drain.PhaseServing
	for live.Err() == nil {
		phase := g.phase()
		if phase != last {
			g.log.Info("planned stop", zap.Stringer("phase", phase), zap.Int64("in_flight", g.inFlight.Load()))
			last = phase
		}
		if phase == drain.PhaseDone {
			return
		}
		time.Sleep(stopPoll)
	}
}
