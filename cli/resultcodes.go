package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/result"
)

func newResultCodesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "result-codes",
		Short: "Print the result codes as Markdown (docs/result-codes.md)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(cmd.OutOrStdout(), result.Markdown())
			return err
		},
	}
}
