package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

const (
	// hedgeShare and retryShare are the shares of the extra-attempt budget for the hedges and
	// retries of the carriers.
	hedgeShare = 0.56
	retryShare = 0.25
	// replacementShare is the share of the slack for a host that becomes a carrier in place of
	// one that was lost: its part refills in the window in which that one has spent its own.
	replacementShare = slackRefillShare * (hedgeShare + retryShare) / minBudgetHosts
	// standbyShare is the share of the slack for all other hosts.
	standbyShare = 1 - hedgeShare - retryShare - replacementShare
	// hedgeInitialFill and retryInitialFill are how full the token buckets are at start: a
	// fleet that restarts can hedge its first searches, and what the previous processes have
	// spent in the same window still fits the operator's bound.
	hedgeInitialFill, retryInitialFill = 0.25, 0.6
	// slackRefillShare is the share of a host's slack that refills over each window; the rest
	// is burst. Together they never exceed the slack in a window.
	slackRefillShare = 0.4
	// minBudgetHosts is the least number of carriers that the slack is divided by: the current
	// ones, and those of a moment before.
	minBudgetHosts = 4
)

// Budget bounds the attempts at a service beyond the first of each request, summed over
// all hosts in any window.
type Budget struct {
	Ratio  float64       // extra attempts per request
	Slack  float64       // extra attempts regardless of load
	Window time.Duration // 0 if unknown; Slack is then not replenished
}

// carrierLimits sets the part of one of the carriers of a service: the hosts that its requests
// are directed to, which are the advised hosts, or the homes of a split search. The ratio
// applies to each host's own requests.
func (b Budget) carrierLimits(carriers int, config *home.Config) {
	slack := b.Slack / float64(max(carriers, 1))
	rate := 0.0
	if b.Window > 0 {
		rate = slackRefillShare * slack / b.Window.Seconds()
		slack *= 1 - slackRefillShare
	}
	config.HedgeBudget = hedgeShare * b.Ratio
	config.RetryBudget = retryShare * b.Ratio
	config.HedgeBurst = max(1, hedgeShare*slack)
	config.RetryBurst = max(1, retryShare*slack)
	config.HedgeInitialFill, config.RetryInitialFill = hedgeInitialFill, retryInitialFill
	config.HedgesPerSecond = hedgeShare * rate
	config.RetriesPerSecond = retryShare * rate
}

// standbyLimits sets the part of a host that is no carrier, but serves who comes: retries only,
// as many as its own requests earn. Each such host needs room for the attempt that it may have
// earned before the window, so those of a rank beyond the slack's get none.
func (b Budget) standbyLimits(rank int, config *home.Config) {
	config.HedgeBudget, config.RetryBudget = 0, 0
	config.HedgesPerSecond, config.RetriesPerSecond = 0, 0
	if rank < int(standbyShare*b.Slack) {
		config.RetryBudget = (hedgeShare + retryShare) * b.Ratio
	}
	config.HedgeBurst, config.RetryBurst = 1, 1
	config.HedgeInitialFill, config.RetryInitialFill = hedgeInitialFill, retryInitialFill
}

// budgetRoles are this host's parts in the division of the budget, for one membership view.
type budgetRoles struct {
	// advised and homes are the numbers of carriers: of plain requests, and of each service of
	// split searches.
	advised, homes int
	isAdvised      bool
	// rank orders the hosts that are on standby, advised ones first: these are not the home of
	// each service of a split search, and plain requests to it come to them.
	rank int
}

// initialBudgetRoles apply until the membership is known.
var initialBudgetRoles = budgetRoles{advised: minBudgetHosts, homes: minBudgetHosts, isAdvised: true}

// budgetRolesOf returns the roles of the host self.
func budgetRolesOf(self ident.HostID, view *member.View, serversIn map[string]int, largestSplit int) budgetRoles {
	advised := advisedAnywhere(view, serversIn)
	homes := entry.HomesPerService(view, serversIn, largestSplit)
	return budgetRoles{
		advised:   max(minBudgetHosts, len(advised)),
		homes:     max(minBudgetHosts, homes),
		isAdvised: slices.Contains(advised, self),
		rank:      standbyRank(self, view, advised),
	}
}

func standbyRank(self ident.HostID, view *member.View, advised []ident.HostID) int {
	if i := slices.Index(advised, self); i >= 0 {
		return i
	}
	rank := len(advised)
	for i := range view.Hosts {
		if id := view.Hosts[i].ID; id < self && !slices.Contains(advised, id) {
			rank++
		}
	}
	return rank
}

// advisedAnywhere returns the hosts that callers of any region are directed to.
func advisedAnywhere(view *member.View, serversIn map[string]int) []ident.HostID {
	var advised []ident.HostID
	add := func(hosts []member.Host) {
		for _, host := range hosts {
			if !slices.Contains(advised, host.ID) {
				advised = append(advised, host.ID)
			}
		}
	}
	add(entry.AdvisedHosts(view, serversIn))
	var regions []string
	for i := range view.Hosts {
		region := view.Hosts[i].Region
		if slices.Contains(regions, region) {
			continue
		}
		regions = append(regions, region)
		if regional := entry.FilterRegions(view, region); regional != view {
			add(entry.AdvisedHosts(regional, serversIn))
		}
	}
	return advised
}

// budgetBasis is what the division of the budget follows from. Each is replaced as a whole.
type budgetBasis struct {
	view    *member.View
	servers *map[string]int
	split   *splitServices
}

// configureHome sets the current limits in a home's configuration.
func (g *Gateway) configureHome(config *home.Config) {
	budget, roles := g.reloadable.Load().Budget, g.budgetRoles.Load()
	carriers, isCarrier := roles.advised, roles.isAdvised
	if c := g.inForce.Load(); c != nil && c.isSplit[config.Service] && g.sharedHomes.areSpread() {
		carriers, isCarrier = roles.homes, g.sharedHomes.isHome(config.Service)
	}
	if isCarrier {
		budget.carrierLimits(carriers, config)
	} else {
		budget.standbyLimits(roles.rank, config)
	}
	config.ChargeRefusals = true
	config.SlowStartReplies = slowStartReplies
	config.ReserveReportedLoad = true
	config.AvoidStalled = true
	config.CrossZonePenaltySeconds = crossZonePenaltySeconds
	g.setHedgeDelays(config.Classes)
}

// divideBudget applies the current division of the budget. While a service fails, every host
// spends its full part, so the parts of all hosts that may send must fit the operator's bound.
func (g *Gateway) divideBudget() {
	view, servers, split := g.members.View(), g.zoneServers.Load(), g.split.Load()
	basis := budgetBasis{view, servers, split}
	if basis == g.budgetBasis {
		return
	}
	g.budgetBasis = basis
	_, largest := g.splitServices()
	next := budgetRolesOf(g.sharedHomes.self, view, g.serversByZone(), largest)
	previous := g.budgetRoles.Swap(&next)
	placed := g.sharedHomes.current()
	if *previous == next && placed.sameHomes(g.budgetPlacement) {
		return
	}
	g.budgetPlacement = placed
	g.homes.ReapplyConfig()
	g.log.Info("budget of extra arrivals shared", zap.Int("hosts", next.advised), zap.Int("homes", next.homes), zap.Bool("advised", next.isAdvised), zap.Int("rank", next.rank))
}
