// Package cli implements the subcommands of goldcrestspan.
package cli

import (
	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/platform"
)

// NewRoot returns the goldcrestspan command with all its subcommands.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "goldcrestspan",
		Short:         "A query tier over many index shards",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServeCommand())
	root.AddCommand(platform.NewCommand())
	root.AddCommand(newDemoCommand())
	root.AddCommand(newQueryCommand())
	root.AddCommand(newBookCommand())
	root.AddCommand(newHostsCommand())
	root.AddCommand(newStatusCommand())
	root.AddCommand(newVersionCommand())
	root.AddCommand(newResultCodesCommand())
	root.AddCommand(newStandinCommand())
	root.AddCommand(newSettingsCommand())
	root.AddCommand(newBundleCommand())
	root.AddCommand(newBenchCommand())
	root.AddCommand(newLoadCommand())
	return root
}
