package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/goldcrestspan/goldcrestspan/testbed"
)

// maxViolationsShown limits the violations that WriteText lists; WriteJSON writes
// all of them.
const maxViolationsShown = 50

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as text tables.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "\nshape %s, %d hosts, %.0f%% of slots, times x%g, %s, seed %d\n", r.Shape, r.Hosts, 100*r.Utilization, r.Scale, r.For, r.Seed)
	for _, side := range r.Sides {
		side.writeText(w)
	}
	for _, ratio := range r.Ratios {
		fmt.Fprintf(w, "tier / direct  %-12s p50 %.2f  p99 %.2f  p99.9 %.2f\n", ratio.Name, ratio.P50, ratio.P99, ratio.P999)
	}
	fmt.Fprintf(w, "processor: %.1f cores, %.0f us for each backend run (callers and stand-ins included); peak memory %d MB; sender late by p99 %.1f ms\n",
		r.CPUCores, r.CPUPerRun, r.PeakMemory>>20, r.SenderLateP99)
	r.writeViolations(w)
}

func (s SideReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "\n%-8s %-12s %7s %9s %9s %9s %9s %9s %9s  results\n", s.Name, "class, route", "count", "p50 ms", "p99 ms", "p99.9 ms", "answered", "complete", "coverage")
	for _, row := range append(s.Rows, s.Routes...) {
		fmt.Fprintf(w, "%-8s %-12s %7d %9.1f %9.1f %9.1f %8.2f%% %8.2f%% %8.2f%%  %s\n", "", row.Name, row.Count, row.P50, row.P99, row.P999,
			100*row.Answered, 100*row.Complete, 100*row.Coverage, codesText(row.Codes))
	}
	for _, slow := range s.Slowest {
		fmt.Fprintf(w, "%-8s slow: %s %s at %.1f s took %.0f ms, %s; %d runs, the last from %.0f to %.0f ms\n", "",
			slow.Request, slow.Route, slow.At, slow.Took, slow.Code, slow.Runs, slow.LastStart, slow.LastEnd)
	}
	fmt.Fprintf(w, "%-8s extra backend load %.2f%% (%d runs for %d legs), %d calls refused by servers, %d answers after their deadline, %d not sent\n\n", "",
		100*s.ExtraLoad, s.Runs, s.Legs, s.Refused, s.Late, s.Dropped)
}

func codesText(codes map[string]int) string {
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(codes)) {
		pairs = append(pairs, fmt.Sprintf("%s=%d", name, codes[name]))
	}
	return strings.Join(pairs, " ")
}

func (r *Report) writeViolations(w io.Writer) {
	if !r.hasTier() {
		return
	}
	if r.PoisonRuns > 0 {
		fmt.Fprintf(w, "requests that crash servers ran %d times\n", r.PoisonRuns)
	}
	for _, violation := range r.Violations[:min(len(r.Violations), maxViolationsShown)] {
		fmt.Fprintln(w, "BROKEN", violation)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintf(w, "%d replies checked against the stand-ins' record: every promise held\n", r.Checked)
		return
	}
	fmt.Fprintf(w, "%d replies checked, %d promises broken: %v\n", r.Checked, len(r.Violations), countByPromise(r.Violations))
}

func (r *Report) hasTier() bool {
	return slices.ContainsFunc(r.Sides, func(s SideReport) bool { return s.Name == sideTier })
}

func countByPromise(violations []testbed.Violation) map[string]int {
	counts := make(map[string]int)
	for _, violation := range violations {
		counts[violation.Promise]++
	}
	return counts
}
