package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/settings"
)

func newServeCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run one entry host until SIGTERM or SIGINT, then stop it as planned",
		Long: `Run one entry host.

The first SIGTERM or SIGINT begins a planned stop: the host leaves the advice to
callers, serves on while callers may keep old advice, then refuses new work as
"not run", finishes what is in flight and exits. A second signal ends it at
once: work in flight is cut off, and bookings in flight become unknown.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), *s)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file of this host (YAML)")
	_ = command.MarkFlagRequired("settings") // fails only for an unknown flag
	return command
}

func serve(ctx context.Context, s settings.Settings) error {
	logger, err := observe.NewLogger(s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	host, err := goldcrestspan.New(s, goldcrestspan.Options{Logger: logger})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go awaitSignals(cancel, host, logger)
	logger.Info("entry host started",
		zap.String("host", host.Name()),
		zap.String("callers", host.CallerAddress()),
		zap.String("peers", host.PeerAddress()),
		zap.String("operators", host.OperatorAddress()))
	err = host.Run(ctx)
	logger.Info("entry host ended", zap.Error(err))
	return err
}

// awaitSignals begins a planned stop with the first signal and ends the host
// with the second.
func awaitSignals(stop context.CancelFunc, host *goldcrestspan.Host, logger *zap.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	stop()
	<-signals
	logger.Warn("second signal: work in flight is cut off")
	host.Abort()
}
