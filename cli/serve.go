package cli

import (
	"context"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/goldcrestspan/goldcrestspan"
	"github.com/goldcrestspan/goldcrestspan/internal/signals"
	"github.com/goldcrestspan/goldcrestspan/observe"
	"github.com/goldcrestspan/goldcrestspan/settings"
)

func newServeCommand(received *signals.Receiver) *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run an entry host until SIGTERM or SIGINT",
		Long: `Run an entry host.

The first SIGTERM or SIGINT starts a planned stop: callers are no longer advised
to use the host. It keeps serving until earlier advice has expired, then refuses
new requests as "not run", finishes the requests in flight and exits. A second
signal stops it at once: requests in flight are aborted, and the outcome of
bookings in flight is unknown. SIGHUP has no effect: changed certificates are
read without it, and changed settings at the next start.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), *s, received)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file of the host (YAML)")
	_ = command.MarkFlagRequired("settings") // fails only for unknown flags
	return command
}

func serve(ctx context.Context, s settings.Settings, received *signals.Receiver) error {
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
	go received.HandleStops(cancel, host.Abort, logger)
	go logHangups(received, logger)
	logger.Info("entry host started",
		zap.String("host", host.Name()),
		zap.String("callers", host.CallerAddress()),
		zap.String("peers", host.PeerAddress()),
		zap.String("operators", host.OperatorAddress()))
	err = host.Run(ctx)
	logger.Info("entry host ended", zap.Error(err))
	return err
}

// logHangups logs each SIGHUP. It doesn't return.
func logHangups(received *signals.Receiver, logger *zap.Logger) {
	for range received.Reloads() {
		logger.Info("SIGHUP received; changed settings take effect at the next start")
	}
}
