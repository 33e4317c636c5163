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

// Measure is a figure that a regression bound can refer to.
type Measure struct {
	Name  string // case and measured quantity
	Value float64
}

// floodSeeds is the number of runs that are merged for the cases that are
// compared with each other: the p99 of a single run varies too much.
const floodSeeds = 6

// parallelRuns limits concurrent runs; each run is deterministic.
const parallelRuns = 4

// AdmissionMeasures runs the admission cases from the seed on and returns their
// measures.
func AdmissionMeasures(seed uint64) []Measure {
	admitted := WithAdmission(HomePolicy("home", nil))
	cases := admissionCases()
	results := make([][]*Result, len(cases))
	var unlimited *Result // without admission
	var runs errgroup.Group
	runs.SetLimit(parallelRuns)
	for i, c := range cases {
		results[i] = make([]*Result, seedCount(c))
		for k := range results[i] {
			runs.Go(func() error {
				results[i][k] = Run(c, admitted, seed+uint64(k))
				return nil
			})
		}
	}
	saturation, _ := CaseByName("admit-saturation")
	runs.Go(func() error {
		unlimited = Run(saturation, HomePolicy("home", nil), seed)
		return nil
	})
	_ = runs.Wait() // runs don't fail
	var measures []Measure
	p99 := make(map[string]time.Duration)
	for i, c := range cases {
		measures = append(measures, caseMeasures(c, results[i][0])...)
		p99[c.Name] = nonFloodingGroup(results[i]...).Latency(0.99)
	}
	return append(
		measures,
		Measure{"admit-flood-30 others' p99 against no flood", durationRatio(p99["admit-flood-30"], p99["admit-30"])},
		Measure{"admit-flood-70 others' p99 against no flood", durationRatio(p99["admit-flood-70"], p99["admit-70"])},
		Measure{"admit-saturation goodput without admission", capacityUsed(saturation, unlimited.Length, unlimited.All)},
	)
}

func seedCount(c Case) int {
	if strings.HasSuffix(c.Name, "-30") || strings.HasSuffix(c.Name, "-70") {
		return floodSeeds
	}
	return 1
}

func durationRatio(dividend, divisor time.Duration) float64 {
	return dividend.Seconds() / divisor.Seconds()
}

func caseMeasures(c Case, r *Result) []Measure {
	measures := []Measure{
		{c.Name + " goodput", capacityUsed(c, r.Length, r.All)},
		{c.Name + " answers after their deadline", float64(r.All.AfterDeadline)},
		{c.Name + " others refused", ratio(nonFloodingGroup(r).Refused, nonFloodingGroup(r).Arrived)},
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

// capacityUsed returns the rate of full answers as a fraction of the shape's
// capacity.
func capacityUsed(c Case, length time.Duration, g *Group) float64 {
	return float64(g.Full) / length.Seconds() / c.Shape.Capacity()
}

// nonFloodingGroup merges the results of the callers that do not flood.
func nonFloodingGroup(results ...*Result) *Group {
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

func floodingCallers(caseName string) []string {
	if caseName == "admit-flood-saturation" {
		return []string{callerName(0), callerName(1)}
	}
	return []string{callerName(0)}
}

// PrintMeasures writes one line for each measure.
func PrintMeasures(w io.Writer, measures []Measure) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, m := range measures {
		fmt.Fprintf(tab, "%s\t%.4f\n", m.Name, m.Value)
	}
	return tab.Flush()
}
