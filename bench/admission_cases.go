package bench

import (
	"fmt"
	"time"
)

// Deadlines of the classes in the cases of admission.
const (
	interactiveDeadline = 390 * time.Millisecond // the target's answer time
	standardDeadline    = 2 * time.Second
	batchDeadline       = 10 * time.Second
)

const (
	equalCallers = 10
	floodFactor  = 20
)

// admissionPolicies are admission and the ways without it.
func admissionPolicies() []PolicySpec {
	return []PolicySpec{
		WithAdmission(HomePolicy("home", nil)),
		HomePolicy("home", nil),
		WithFIFOAdmission(HomePolicy("home", nil)),
		QueueBaseline("ideal, fifo", queueRules{hedge: hedgeQueued, fifo: true}),
	}
}

func admissionCases() []Case {
	return []Case{
		admissionCase("admit-70", "ten equal callers", 0.70, equal()),
		admissionCase("admit-saturation", "ten equal callers at twice the capacity", 2, equal()),
		admissionCase("admit-classes", "three classes, each over its reserved share, at twice the capacity", 2, classes()),
		flooded("admit-flood-70", 0.70),
		flooded("admit-flood-30", 0.30),
		admissionCase("admit-30", "ten equal callers", 0.30, equal()),
		floodAtSaturation(),
		admitBurst(),
		admitLong(),
	}
}

func admissionCase(name, story string, load float64, traffic []Traffic) Case {
	return Case{Name: name, Description: story, Shape: BookingDesk(), Load: load, Traffic: traffic, Policies: admissionPolicies()}
}

func callerName(i int) string { return fmt.Sprintf("caller-%02d", i) }

// equal is the demand of ten callers with the same share.
func equal() []Traffic {
	traffic := make([]Traffic, equalCallers)
	for i := range traffic {
		traffic[i] = Traffic{Caller: callerName(i), Class: Interactive, Share: 1.0 / equalCallers, Deadline: interactiveDeadline}
	}
	return traffic
}

// flooded is the load of ten equal callers, of which one sends twenty times
// as much. Compare it with the case without the flood.
func flooded(name string, load float64) Case {
	traffic := equal()
	traffic[0].Share *= floodFactor
	story := fmt.Sprintf("ten callers that make %.0f%% load, but caller 0 sends twenty times its share", 100*load)
	return admissionCase(name, story, load, traffic)
}

func floodAtSaturation() Case {
	traffic := equal()
	traffic[0].Share *= 5
	traffic[1].Share *= 5
	return admissionCase("admit-flood-saturation", "ten callers that make 110% load, and two of them send five times their share", 1.1, traffic)
}

func classes() []Traffic {
	return []Traffic{
		{Caller: "screens", Class: Interactive, Share: 0.4, Deadline: interactiveDeadline},
		{Caller: "sales", Class: Standard, Share: 0.35, Deadline: standardDeadline},
		{Caller: "exports", Class: Batch, Share: 0.25, Deadline: batchDeadline},
	}
}

func admitBurst() Case {
	c := admissionCase("admit-burst", "40% load, 5 times as much from second 4 to 6", 0.40, equal())
	c.Surge = burst().Surge
	return c
}

func admitLong() Case {
	c := admissionCase("admit-long", "40% interactive load beside batch legs, 30 times longer, at 80%", 1.2, nil)
	long := StandardTime()
	long.Base, long.MeanExtra = 30*long.Base, 30*long.MeanExtra
	c.Traffic = []Traffic{
		{Caller: "screens", Class: Interactive, Share: 1.0 / 3, Deadline: interactiveDeadline},
		{Caller: "exports", Class: Batch, Share: 2.0 / 3, Deadline: batchDeadline, ServiceTime: long},
	}
	return c
}
