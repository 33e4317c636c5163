package load

import (
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/standin"
	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// Names of the classes of every shape.
const (
	classInteractive = "interactive"
	classStandard    = "standard"
	classBatch       = "batch"
	// classBooking names the report row of bookings.
	classBooking = "booking"
)

// shortServiceTime is the service time of interactive lookups.
var shortServiceTime = standin.ServiceTime{
	Base:           time.Millisecond,
	Mean:           4 * time.Millisecond,
	Straggler:      40 * time.Millisecond,
	StragglerShare: 0.02,
}

// longServiceTime is the service time of exports and accounting.
var longServiceTime = standin.ServiceTime{
	Base:           10 * time.Millisecond,
	Mean:           20 * time.Millisecond,
	Straggler:      100 * time.Millisecond,
	StragglerShare: 0.02,
}

func classes() []bundle.Class {
	return []bundle.Class{
		{Name: classInteractive, ReservedShare: 0.5, DefaultDeadline: bundle.Duration(250 * time.Millisecond)},
		{Name: classStandard, ReservedShare: 0.3, DefaultDeadline: bundle.Duration(time.Second)},
		{Name: classBatch, ReservedShare: 0.1, DefaultDeadline: bundle.Duration(5 * time.Second)},
	}
}

// twoServerGroup returns a group of services with two small servers each.
func twoServerGroup(index string, services int) testbed.ServiceGroup {
	return testbed.ServiceGroup{Index: index, Services: services, Servers: 2, Slots: 2, Connections: 25, Time: shortServiceTime}
}

// oneServiceGroup returns a group of one service with several larger servers.
func oneServiceGroup(index string, servers, connections int) testbed.ServiceGroup {
	return testbed.ServiceGroup{Index: index, Services: 1, Servers: servers, Slots: 6, Connections: connections, Time: longServiceTime}
}

// Plakatna returns the shape of Plakatna Mreža's deployment.
func Plakatna() Shape {
	return Shape{
		Name: "plakatna",
		Groups: []testbed.ServiceGroup{
			twoServerGroup("booking-desk", 20), twoServerGroup("transit-planner", 30),
			oneServiceGroup("archive-svc", 7, 100), oneServiceGroup("billing", 3, 100),
		},
		Classes:       classes(),
		CallersOfRole: map[string]int{"screens": 3, "sales": 3, "transit": 2},
		Streams: []Stream{
			{Index: "booking-desk", Route: "picks", Class: classInteractive, Role: "screens", Share: 0.6, Prefer: bundle.PreferLatency, MinCoverage: 0.8},
			{Index: "booking-desk", Route: "slots", Class: classStandard, Role: "sales", Share: 0.25, Prefer: bundle.PreferCoverage, MinCoverage: 0.9},
			{Index: "booking-desk", Route: "book", Class: classStandard, Role: "sales", Share: 0.15, Booking: true, Prefer: bundle.PreferCoverage, MinCoverage: 1},
			{Index: "transit-planner", Route: "inventory", Class: classStandard, Role: "transit", Share: 0.8, Prefer: bundle.PreferCoverage, MinCoverage: 1},
			{Index: "transit-planner", Route: "timetable", Class: classInteractive, Role: "screens", Share: 0.2, Prefer: bundle.PreferLatency, MinCoverage: 0.8},
			{Index: "archive-svc", Route: "export", Class: classBatch, Role: "sales", Share: 1, Prefer: bundle.PreferCoverage, MinCoverage: 1},
			{Index: "billing", Route: "invoices", Class: classStandard, Role: "sales", Share: 0.8, Prefer: bundle.PreferCoverage, MinCoverage: 1},
			{Index: "billing", Route: "invoice", Class: classStandard, Role: "sales", Share: 0.2, Booking: true, Prefer: bundle.PreferCoverage, MinCoverage: 1},
		},
	}
}

// Vltava returns the shape of the Vltava academy's deployment, in which most
// answers must be complete.
func Vltava() Shape {
	return Shape{
		Name: "vltava",
		Groups: []testbed.ServiceGroup{
			twoServerGroup("booking-portal", 20), twoServerGroup("cert-issuer", 30),
			oneServiceGroup("exam-desk", 4, 50), oneServiceGroup("billing-sync", 4, 50),
		},
		Classes:       classes(),
		CallersOfRole: map[string]int{"trainees": 3, "assessors": 3, "office": 2},
		Streams: []Stream{
			{Index: "booking-portal", Route: "modules", Class: classInteractive, Role: "trainees", Share: 0.55, Prefer: bundle.PreferLatency, MinCoverage: 0.9},
			{Index: "booking-portal", Route: "assessors", Class: classStandard, Role: "trainees", Share: 0.3, Prefer: bundle.PreferCoverage, MinCoverage: 1},
			{Index: "booking-portal", Route: "seat", Class: classStandard, Role: "trainees", Share: 0.15, Booking: true, Prefer: bundle.PreferCoverage, MinCoverage: 1},
			{Index: "cert-issuer", Route: "records", Class: classInteractive, Role: "assessors", Share: 0.6, Prefer: bundle.PreferCoverage, MinCoverage: 1},
			{Index: "cert-issuer", Route: "reports", Class: classBatch, Role: "office", Share: 0.4, Prefer: bundle.PreferCoverage, MinCoverage: 1},
			{Index: "exam-desk", Route: "exams", Class: classStandard, Role: "assessors", Share: 0.8, Prefer: bundle.PreferCoverage, MinCoverage: 1},
			{Index: "exam-desk", Route: "exam", Class: classStandard, Role: "trainees", Share: 0.2, Booking: true, Prefer: bundle.PreferCoverage, MinCoverage: 1},
			{Index: "billing-sync", Route: "accounts", Class: classBatch, Role: "office", Share: 1, Prefer: bundle.PreferCoverage, MinCoverage: 1},
		},
	}
}

// ShapeByName returns the shape named plakatna or vltava.
func ShapeByName(name string) (Shape, error) {
	for _, shape := range []Shape{Plakatna(), Vltava()} {
		if shape.Name == name {
			return shape, nil
		}
	}
	return Shape{}, errors.Errorf("unknown shape %q: use plakatna or vltava", name)
}
