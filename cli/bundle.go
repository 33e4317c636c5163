package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/metastore"
)

// Values of the --output flag.
const (
	outputText = "text"
	outputJSON = "json"
)

// bundleReadTimeout limits commands that do not write to the store.
const bundleReadTimeout = 30 * time.Second

// bundleFlags are the flags that all bundle commands share.
type bundleFlags struct {
	platform []string
	output   string
}

func newBundleCommand() *cobra.Command {
	flags := &bundleFlags{}
	command := &cobra.Command{
		Use:   "bundle",
		Short: "Write, review, sign, submit and roll back the configuration bundle",
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if flags.output != outputText && flags.output != outputJSON {
				return errors.Errorf("--output %s: not known; use text or json", flags.output)
			}
			return nil
		},
	}
	command.PersistentFlags().StringSliceVar(&flags.platform, "platform", nil, "addresses of the platform's object API (IP:port)")
	command.PersistentFlags().StringVar(&flags.output, "output", outputText, "output format: text or json")
	command.AddCommand(
		newBundleInit(),
		newBundleKeygen(flags),
		newBundleValidate(flags),
		newBundleDiff(flags),
		newBundleSign(flags),
		newBundleSubmit(flags),
		newBundleStatus(flags),
		newBundleHistory(flags),
		newBundleRollback(flags),
	)
	return command
}

// store returns a client of the platform's object API.
func (f *bundleFlags) store() (*metastore.Client, error) {
	if len(f.platform) == 0 {
		return nil, errors.New("--platform is missing; give the address of the platform's object API (IP:port)")
	}
	return metastore.NewClient(f.platform, metastore.ClientOptions{}), nil
}

// print writes the value as JSON or calls text, depending on --output.
func (f *bundleFlags) print(w io.Writer, value any, text func(io.Writer)) error {
	if f.output == outputText {
		text(w)
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printDifferences(w io.Writer, differences []bundle.Difference) {
	if len(differences) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, difference := range differences {
		fmt.Fprintln(w, difference)
	}
}

func markRequired(command *cobra.Command, names ...string) {
	for _, name := range names {
		if err := command.MarkFlagRequired(name); err != nil {
			panic(err) // the command has no such flag
		}
	}
}
