package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/client"
)

// tokenVariable names the environment variable with the caller's token, so that
// it is in no list of processes.
const tokenVariable = "GOLDCRESTSPAN_TOKEN"

// callFlags are shared by the commands that act as a caller.
type callFlags struct {
	hosts       []string
	zone        string
	wait        time.Duration
	output      string
	authorities string
}

func (f *callFlags) add(command *cobra.Command) {
	flags := command.Flags()
	flags.StringSliceVar(&f.hosts, "hosts", nil, "callers' listeners of some entry hosts, IP:port")
	flags.StringVar(&f.zone, "zone", "", "own availability zone, to be served nearby")
	flags.DurationVar(&f.wait, "wait", 2*time.Second, "how long to wait for the answer")
	flags.StringVar(&f.output, "output", outputText, "text or json")
	flags.StringVar(&f.authorities, "authorities", "", "PEM file of authorities; speaks TLS when given")
	_ = command.MarkFlagRequired("hosts") // fails only for an unknown flag
}

func (f *callFlags) client() (*client.Client, error) {
	if f.output != outputText && f.output != outputJSON {
		return nil, errors.Errorf("--output %q: give text or json", f.output)
	}
	token := os.Getenv(tokenVariable)
	if token == "" {
		return nil, errors.Errorf("%s is not set: export the caller's bearer token in it", tokenVariable)
	}
	config, err := f.tls()
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{Seeds: f.hosts, Token: token, Zone: f.zone, TLS: config})
}

func (f *callFlags) tls() (*tls.Config, error) {
	if f.authorities == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(f.authorities)
	if err != nil {
		return nil, errors.Wrap(err, "--authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, errors.Errorf("--authorities %s: holds no certificate in PEM", f.authorities)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

func (f *callFlags) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), f.wait)
}

// print writes an answer, also one that came with an error.
func (f *callFlags) print(w io.Writer, answer *client.Answer) {
	if answer == nil {
		return
	}
	if f.output == outputJSON {
		printJSON(w, answer)
		return
	}
	fmt.Fprintf(w, "%d %s, request %s\n", int(answer.Code), answer.Name, answer.RequestID)
	if answer.Coverage != nil {
		fmt.Fprintf(w, "snapshot %s@%d, %d of %d shards\n", answer.Snapshot.Index, answer.Snapshot.Version, answer.Coverage.Have, answer.Coverage.Total)
	}
	for _, part := range answer.Shards {
		fmt.Fprintf(w, "shard %d: %s\n", part.Shard, part.Body)
	}
	for _, missing := range answer.Missing {
		fmt.Fprintf(w, "missing shard %d: %s %s\n", missing.Shard, missing.Name, missing.Detail)
	}
	if len(answer.Hosts) > 0 {
		fmt.Fprintf(w, "use instead: %s\n", strings.Join(answer.Hosts, ", "))
	}
}

func printJSON(w io.Writer, v any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v) // a closed output is nobody's loss
}

func newQueryCommand() *cobra.Command {
	var f callFlags
	var class string
	command := &cobra.Command{
		Use:   "query ROUTE JSON",
		Short: "Send one search as a caller and print the answer",
		Long:  "Send one search as a caller. The bearer token is taken from " + tokenVariable + ".",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			defer c.Close()
			ctx, cancel := f.context(cmd)
			defer cancel()
			answer, err := c.Query(ctx, args[0], client.Query{Class: class, Body: []byte(args[1]), Detail: true})
			f.print(cmd.OutOrStdout(), answer)
			return err
		},
	}
	f.add(command)
	command.Flags().StringVar(&class, "class", "", "class of the request; default: the route's first")
	return command
}

func newBookCommand() *cobra.Command {
	var f callFlags
	var ticket string
	command := &cobra.Command{
		Use:   "book ROUTE JSON",
		Short: "Send one booking as a caller, at most once",
		Long: `Send one booking as a caller. It asks for a ticket and prints it before it sends
the booking; after any error send the same booking again with --ticket: it never
runs twice, and the outcome of the first sending comes back. The bearer token is
taken from ` + tokenVariable + ".",
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			defer c.Close()
			ctx, cancel := f.context(cmd)
			defer cancel()
			booking := client.Booking{Body: []byte(args[1]), Resent: ticket != ""}
			if ticket == "" {
				if ticket, err = c.Ticket(ctx, args[0]); err != nil {
					return err
				}
			}
			fmt.Fprintln(cmd.ErrOrStderr(), "ticket", ticket)
			answer, err := c.Book(ctx, args[0], ticket, booking)
			f.print(cmd.OutOrStdout(), answer)
			return err
		},
	}
	f.add(command)
	command.Flags().StringVar(&ticket, "ticket", "", "ticket of an earlier sending of this booking")
	return command
}

func newHostsCommand() *cobra.Command {
	var f callFlags
	command := &cobra.Command{
		Use:   "hosts",
		Short: "Ask the system which entry hosts to use",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			defer c.Close()
			ctx, cancel := f.context(cmd)
			defer cancel()
			hosts, err := c.Hosts(ctx)
			if err != nil {
				return err
			}
			if f.output == outputJSON {
				printJSON(cmd.OutOrStdout(), hosts)
				return nil
			}
			fmt.Fprintln(cmd.OutOrStdout(), strings.Join(hosts, "\n"))
			return nil
		},
	}
	f.add(command)
	return command
}
