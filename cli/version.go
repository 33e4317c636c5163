package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return nil
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "goldcrestspan", info.Main.Version, info.GoVersion)
			return err
		},
	}
}
