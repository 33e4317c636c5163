package gateway

import (
	"time"

	"go.uber.org/zap"
)

// ReloadableOptions holds the options that can change while the host runs.
type ReloadableOptions struct {
	// Budget bounds the extra attempts at a service.
	Budget Budget
	// MaxBodyBytes bounds the bodies of all requests in flight together.
	MaxBodyBytes int64
	// StopTimeout bounds a planned stop that begins later; one that has begun keeps its bound.
	StopTimeout time.Duration
	// CPUCores is the CPU share of this host, in cores.
	CPUCores float64
	// Seeds are addresses of initial peers, IP and port; some may be down.
	Seeds []string
}

// Reload applies changed options without interrupting requests.
func (g *Gateway) Reload(next ReloadableOptions) {
	previous := g.reloadable.Swap(&next)
	g.members.AddSeeds(next.Seeds)
	if next.Budget != previous.Budget {
		g.homes.ReapplyConfig()
	}
	g.log.Info("limits changed", zap.Float64("extra_ratio", next.Budget.Ratio), zap.Float64("extra_slack", next.Budget.Slack), zap.Duration("extra_window", next.Budget.Window),
		zap.Int64("body_bytes", next.MaxBodyBytes), zap.Duration("stop_within", next.StopTimeout), zap.Bool("stopping", g.Stopping()),
		zap.Float64("processor", next.CPUCores), zap.Strings("seeds", next.Seeds))
}
