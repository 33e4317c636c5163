package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan"
)

const statusTimeout = 3 * time.Second

func newStatusCommand() *cobra.Command {
	var output string
	var scheme string
	command := &cobra.Command{
		Use:   "status IP:PORT",
		Short: "Show the status of an entry host, read from its operator listener",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			status, err := readStatus(cmd.Context(), scheme+"://"+args[0]+"/v1/status")
			if err != nil {
				return err
			}
			if output == outputJSON {
				printJSON(cmd.OutOrStdout(), status)
				return nil
			}
			printHostStatus(cmd.OutOrStdout(), status)
			return nil
		},
	}
	command.Flags().StringVar(&output, "output", outputText, "output format: text or json")
	command.Flags().StringVar(&scheme, "scheme", "http", "URL scheme: http or https")
	return command
}

func readStatus(ctx context.Context, url string) (goldcrestspan.Status, error) {
	var status goldcrestspan.Status
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return status, errors.Wrap(err, "address: use IP:port of the operator listener")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, errors.Wrap(err, "request the status")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, errors.Errorf("%s: HTTP status %d; is this the operator listener?", url, response.StatusCode)
	}
	return status, errors.Wrap(json.NewDecoder(response.Body).Decode(&status), "decode the status")
}

func printHostStatus(w io.Writer, s goldcrestspan.Status) {
	fmt.Fprintf(w, "host %s, zone %s, region %s, incarnation %d\n", s.Host, s.Zone, s.Region, s.Incarnation)
	fmt.Fprintf(w, "ready %t, %s, %d in flight", s.Ready, s.Phase, s.InFlight)
	if s.Refusal != "" {
		fmt.Fprintf(w, ", refuses: %s", s.Refusal)
	}
	fmt.Fprintf(w, "\nconfiguration generation %d, manifest %s\n", s.Generation, s.Manifest)
	if s.Alarm != "" {
		fmt.Fprintf(w, "ALARM %s\n", s.Alarm)
	}
	for _, q := range s.Quarantine {
		fmt.Fprintf(w, "quarantined request %s until %s, servers lost: %s\n", q.Hex, q.Until.Format(time.RFC3339), strings.Join(q.Servers, ", "))
	}
	fmt.Fprintf(w, "%-20s %-12s %-8s %5s  %s\n", "entry host", "zone", "state", "load", "callers")
	for _, h := range s.Hosts {
		fmt.Fprintf(w, "%-20s %-12s %-8s %4.0f%%  %s\n", h.Host, h.Zone, h.State, float64(h.LoadPermille)/10, h.Callers)
	}
}
