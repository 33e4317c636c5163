package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/standin"
)

func newStandinCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of the platform or of a backend server",
	}
	command.AddCommand(newStandinPlatform(), newStandinBackend())
	return command
}

func newStandinPlatform() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Serve the object API and the host list from memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := standin.NewPlatform()
			address, err := p.Start(listen)
			if err != nil {
				return err
			}
			defer p.Close()
			return serveUntilSignal(cmd, "platform", address)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:7400", "IP and port to listen on")
	return command
}

func newStandinBackend() *cobra.Command {
	var listen string
	config := standin.BackendConfig{}
	command := &cobra.Command{
		Use:   "backend",
		Short: "Serve as one backend server with made-up content",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b := standin.NewBackend(config)
			if err := b.Start(listen); err != nil {
				return err
			}
			defer b.Close()
			return serveUntilSignal(cmd, "backend server "+config.Name, b.Address())
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7500", "IP and port to listen on")
	flags.StringVar(&config.Name, "name", "backend-1", "name of the server")
	flags.StringVar(&config.Service, "service", "booking-desk-01", "its service")
	flags.StringVar(&config.Region, "region", "jadran", "its region")
	flags.StringVar(&config.Zone, "zone", "split-a", "its availability zone")
	flags.IntVar(&config.Slots, "slots", 2, "requests served at once")
	flags.IntVar(&config.QueueLimit, "queue", 0, "requests that may wait; above it they are refused")
	flags.IntVar(&config.MaxConnections, "connections", 25, "connection limit; 0: none")
	flags.DurationVar(&config.ServiceTime.Base, "base", time.Millisecond, "fixed part of the service time")
	flags.DurationVar(&config.ServiceTime.Mean, "mean", 4*time.Millisecond, "mean of its exponential part")
	flags.DurationVar(&config.ServiceTime.Straggler, "straggler", 40*time.Millisecond, "added to stragglers")
	flags.Float64Var(&config.ServiceTime.StragglerShare, "straggler-share", 0.02, "share of stragglers, 0 to 1")
	flags.DurationVar(&config.ColdDuration, "cold-for", 0, "time after a start in which it is slow")
	flags.StringVar(&config.CrashMarker, "crash-marker", "", "a request whose body holds it crashes the server")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the service times")
	return command
}

// serveUntilSignal prints where the stand-in is and waits for SIGINT or SIGTERM.
func serveUntilSignal(cmd *cobra.Command, what, address string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fmt.Fprintf(cmd.OutOrStdout(), "%s stand-in at http://%s; faults: curl http://%s%s\n", what, address, address, standin.PathControl)
	<-ctx.Done()
	return nil
}
