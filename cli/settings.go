package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/settings"
)

func newSettingsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Check the settings file of an entry host",
	}
	cmd.AddCommand(newSettingsCheckCommand())
	return cmd
}

func newSettingsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a settings file and list every problem",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: settings of host %s are good\n", args[0], s.Host.Name)
			return err
		},
	}
}
