package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/bundle"
)

func newBundleInit() *cobra.Command {
	return &cobra.Command{
		Use:   "init DIRECTORY",
		Short: "Write example documents that show every field",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := os.MkdirAll(args[0], directoryMode); err != nil {
				return errors.Wrap(err, "create the directory")
			}
			path := filepath.Join(args[0], "bundle.yaml")
			if err := createFile(path, []byte(bundle.Example), publicFileMode); err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "wrote %s; change it, then run: bundle validate %s\n", path, args[0])
			return nil
		},
	}
}

func newBundleKeygen(flags *bundleFlags) *cobra.Command {
	var name, out string
	command := &cobra.Command{
		Use:   "keygen",
		Short: "Generate a person's signing key",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			key, err := bundle.GenerateKey(name)
			if err != nil {
				return err
			}
			if err := createFile(out, key.Encode(), privateFileMode); err != nil {
				return err
			}
			signer := key.Signer()
			return flags.print(command.OutOrStdout(), signer, func(w io.Writer) {
				fmt.Fprintf(w, "wrote the private key to %s; add the public key to the settings of every host:\n\n", out)
				fmt.Fprintf(w, "keys:\n  signers:\n    - name: %s\n      public_key: %s\n", signer.Name, signer.PublicKey)
			})
		},
	}
	command.Flags().StringVar(&name, "name", "", "name of the person")
	command.Flags().StringVar(&out, "out", "", "file to write the private key to")
	markRequired(command, "name", "out")
	return command
}

func newBundleValidate(flags *bundleFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "validate PATH",
		Short: "Validate documents or a change and list every problem",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			docs, err := readDocuments(args[0])
			if err != nil {
				return flags.printProblems(command, err)
			}
			parts, contents, err := bundle.Split(docs, bundle.Parts{})
			if err != nil {
				return err
			}
			summary := struct {
				Routes    int `json:"routes"`
				Callers   int `json:"callers"`
				Services  int `json:"services"`
				Documents int `json:"documents"`
				Bytes     int `json:"bytes"`
			}{len(docs.Routes), len(docs.Callers), len(docs.Services), len(parts.All()), contents.Bytes()}
			return flags.print(command.OutOrStdout(), summary, func(w io.Writer) {
				fmt.Fprintf(w, "valid: %d routes, %d callers, %d services; %d bytes in %d documents\n",
					summary.Routes, summary.Callers, summary.Services, summary.Bytes, summary.Documents)
			})
		},
	}
}

// printProblems prints validation problems as JSON if requested and returns an
// error in any case.
func (f *bundleFlags) printProblems(command *cobra.Command, err error) error {
	var problems bundle.Problems
	if f.output != outputJSON || !errors.As(err, &problems) {
		return err
	}
	if err := f.print(command.OutOrStdout(), problems, nil); err != nil {
		return err
	}
	return errors.Errorf("%d problems", len(problems))
}
