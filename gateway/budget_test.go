package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/entry"
	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/ident"
	"github.com/goldcrestspan/goldcrestspan/member"
)

// Guards against hosts that together spend more than the bound on extra attempts, for any
// number of advised hosts.
func TestBudgetsOfAllHostsStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	budget := Budget{Ratio: 0.2, Slack: 52}
	for hosts := minBudgetHosts; hosts <= 2*minBudgetHosts; hosts++ {
		var config home.Config
		budget.carrierLimits(hosts, &config)
		is.True(config.HedgeBudget+config.RetryBudget <= budget.Ratio)
		is.True(float64(hosts)*(config.HedgeBurst+config.RetryBurst) <= budget.Slack)
	}
}

// Guards against burst and refill that together exceed the slack of a window, or leave most
// of it unused.
func TestSlackOfAWindowIsUsedAndBounded(t *testing.T) {
	is := is.New(t)
	budget := Budget{Ratio: 0.2, Slack: 630, Window: 10 * time.Second}
	for hosts := minBudgetHosts; hosts <= 3*minBudgetHosts; hosts++ {
		var config home.Config
		budget.carrierLimits(hosts, &config)
		burst := config.HedgeBurst + config.RetryBurst
		earned := (config.HedgesPerSecond + config.RetriesPerSecond) * budget.Window.Seconds()
		is.True(float64(hosts)*(burst+earned) <= budget.Slack)
		is.True(float64(hosts)*(burst+earned) >= 0.8*budget.Slack)
		is.True(earned > 0)
	}
}

// perWindow is the most that the limits allow in one window beyond what requests earn in it.
func perWindow(b Budget, config home.Config) float64 {
	most := (config.HedgesPerSecond + config.RetriesPerSecond) * b.Window.Seconds()
	if config.HedgeBudget > 0 {
		most += config.HedgeBurst
	}
	if config.RetryBudget > 0 {
		most += config.RetryBurst
	}
	return most
}

// Guards against homes in many zones, and hosts beside them, that together spend more than the
// operator allows.
func TestBudgetsOfTheHomesOfAllZonesStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	budget := Budget{Ratio: 0.2, Slack: 214, Window: 10 * time.Second}
	for zones := 1; zones <= 8; zones++ {
		for _, standby := range []int{0, 1, 82, 400} {
			var carrier home.Config
			budget.carrierLimits(max(minBudgetHosts, zones), &carrier)
			sum := float64(zones) * perWindow(budget, carrier)
			for rank := range standby {
				var config home.Config
				budget.standbyLimits(rank, &config)
				is.True(config.HedgeBudget+config.RetryBudget <= budget.Ratio)
				sum += perWindow(budget, config)
			}
			is.True(sum <= budget.Slack+roundingError)
		}
	}
}

// roundingError is far below one attempt.
const roundingError = 1e-9

// Guards against a fleet restart within one window that exceeds the bound: the budgets of the
// old and the new processes count together.
func TestBudgetsAcrossARestartStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	budget := Budget{Ratio: 0.2, Slack: 630, Window: 10 * time.Second}
	var config home.Config
	budget.carrierLimits(minBudgetHosts, &config)
	spent := config.HedgeBurst*(1+config.HedgeInitialFill) + config.RetryBurst*(1+config.RetryInitialFill)
	earned := (config.HedgesPerSecond + config.RetriesPerSecond) * budget.Window.Seconds()
	is.True(minBudgetHosts*(spent+earned) <= budget.Slack)
	is.True(config.HedgeBurst*config.HedgeInitialFill >= 1) // the new process can hedge at once
}

// Guards against a carrier that is lost when it has spent its part, and a host that takes its place
// in the same window, while all hosts on standby spend theirs.
func TestPartsWhileACarrierIsReplacedStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	budget := Budget{Ratio: 0.2, Slack: 214, Window: 10 * time.Second}
	for _, zones := range []int{3, 5} {
		for _, small := range []int{0, 4, 16} {
			view, servers := fleetOf(zones, small)
			before := 0.0
			for _, host := range view.Hosts {
				before += perWindow(budget, partOf(budget, host, view, servers))
			}
			for i := range view.Hosts {
				rest := &member.View{Hosts: slices.Delete(slices.Clone(view.Hosts), i, i+1)}
				sum := before
				for _, host := range rest.Hosts {
					was, now := partOf(budget, host, view, servers), partOf(budget, host, rest, servers)
					if was.HedgeBudget == 0 && now.HedgeBudget > 0 { // its tokens are those of a standby host
						sum += (now.HedgesPerSecond + now.RetriesPerSecond) * budget.Window.Seconds()
					}
				}
				is.True(sum <= budget.Slack+roundingError)
			}
		}
	}
}

// partOf returns the limits of a host's home for plain requests.
func partOf(budget Budget, host member.Host, view *member.View, servers map[string]int) (config home.Config) {
	roles := budgetRolesOf(host.ID, view, servers, 90)
	if roles.isAdvised {
		budget.carrierLimits(roles.advised, &config)
	} else {
		budget.standbyLimits(roles.rank, &config)
	}
	return config
}

// fleetOf returns two large and some small hosts in each zone; zones a to c have the servers.
func fleetOf(zones, small int) (*member.View, map[string]int) {
	view := &member.View{}
	for z := range zones {
		zone := string(rune('a' + z))
		for i := range 2 + small {
			capacity := uint32(192)
			if i < 2 {
				capacity = 800
			}
			view.Hosts = append(view.Hosts, member.Host{
				ID: ident.HostID(fmt.Sprintf("%s%02d", zone, i)), Zone: zone, Region: "region-" + string(rune('0'+z%2)),
				Incarnation: ident.Incarnation(i + 1), Capacity: capacity, State: member.StateAlive,
			})
		}
	}
	return view, map[string]int{"a": 187, "b": 187, "c": 187}
}

// Guards against the parts of all hosts of a fleet that add up to more than the bound, where
// each host decides by itself which part it has.
func TestPartsOfAFleetStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	budget := Budget{Ratio: 0.2, Slack: 214, Window: 10 * time.Second}
	for _, small := range []int{0, 4, 16, 60} {
		view, servers := fleetOf(5, small)
		sum, advised := 0.0, 0
		for _, host := range view.Hosts {
			if budgetRolesOf(host.ID, view, servers, 90).isAdvised {
				advised++
			}
			sum += perWindow(budget, partOf(budget, host, view, servers))
		}
		is.True(advised >= len(entry.AdvisedHosts(view, servers)))
		is.True(sum <= budget.Slack+roundingError)
		is.True(sum >= 0.5*budget.Slack)
	}
}
