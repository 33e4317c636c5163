package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/home"
)

// ReloadableOptions are the options that can change while the host runs.
type ReloadableOptions struct {
	// Budget bounds extra arrivals at a service.
	Budget Budget
	// MaxBodyBytes bounds the bodies of all requests in flight together.
	MaxBodyBytes int64
	// StopTimeout bounds a planned stop that begins later.
	StopTimeout time.Duration
	// CPUCores is the share of a core that this host has.
	CPUCores float64
	// Seeds are addresses of peers to begin with, IP and port; some may be down.
	Seeds []string
}

// Reload puts other limits in force, without a request noticing.
func (g *Gateway) Reload(next ReloadableOptions) {
	before := g.tuning.Swap(&next)
	g.members.AddSeeds(next.Seeds)
	if next.Budget != before.Budget {
		g.homes.ReapplyConfig()
	}
	g.log.Info("limits changed", zap.Float64("extra_ratio", next.Budget.Ratio), zap.Float64("extra_slack", next.Budget.Slack), zap.Duration("extra_window", next.Budget.Window),
		zap.Int64("body_bytes", next.MaxBodyBytes), zap.Duration("stop_within", next.StopTimeout),
		zap.Float64("processor", next.CPUCores), zap.Strings("seeds", next.Seeds))
}

// leastSharing is by how many hosts the slack of the budget is divided at least:
// two or three that are advised, and those whose callers keep older advice.
const leastSharing = 4

// tuneHome puts the limits in force into a home's configuration.
func (g *Gateway) tuneHome(config *home.Config) {
	hosts := int(g.sharing.Load())
	if c := g.inForce.Load(); c != nil && c.split[config.Service] {
		hosts = int(g.homeSharing.Load())
	}
	g.tuning.Load().Budget.tune(hosts)(config)
	g.setHedgeAges(config.Classes)
}

// shareHomes is by how many hosts the slack of a service of large searches is divided. Roots
// that have lost a home spend from what hedges and retries leave.
func shareHomes(homesPerService int) int64 {
	return int64(max(leastSharing, homesPerService))
}

// shareBudget divides the budget's slack by the hosts that are advised now, and that of
// services of large searches by their homes.
//
// Load: a service fails for seconds, and every host that carries traffic spends
// all it may. Harm prevented: in a deployment of five zones or more the parts add
// up to more than the operator allows. Limit: never fewer than leastSharing.
func (g *Gateway) shareBudget() {
	view, zones := g.members.View(), g.serversByZone()
	_, largest := g.sharedServices()
	hosts := int64(max(leastSharing, len(entry.AdvisedHosts(view, zones))))
	homes := shareHomes(entry.HomesPerService(view, zones, largest))
	before, homesBefore := g.sharing.Swap(hosts), g.homeSharing.Swap(homes)
	if before == hosts && homesBefore == homes {
		return
	}
	g.homes.ReapplyConfig()
	g.log.Info("budget of extra arrivals shared", zap.Int64("hosts", hosts), zap.Int64("homes", homes))
}
