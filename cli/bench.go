package cli

import (
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/bench"
)

func newBenchCommand() *cobra.Command {
	var options bench.Options
	var name string
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Compare load management algorithms with baselines in a simulation",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if name != "" {
				c, ok := bench.CaseByName(name)
				if !ok {
					return errors.Errorf("--case %q: no such case", name)
				}
				options.Cases = []bench.Case{c}
			}
			return bench.Compare(cmd.OutOrStdout(), options)
		},
	}
	cmd.Flags().StringVar(&name, "case", "", "run only this case")
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "random seed")
	cmd.Flags().StringVar(&options.Plot, "plot", "", "write a latency plot to this SVG or PNG file")
	return cmd
}
