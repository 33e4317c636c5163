package cli

import (
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/demo"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

func newDemoCommand() *cobra.Command {
	var options demo.Options
	var level string
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a complete system on loopback with stand-ins and check every answer",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			logger, err := observe.NewLogger(level, "console")
			if err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer cancel()
			options.Out = cmd.OutOrStdout()
			options.Logger = logger
			return demo.Run(ctx, options)
		},
	}
	flags := command.Flags()
	flags.DurationVar(&options.Duration, "for", 5*time.Second, "how long to send requests")
	flags.Uint64Var(&options.Seed, "seed", 1, "random seed of service times and arrivals")
	flags.BoolVar(&options.Keep, "keep", false, "keep serving after the report and print commands to try")
	flags.StringVar(&level, "log", "error", "log level: debug, info, warn or error")
	return command
}
