// Package demo shows the whole system at work in one process: it rolls out a
// signed bundle, asks for hosts as a caller does, sends requests of each class
// and checks every answer against what the backend server stand-ins ran.
package demo

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/standin"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// Names in the demo's bundle.
const (
	indexBookingDesk    = "booking-desk"
	indexTransitPlanner = "transit-planner"

	routeSlots     = "slots"     // booking-desk, prefers coverage
	routeScreens   = "screens"   // booking-desk, prefers latency
	routeInventory = "inventory" // transit-planner, needs full coverage
	routeBook      = "book"

	classInteractive = "interactive"
	classStandard    = "standard"
	classBatch       = "batch"

	callerScreens = "screens"
	callerSales   = "sales"
	callerTransit = "transit-office"
)

// tokenOf is the demo's bearer token of a caller. Real ones are drawn at random.
func tokenOf(caller string) string { return "demo-token-of-" + caller }

// serviceTime is that of the users' services: mostly 5 ms, with stragglers.
var serviceTime = standin.ServiceTime{
	Base:           time.Millisecond,
	Mean:           4 * time.Millisecond,
	Straggler:      40 * time.Millisecond,
	StragglerShare: 0.02,
}

// Groups are booking-desk and transit-planner as Plakatna Mreža runs them.
func Groups() []testbed.ServiceGroup {
	shape := testbed.ServiceGroup{Servers: 2, Slots: 2, Connections: 25, Time: serviceTime}
	desk, planner := shape, shape
	desk.Index, desk.Services = indexBookingDesk, 20
	planner.Index, planner.Services = indexTransitPlanner, 30
	return []testbed.ServiceGroup{desk, planner}
}

// Documents are the demo's bundle, without the services, which the testbed adds.
func Documents() bundle.Documents {
	caller := func(name string) bundle.Caller {
		return bundle.Caller{Name: name, TokenSHA256: testbed.TokenHash(tokenOf(name))}
	}
	return bundle.Documents{
		Classes: []bundle.Class{
			{Name: classInteractive, ReservedShare: 0.5, DefaultDeadline: bundle.Duration(250 * time.Millisecond)},
			{Name: classStandard, ReservedShare: 0.3, DefaultDeadline: bundle.Duration(time.Second)},
			{Name: classBatch, ReservedShare: 0.1, DefaultDeadline: bundle.Duration(5 * time.Second)},
		},
		Callers: []bundle.Caller{caller(callerScreens), caller(callerSales), caller(callerTransit)},
		Routes: []bundle.Route{
			{
				Name: routeScreens, Kind: bundle.KindQuery, Index: indexBookingDesk,
				Callers: []string{callerScreens}, Classes: []string{classInteractive},
				Prefer: bundle.PreferLatency, MinCoverage: 0.8,
			},
			{
				Name: routeSlots, Kind: bundle.KindQuery, Index: indexBookingDesk,
				Callers: []string{callerSales}, Classes: []string{classStandard, classBatch},
				Prefer: bundle.PreferCoverage, MinCoverage: 0.9,
			},
			{
				Name: routeInventory, Kind: bundle.KindQuery, Index: indexTransitPlanner,
				Callers: []string{callerTransit}, Classes: []string{classStandard, classBatch},
				Prefer: bundle.PreferCoverage, MinCoverage: 1,
			},
			{
				Name: routeBook, Kind: bundle.KindBooking, Index: indexBookingDesk,
				Callers: []string{callerSales}, Classes: []string{classStandard},
				Prefer: bundle.PreferCoverage, MinCoverage: 1,
			},
		},
		Policy: bundle.Policy{AdviceTTL: bundle.Duration(5 * time.Second)},
	}
}
