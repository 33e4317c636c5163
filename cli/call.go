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

// tokenEnv is the environment variable with the caller's token. There is no flag
// for it, so that the token doesn't show up in process lists.
const tokenEnv = "GOLDCRESTSPAN_TOKEN"

// callFlags are the flags of the commands that act as a caller.
type callFlags struct {
	hosts       []string
	zone        string
	timeout     time.Duration
	output      string
	authorities string
}

func (f *callFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringSliceVar(&f.hosts, "hosts", nil, "caller listeners of some entry hosts (IP:port)")
	flags.StringVar(&f.zone, "zone", "", "own availability zone, whose entry hosts are preferred")
	flags.DurationVar(&f.timeout, "wait", 2*time.Second, "how long to wait for the answer")
	flags.StringVar(&f.output, "output", outputText, "output format: text or json")
	flags.StringVar(&f.authorities, "authorities", "", "PEM file of certificate authorities; enables TLS")
	_ = command.MarkFlagRequired("hosts") // fails only for unknown flags
}

func (f *callFlags) client() (*client.Client, error) {
	if f.output != outputText && f.output != outputJSON {
		return nil, errors.Errorf("--output %q: use text or json", f.output)
	}
	token := os.Getenv(tokenEnv)
	if token == "" {
		return nil, errors.Errorf("%s is not set: export the caller's bearer token in it", tokenEnv)
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
		return nil, errors.Errorf("--authorities %s: contains no PEM certificate", f.authorities)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// withClient calls do with a new client and a context that ends after the timeout.
func (f *callFlags) withClient(cmd *cobra.Command, do func(ctx context.Context, c *client.Client) error) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	return do(ctx, c)
}

// print writes an answer. The answer may be nil.
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
	for _, shard := range answer.Shards {
		fmt.Fprintf(w, "shard %d: %s\n", shard.Shard, shard.Body)
	}
	for _, missing := range answer.Missing {
		fmt.Fprintf(w, "missing shard %d: %s %s\n", missing.Shard, missing.Name, missing.Detail)
	}
	if len(answer.Hosts) > 0 {
		fmt.Fprintf(w, "use instead: %s\n", strings.Join(answer.Hosts, ", "))
	}
}

func printJSON(w io.Writer, value any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // a closed output is ignored
}

func newQueryCommand() *cobra.Command {
	var f callFlags
	var class string
	command := &cobra.Command{
		Use:   "query ROUTE JSON",
		Short: "Send a search as a caller and print the answer",
		Long:  "Send a search as a caller. The bearer token is read from the environment variable " + tokenEnv + ".",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.withClient(cmd, func(ctx context.Context, c *client.Client) error {
				answer, err := c.Query(ctx, args[0], client.Query{Class: class, Body: []byte(args[1]), Detail: true})
				f.print(cmd.OutOrStdout(), answer)
				return err
			})
		},
	}
	f.register(command)
	command.Flags().StringVar(&class, "class", "", "class of the request; default: the route's first class")
	return command
}

func newBookCommand() *cobra.Command {
	var f callFlags
	var ticket string
	command := &cobra.Command{
		Use:   "book ROUTE JSON",
		Short: "Send a booking as a caller",
		Long: `Send a booking as a caller. The command requests a ticket and prints it before
it sends the booking. After any error, send the same booking again with --ticket:
it never runs twice, and the outcome of the first run is returned. The bearer
token is read from the environment variable ` + tokenEnv + ".",
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.withClient(cmd, func(ctx context.Context, c *client.Client) error {
				booking := client.Booking{Body: []byte(args[1]), Resent: ticket != ""}
				if ticket == "" {
					newTicket, err := c.Ticket(ctx, args[0])
					if err != nil {
						return err
					}
					ticket = newTicket
				}
				fmt.Fprintln(cmd.ErrOrStderr(), "ticket", ticket)
				answer, err := c.Book(ctx, args[0], ticket, booking)
				f.print(cmd.OutOrStdout(), answer)
				return err
			})
		},
	}
	f.register(command)
	command.Flags().StringVar(&ticket, "ticket", "", "ticket with which this booking was sent before")
	return command
}

func newHostsCommand() *cobra.Command {
	var f callFlags
	command := &cobra.Command{
		Use:   "hosts",
		Short: "List the entry hosts that callers are advised to use",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.withClient(cmd, func(ctx context.Context, c *client.Client) error {
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
			})
		},
	}
	f.register(command)
	return command
}
