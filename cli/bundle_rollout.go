package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/rollout"
)

const (
	defaultSubmitTimeout = time.Minute
	defaultHistory       = 20
)

func newBundleSubmit(flags *bundleFlags) *cobra.Command {
	var signersPath string
	var timeout time.Duration
	command := &cobra.Command{
		Use:   "submit CHANGE",
		Short: "Make a signed change the accepted configuration; safe to repeat",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			signers, err := readSigners(signersPath)
			if err != nil {
				return err
			}
			change, err := readChange(args[0])
			if err != nil {
				return err
			}
			store, err := flags.store()
			if err != nil {
				return err
			}
			defer store.Close()
			ctx, cancel := context.WithTimeout(command.Context(), timeout)
			defer cancel()
			receipt, err := rollout.Submit(ctx, store, signers, change)
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), receipt, func(w io.Writer) {
				fmt.Fprintf(w, "accepted: generation %s, %d documents written, in %s\n",
					receipt.Ref, receipt.DocumentsWritten, receipt.Elapsed.Round(time.Millisecond))
				if receipt.Superseded {
					fmt.Fprintln(w, "a later change has been accepted since")
				}
			})
		},
	}
	command.Flags().StringVar(&signersPath, "signers", "", "a host's settings file, which names who may sign")
	command.Flags().DurationVar(&timeout, "timeout", defaultSubmitTimeout, "how long to go on through an outage of the store")
	required(command, "signers")
	return command
}

func newBundleHistory(flags *bundleFlags) *cobra.Command {
	var limit int
	command := &cobra.Command{
		Use:   "history",
		Short: "List the accepted generations, newest first",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			store, err := flags.store()
			if err != nil {
				return err
			}
			defer store.Close()
			ctx, cancel := context.WithTimeout(command.Context(), bundleTimeout)
			defer cancel()
			accepted, err := rollout.History(ctx, store, limit)
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), accepted, func(w io.Writer) { printHistory(w, accepted) })
		},
	}
	command.Flags().IntVar(&limit, "limit", defaultHistory, "how many generations")
	return command
}

func printHistory(w io.Writer, accepted []rollout.AcceptedGeneration) {
	if len(accepted) == 0 {
		fmt.Fprintln(w, "nothing was accepted yet")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "GENERATION\tCREATED\tAUTHOR\tSIGNED BY\tRESTORES\tREASON")
	for _, a := range accepted {
		restores := "-"
		if a.Restores != nil {
			restores = a.Restores.String()
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", a.Ref, a.Created.Format(time.RFC3339),
			a.Author, strings.Join(a.SignedBy, ", "), restores, strings.ReplaceAll(a.Reason, "\n", " "))
	}
	_ = table.Flush()
}

func newBundleRollback(flags *bundleFlags) *cobra.Command {
	var sign signFlags
	var to uint64
	command := &cobra.Command{
		Use:   "rollback",
		Short: "Make a change that restores an earlier generation; sign it off and submit it like any other",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			key, err := readKey(sign.key)
			if err != nil {
				return err
			}
			proposal, err := sign.proposal(key)
			if err != nil {
				return err
			}
			store, err := flags.store()
			if err != nil {
				return err
			}
			defer store.Close()
			ctx, cancel := context.WithTimeout(command.Context(), bundleTimeout)
			defer cancel()
			change, err := rollout.Rollback(ctx, store, to, proposal)
			if err != nil {
				return err
			}
			return flags.writeSigned(command, sign.out, change, key)
		},
	}
	sign.add(command)
	command.Flags().Uint64Var(&to, "to", 0, "the generation to restore")
	required(command, "key", "to")
	return command
}

func newBundleStatus(flags *bundleFlags) *cobra.Command {
	var hosts []string
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the generation in force on each host, and who lags",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), bundleTimeout)
			defer cancel()
			accepted, storeErr := flags.acceptedGeneration(ctx)
			status := rollout.Status(ctx, http.DefaultClient, accepted, hosts)
			if err := flags.print(command.OutOrStdout(), status, func(w io.Writer) { printStatus(w, status, storeErr) }); err != nil {
				return err
			}
			if n := status.LaggingHosts(); n > 0 {
				return errors.Errorf("%d of %d hosts lag or don't answer; see the operators' page on the bundle", n, len(hosts))
			}
			return nil
		},
	}
	command.Flags().StringSliceVar(&hosts, "hosts", nil, "addresses of the hosts' operators' listeners, IP and port")
	required(command, "hosts")
	return command
}

// acceptedGeneration is 0 if the store can't be asked: the hosts can.
func (f *bundleFlags) acceptedGeneration(ctx context.Context) (uint64, error) {
	store, err := f.store()
	if err != nil {
		return 0, err
	}
	defer store.Close()
	accepted, err := rollout.History(ctx, store, 1)
	if err != nil || len(accepted) == 0 {
		return 0, err
	}
	return accepted[0].Ref.Generation, nil
}

func printStatus(w io.Writer, status rollout.FleetStatus, storeErr error) {
	if storeErr != nil {
		fmt.Fprintf(w, "accepted generation not known: %v\n", storeErr)
	} else {
		fmt.Fprintf(w, "accepted generation: %d\n", status.Accepted)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ADDRESS\tHOST\tGENERATION\tSTATE")
	for _, host := range status.Hosts {
		state := "in force"
		switch {
		case host.Error != "":
			state = "no answer: " + host.Error
		case host.GenerationsBehind > 0:
			state = fmt.Sprintf("lags by %d", host.GenerationsBehind)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", host.Address, host.Host, host.Generation, state)
	}
	_ = table.Flush()
}
