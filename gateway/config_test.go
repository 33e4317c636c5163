package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/route"
)

// Guards against hosts that together spend more than the bound on extra attempts, for any
// number of advised hosts.
func TestBudgetsOfAllHostsStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	budget := Budget{Ratio: 0.2, Slack: 52}
	for hosts := minBudgetHosts; hosts <= 2*minBudgetHosts; hosts++ {
		var config home.Config
		budget.homeOption(hosts)(&config)
		is.True(config.ChargeRefusals)
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
		budget.homeOption(hosts)(&config)
		burst := config.HedgeBurst + config.RetryBurst
		earned := (config.HedgesPerSecond + config.RetriesPerSecond) * budget.Window.Seconds()
		is.True(float64(hosts)*(burst+earned) <= budget.Slack)
		is.True(float64(hosts)*(burst+earned) >= 0.8*budget.Slack)
		is.True(earned > 0)
	}
}

// Guards against homes in many zones that together spend more than the operator allows.
func TestBudgetsOfTheHomesOfAllZonesStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	budget := Budget{Ratio: 0.2, Slack: 214, Window: 10 * time.Second}
	for zones := 1; zones <= 8; zones++ {
		var config home.Config
		budget.homeOption(int(budgetHomeCount(zones)))(&config)
		perHome := config.HedgeBurst + config.RetryBurst + (config.HedgesPerSecond+config.RetriesPerSecond)*budget.Window.Seconds()
		is.True(float64(zones)*perHome <= budget.Slack)
	}
}

// Guards against a fleet restart within one window that exceeds the bound: the budgets of the
// old and the new processes count together.
func TestBudgetsAcrossARestartStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	budget := Budget{Ratio: 0.2, Slack: 630, Window: 10 * time.Second}
	var config home.Config
	budget.homeOption(minBudgetHosts)(&config)
	spent := config.HedgeBurst*(1+config.HedgeInitialFill) + config.RetryBurst*(1+config.RetryInitialFill)
	earned := (config.HedgesPerSecond + config.RetriesPerSecond) * budget.Window.Seconds()
	is.True(minBudgetHosts*(spent+earned) <= budget.Slack)
	is.True(config.HedgeBurst*config.HedgeInitialFill >= 1) // the new process can hedge at once
}

func testRoute(name string, timeout time.Duration) route.Route {
	return route.Route{
		Name: name, Host: "x", Prefix: "/" + name + "/", Timeout: timeout, TargetLatency: time.Second, Priority: 1,
		WeightedServices: []route.WeightedService{{Service: "s", Weight: 1}},
	}
}

// Guards against a class for each route, and against losing latency statistics when a route's
// timeout changes.
func TestRoutesWithTheSameTargetShareAClass(t *testing.T) {
	is := is.New(t)
	c, err := newConfiguration(1, &route.Config{
		Version: 1, Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{testRoute("a", time.Second), testRoute("b", 2*time.Second)},
	})
	is.NoErr(err)
	is.Equal(len(c.compiled.Classes), 1)
}

func TestInvalidConfigurationIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := newConfiguration(1, &route.Config{Version: 1, Routes: []route.Route{testRoute("a", time.Second)}})
	is.True(err != nil) // its service is not listed
}

// Guards against requests that outlast the timeout of their route.
func TestRequestWaitsNoLongerThanItsRoute(t *testing.T) {
	is := is.New(t)
	r := testRoute("a", 2*time.Second)
	is.Equal(timeoutOf(&r, Query{}), 2*time.Second)
	is.Equal(timeoutOf(&r, Query{Timeout: time.Minute}), 2*time.Second)
	is.Equal(timeoutOf(&r, Query{Timeout: time.Second}), time.Second)
}
