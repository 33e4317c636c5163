package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/home"
)

// ReloadableOptions holds the options that can change while the host runs.
type ReloadableOptions struct {
	// Budget bounds the extra attempts at a service.
	Budget Budget
	// MaxBodyBytes bounds the bodies of all requests in flight together.
	MaxBodyBytes int64
	// StopTimeout bounds a planned stop that begins later.
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
		zap.Int64("body_bytes", next.MaxBodyBytes), zap.Duration("stop_within", next.StopTimeout),
		zap.Float64("processor", next.CPUCores), zap.Strings("seeds", next.Seeds))
}

// minBudgetHosts is the least number of hosts that the budget's slack is divided by: the
// advised hosts, and those that callers with older advice still use.
const minBudgetHosts = 4

// configureHome sets the current limits in a home's configuration.
func (g *Gateway) configureHome(config *home.Config) {
	hosts := int(g.budgetHosts.Load())
	if c := g.inForce.Load(); c != nil && c.isSplit[config.Service] {
		hosts = int(g.budgetHomes.Load())
	}
	g.reloadable.Load().Budget.homeOption(hosts)(config)
	g.setHedgeDelays(config.Classes)
}

// budgetHomeCount returns by how many hosts the slack of a service of split searches is
// divided. Coordinating hosts that take over from a lost home use the unassigned headroom.
func budgetHomeCount(homesPerService int) int64 {
	return int64(max(minBudgetHosts, homesPerService))
}

// divideBudget divides the budget's slack by the number of advised hosts, and that of services
// of split searches by their homes. While a service fails, every host spends its full share,
// so that with many zones the sum would otherwise exceed the operator's bound.
func (g *Gateway) divideBudget() {
	view, zones := g.members.View(), g.serversByZone()
	_, largest := g.splitServices()
	hosts := int64(max(minBudgetHosts, len(entry.AdvisedHosts(view, zones))))
	homes := budgetHomeCount(entry.HomesPerService(view, zones, largest))
	previous, previousHomes := g.budgetHosts.Swap(hosts), g.budgetHomes.Swap(homes)
	if previous == hosts && previousHomes == homes {
		return
	}
	g.homes.ReapplyConfig()
	g.log.Info("budget of extra arrivals shared", zap.Int64("hosts", hosts), zap.Int64("homes", homes))
}
