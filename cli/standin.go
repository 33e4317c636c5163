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
		Short: "Run a stand-in for the platform or for a backend server",
	}
	command.AddCommand(newStandinPlatform(), newStandinBackend())
	return command
}

func newStandinPlatform() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Serve an in-memory object API and host list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform := standin.NewPlatform()
			address, err := platform.Start(listen)
			if err != nil {
				return err
			}
			defer platform.Close()
			return waitForSignal(cmd, "platform", address)
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
		Short: "Serve synthetic answers as a backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			backend := standin.NewBackend(config)
			if err := backend.Start(listen); err != nil {
				return err
			}
			defer backend.Close()
			return waitForSignal(cmd, "backend server "+config.Name, backend.Address())
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7500", "IP and port to listen on")
	flags.StringVar(&config.Name, "name", "backend-1", "name of the server")
	flags.StringVar(&config.Service, "service", "booking-desk-01", "service of the server")
	flags.StringVar(&config.Region, "region", "jadran", "region of the server")
	flags.StringVar(&config.Zone, "zone", "split-a", "availability zone of the server")
	flags.IntVar(&config.Slots, "slots", 2, "number of requests served concurrently")
	flags.IntVar(&config.QueueLimit, "queue", 0, "queue limit; further requests are refused")
	flags.IntVar(&config.MaxConnections, "connections", 25, "connection limit; 0: none")
	flags.DurationVar(&config.ServiceTime.Base, "base", time.Millisecond, "fixed part of the service time")
	flags.DurationVar(&config.ServiceTime.Mean, "mean", 4*time.Millisecond, "mean of the exponential part of the service time")
	flags.DurationVar(&config.ServiceTime.Straggler, "straggler", 40*time.Millisecond, "additional service time of stragglers")
	flags.Float64Var(&config.ServiceTime.StragglerShare, "straggler-share", 0.02, "fraction of stragglers, 0 to 1")
	flags.DurationVar(&config.ColdDuration, "cold-for", 0, "how long the server is slow after its start")
	flags.StringVar(&config.CrashMarker, "crash-marker", "", "crash on requests whose body contains this text")
	flags.Uint64Var(&config.Seed, "seed", 1, "random seed of the service times")
	return command
}

// waitForSignal prints the stand-in's address and waits for SIGINT or SIGTERM.
func waitForSignal(cmd *cobra.Command, name, address string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fmt.Fprintf(cmd.OutOrStdout(), "%s stand-in at http://%s; faults: curl http://%s%s\n", name, address, address, standin.PathControl)
	<-ctx.Done()
	return nil
}
