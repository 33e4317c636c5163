package cli

import (
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/bench"
)

// newBenchCommand makes the command that compares the decisions under load
// with their baselines, in virtual time.
func newBenchCommand() *cobra.Command {
	var opts bench.Options
	var name string
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Compare the decisions under load with baselines, in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if name != "" {
				c, ok := bench.CaseByName(name)
				if !ok {
					return errors.Errorf("no case %q", name)
				}
				opts.Cases = []bench.Case{c}
			}
			return bench.Compare(cmd.OutOrStdout(), opts)
		},
	}
	cmd.Flags().StringVar(&name, "case", "", "run one case; default all")
	cmd.Flags().Uint64Var(&opts.Seed, "seed", 1, "seed of the random streams")
	cmd.Flags().StringVar(&opts.Plot, "plot", "", "write a plot of the latencies to this SVG or PNG file")
	return cmd
}
