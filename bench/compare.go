package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Options configure Compare.
type Options struct {
	Seed  uint64
	Cases []Case // empty: Cases()
	// Plot is the file for a plot of the latency quantiles; empty: none.
	Plot string
}

// Compare runs each case with each of its policies and prints one table per case.
func Compare(w io.Writer, opts Options) error {
	cases := opts.Cases
	if len(cases) == 0 {
		cases = Cases()
	}
	var all []*Result
	for _, c := range cases {
		results := runPolicies(c, opts.Seed)
		if err := printTable(w, c, opts.Seed, results); err != nil {
			return err
		}
		all = append(all, results...)
	}
	if opts.Plot == "" {
		return nil
	}
	return errors.Wrap(plotLatency(opts.Plot, all), "plot")
}

func runPolicies(c Case, seed uint64) []*Result {
	policies := c.Policies
	if len(policies) == 0 {
		policies = Policies()
	}
	results := make([]*Result, len(policies))
	for i, policy := range policies {
		results[i] = Run(c, policy, seed)
	}
	return results
}

func printTable(w io.Writer, c Case, seed uint64, results []*Result) error {
	fmt.Fprintf(w, "\n%s: %s (load %.0f%%, seed %d)\n", c.Name, c.Description, 100*c.Load, seed)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "policy\tclass\tp50\tp99\tp99.9\tcoverage\tfull\tgoodput\textra\trefused/leg\tbusy/leg\tlate\trefused\tlost\t")
	for _, r := range results {
		for class := range 3 {
			if g := r.Classes[class]; g != nil {
				printRow(tab, r, class, g)
			}
		}
	}
	return tab.Flush()
}

func printRow(w io.Writer, r *Result, class int, g *Group) {
	fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%.4f\t%.4f\t%.4f\t%.2f%%\t%.3f\t%s\t%d\t%d\t%d\t\n",
		r.Policy, class, formatMillis(g.Latency(0.5)), formatMillis(g.Latency(0.99)), formatMillis(g.Latency(0.999)),
		g.Coverage(), g.FullShare(), g.Goodput(), 100*r.ExtraAttempts(), r.RefusedPerLeg(), formatMillis(r.BusyPerLeg()),
		g.AfterDeadline, g.Refused, g.Lost)
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", milliseconds(d))
}
