package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/home"
)

// Tuning are the options that can change while the host runs.
type Tuning struct {
	// Budget bounds extra arrivals at a service.
	Budget Budget
	// BodyBytes bounds the bodies of all requests in flight together.
	BodyBytes int64
	// StopWithin bounds a planned stop that begins later.
	StopWithin time.Duration
	// Processor is the share of a core that this host has.
	Processor float64
	// Seeds are addresses of peers to begin with, IP and port; some may be down.
	Seeds []string
}

// Retune puts other limits in force, without a request noticing.
func (g *Gateway) Retune(next Tuning) {
	before := g.tuning.Swap(&next)
	g.members.AddSeeds(next.Seeds)
	if next.Budget != before.Budget {
		g.homes.Retune()
	}
	g.log.Info("limits changed", zap.Float64("extra_ratio", next.Budget.Ratio), zap.Float64("extra_slack", next.Budget.Slack),
		zap.Int64("body_bytes", next.BodyBytes), zap.Duration("stop_within", next.StopWithin),
		zap.Float64("processor", next.Processor), zap.Strings("seeds", next.Seeds))
}

// tuneHome puts the limits in force into a home's configuration.
func (g *Gateway) tuneHome(config *home.Config) {
	g.tuning.Load().Budget.tune(hostsSharing)(config)
	g.setHedgeAges(config.Classes)
}
