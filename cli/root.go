// Package cli implements the subcommands of goldcrestspan.
package cli

import (
	"slices"

	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/internal/signals"
	"github.com/goldcrestspan/goldcrestspan/platform"
)

// NewRoot returns the goldcrestspan command with all its subcommands. The commands that run an
// entry host handle the received signals; any other command releases them.
func NewRoot(received *signals.Receiver) *cobra.Command {
	hosts := []*cobra.Command{newServeCommand(received), platform.NewCommand(received)}
	root := &cobra.Command{
		Use:           "goldcrestspan",
		Short:         "A query tier over many index shards",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRun: func(cmd *cobra.Command, _ []string) {
			if !slices.Contains(hosts, cmd) {
				received.Release()
			}
		},
	}
	root.AddCommand(hosts...)
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
