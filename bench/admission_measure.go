package bench

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Measure is one figure that a regression bound can be set on.
type Measure struct {
	Name  string // case, then what is measured
	Value float64
}

// measuredLength is long enough that the p99 of a tenth of the queries rests
// on thirty of them.
const measuredLength = 22 * time.Second

// AdmissionMeasures runs the cases of admission with the seed and returns
// what callers would see.
func AdmissionMeasures(seed uint64) []Measure {
	chosen := Admitted(HomePolicy("home", nil))
	results := make(map[string]*Result)
	var measures []Measure
	for _, c := range admissionCases() {
		c.Length = measuredLength
		r := Run(c, chosen, seed)
		results[c.Name] = r
		measures = append(measures, measuresOf(c, r)...)
	}
	for _, load := range []string{"30", "70"} {
		without := othersOf(results["admit-"+load]).Latency(0.99)
		with := othersOf(results["admit-flood-"+load]).Latency(0.99)
		measures = append(measures, Measure{"admit-flood-" + load + " others' p99 against no flood", with.Seconds() / without.Seconds()})
	}
	return append(measures, collapse(seed))
}

// collapse is what the same saturation gives without admission.
func collapse(seed uint64) Measure {
	c, _ := CaseByName("admit-saturation")
	r := Run(c, HomePolicy("home", nil), seed)
	return Measure{"admit-saturation goodput without admission", capacityUsed(c, r.Length, r.All)}
}

func measuresOf(c Case, r *Result) []Measure {
	measures := []Measure{
		{c.Name + " goodput", capacityUsed(c, r.Length, r.All)},
		{c.Name + " answers after their deadline", float64(r.All.AfterDeadline)},
		{c.Name + " others refused", ratio(othersOf(r).Refused, othersOf(r).Arrived)},
	}
	for i, class := range benchClasses() {
		g := r.Classes[i]
		if g == nil {
			continue
		}
		measures = append(
			measures,
			Measure{fmt.Sprintf("%s %s p99 ms", c.Name, class.Name), 1000 * g.Latency(0.99).Seconds()},
			Measure{fmt.Sprintf("%s %s whole answers", c.Name, class.Name), g.FullShare()},
			Measure{fmt.Sprintf("%s %s refusal p99 ms", c.Name, class.Name), 1000 * g.RefusalLatency(0.99).Seconds()},
			Measure{fmt.Sprintf("%s %s share of goodput", c.Name, class.Name), ratio(g.Full, r.All.Full)},
		)
	}
	return measures
}

// capacityUsed is the part of the slot time, had every slot been busy all the
// time with requests of the shape's length, that went into whole answers.
func capacityUsed(c Case, length time.Duration, g *Group) float64 {
	return float64(g.Full) / length.Seconds() / c.Shape.Capacity()
}

// othersOf gathers the callers that never flood.
func othersOf(r *Result) *Group {
	others := newGroup()
	for name, g := range r.Callers {
		if slices.Contains(floodingCallers(r.Case), name) {
			continue
		}
		others.Arrived += g.Arrived
		others.Refused += g.Refused
		others.latency.Merge(g.latency)
	}
	return others
}

func floodingCallers(name string) []string {
	if name == "admit-flood-saturation" {
		return []string{callerName(0), callerName(1)}
	}
	return []string{callerName(0)}
}

// PrintMeasures writes a line for each measure.
func PrintMeasures(w io.Writer, measures []Measure) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, m := range measures {
		fmt.Fprintf(tab, "%s\t%.4f\n", m.Name, m.Value)
	}
	return tab.Flush()
}
