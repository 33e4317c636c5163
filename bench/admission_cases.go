package bench

import (
	"fmt"
	"time"
)

// Deadlines of the classes in the admission cases.
const (
	interactiveDeadline = 390 * time.Millisecond
	standardDeadline    = 2 * time.Second
	batchDeadline       = 10 * time.Second
)

const (
	equalCallers = 10
	floodFactor  = 20
)

// admissionPolicies returns the home policy with and without admission, and the
// baselines.
func admissionPolicies() []PolicySpec {
	return []PolicySpec{
		WithAdmission(HomePolicy("home", nil)),
		HomePolicy("home", nil),
		WithFIFOAdmission(HomePolicy("home", nil)),
		QueueBaseline("ideal, fifo", queueOptions{hedge: hedgeQueued, fifo: true}),
	}
}

func admissionCases() []Case {
	return []Case{
		admissionCase("admit-70", "ten equal callers", 0.70, equalTraffic()),
		admissionCase("admit-saturation", "ten equal callers at twice the capacity", 2, equalTraffic()),
		admissionCase("admit-classes", "three classes, each over its reserved share, at twice the capacity", 2, classTraffic()),
		floodCase("admit-flood-70", 0.70),
		floodCase("admit-flood-30", 0.30),
		admissionCase("admit-30", "ten equal callers", 0.30, equalTraffic()),
		saturatedFloodCase(),
		burstAdmissionCase(),
		longLegsAdmissionCase(),
	}
}

func admissionCase(name, description string, load float64, traffic []Traffic) Case {
	return Case{Name: name, Description: description, Shape: BookingDesk(), Load: load, Traffic: traffic, Policies: admissionPolicies()}
}

func callerName(i int) string { return fmt.Sprintf("caller-%02d", i) }

// equalTraffic returns the traffic of ten callers with equal shares.
func equalTraffic() []Traffic {
	traffic := make([]Traffic, equalCallers)
	for i := range traffic {
		traffic[i] = Traffic{Caller: callerName(i), Class: Interactive, Share: 1.0 / equalCallers, Deadline: interactiveDeadline}
	}
	return traffic
}

// floodCase returns a case of ten callers, one of which sends floodFactor times
// its share.
func floodCase(name string, load float64) Case {
	traffic := equalTraffic()
	traffic[0].Share *= floodFactor
	description := fmt.Sprintf("ten callers that make %.0f%% load, but caller 0 sends twenty times its share", 100*load)
	return admissionCase(name, description, load, traffic)
}

func saturatedFloodCase() Case {
	traffic := equalTraffic()
	traffic[0].Share *= 5
	traffic[1].Share *= 5
	return admissionCase("admit-flood-saturation", "ten callers that make 110% load, and two of them send five times their share", 1.1, traffic)
}

func classTraffic() []Traffic {
	return []Traffic{
		{Caller: "screens", Class: Interactive, Share: 0.4, Deadline: interactiveDeadline},
		{Caller: "sales", Class: Standard, Share: 0.35, Deadline: standardDeadline},
		{Caller: "exports", Class: Batch, Share: 0.25, Deadline: batchDeadline},
	}
}

func burstAdmissionCase() Case {
	c := admissionCase("admit-burst", "40% load, 5 times as much from second 4 to 6", 0.40, equalTraffic())
	c.Surge = burstCase().Surge
	return c
}

func longLegsAdmissionCase() Case {
	c := admissionCase("admit-long", "40% interactive load beside batch legs, 30 times longer, at 80%", 1.2, nil)
	long := StandardTime()
	long.Base, long.MeanExtra = 30*long.Base, 30*long.MeanExtra
	c.Traffic = []Traffic{
		{Caller: "screens", Class: Interactive, Share: 1.0 / 3, Deadline: interactiveDeadline},
		{Caller: "exports", Class: Batch, Share: 2.0 / 3, Deadline: batchDeadline, ServiceTime: long},
	}
	return c
}
