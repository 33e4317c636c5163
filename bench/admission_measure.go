package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"
)

// Measure is one figure that a regression bound can be set on.
type Measure struct {
	Name  string // case, then what is measured
	Value float64
}

// floodSeeds runs of the cases with and without a flood are taken together:
// the p99 of one run of ten seconds is off by up to a tenth, as much as the
// flood may cost.
const floodSeeds = 6

// parallelRuns bounds the runs at once; each is deterministic by itself.
const parallelRuns = 4

// AdmissionMeasures runs the cases of admission with the seed and returns
// what callers would see.
func AdmissionMeasures(seed uint64) []Measure {
	chosen := WithAdmission(HomePolicy("home", nil))
	cases := admissionCases()
	results := make([][]*Result, len(cases))
	var unguarded *Result
	var runs errgroup.Group
	runs.SetLimit(parallelRuns)
	for i, c := range cases {
		results[i] = make([]*Result, seedsOf(c))
		for k := range results[i] {
			runs.Go(func() error {
				results[i][k] = Run(c, chosen, seed+uint64(k))
				return nil
			})
		}
	}
	saturation, _ := CaseByName("admit-saturation")
	runs.Go(func() error {
		unguarded = Run(saturation, HomePolicy("home", nil), seed)
		return nil
	})
	_ = runs.Wait() // runs don't fail
	var measures []Measure
	p99 := make(map[string]time.Duration)
	for i, c := range cases {
		measures = append(measures, measuresOf(c, results[i][0])...)
		p99[c.Name] = othersOf(results[i]...).Latency(0.99)
	}
	return append(
		measures,
		Measure{"admit-flood-30 others' p99 against no flood", ratioOf(p99["admit-flood-30"], p99["admit-30"])},
		Measure{"admit-flood-70 others' p99 against no flood", ratioOf(p99["admit-flood-70"], p99["admit-70"])},
		Measure{"admit-saturation goodput without admission", capacityUsed(saturation, unguarded.Length, unguarded.All)},
	)
}

func seedsOf(c Case) int {
	if strings.HasSuffix(c.Name, "-30") || strings.HasSuffix(c.Name, "-70") {
		return floodSeeds
	}
	return 1
}

func ratioOf(a, b time.Duration) float64 { return a.Seconds() / b.Seconds() }

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

// othersOf gathers the callers that never flood, over all the results.
func othersOf(results ...*Result) *Group {
	others := newGroup()
	for _, r := range results {
		for name, g := range r.Callers {
			if slices.Contains(floodingCallers(r.Case), name) {
				continue
			}
			others.Arrived += g.Arrived
			others.Refused += g.Refused
			others.latency.Merge(g.latency)
		}
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
