package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/rollout"
)

func newBundleDiff(flags *bundleFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "diff PATH [PATH]",
		Short: "Show what changes from the accepted configuration, or from the first to the second path",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(command *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), bundleTimeout)
			defer cancel()
			after, err := readDocuments(args[len(args)-1])
			if err != nil {
				return err
			}
			before, err := flags.before(ctx, args)
			if err != nil {
				return err
			}
			differences := bundle.Diff(before, after)
			return flags.print(command.OutOrStdout(), differences, func(w io.Writer) { printDifferences(w, differences) })
		},
	}
}

// before is the first of two paths, or the accepted configuration.
func (f *bundleFlags) before(ctx context.Context, args []string) (bundle.Documents, error) {
	if len(args) == 2 {
		return readDocuments(args[0])
	}
	store, err := f.store()
	if err != nil {
		return bundle.Documents{}, err
	}
	defer store.Close()
	_, _, docs, err := rollout.Current(ctx, store)
	return docs, err
}

// signFlags are the flags of sign and rollback.
type signFlags struct {
	key, reason, out string
	above            uint64
}

func (f *signFlags) add(command *cobra.Command) {
	command.Flags().StringVar(&f.key, "key", "", "file with your private key")
	command.Flags().StringVar(&f.reason, "reason", "", "why, for the history")
	command.Flags().StringVar(&f.out, "out", "", "file for the change")
	command.Flags().Uint64Var(&f.above, "above", 0, "make the generation higher than this, when the store was set back")
}

func (f *signFlags) proposal(key bundle.SigningKey) (bundle.Proposal, error) {
	if f.reason == "" || f.out == "" {
		return bundle.Proposal{}, errors.New("--reason and --out are needed to make a change; say why, and name a file")
	}
	return bundle.Proposal{Author: key.Name, Reason: f.reason, Created: time.Now(), AboveGeneration: f.above}, nil
}

func newBundleSign(flags *bundleFlags) *cobra.Command {
	var sign signFlags
	command := &cobra.Command{
		Use:   "sign PATH",
		Short: "Make a change of documents as its author, or add a sign-off to a change as reviewer",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			key, err := readKey(sign.key)
			if err != nil {
				return err
			}
			if isChange(args[0]) {
				return flags.signChange(command, args[0], key)
			}
			return flags.signDocuments(command, args[0], key, sign)
		},
	}
	sign.add(command)
	required(command, "key")
	return command
}

// signDocuments is the author's step.
func (f *bundleFlags) signDocuments(command *cobra.Command, path string, key bundle.SigningKey, sign signFlags) error {
	proposal, err := sign.proposal(key)
	if err != nil {
		return err
	}
	docs, err := readDocuments(path)
	if err != nil {
		return err
	}
	store, err := f.store()
	if err != nil {
		return err
	}
	defer store.Close()
	ctx, cancel := context.WithTimeout(command.Context(), bundleTimeout)
	defer cancel()
	change, err := rollout.Propose(ctx, store, docs, proposal)
	if err != nil {
		return err
	}
	return f.writeSigned(command, sign.out, change, key)
}

// signChange is the reviewer's step: the documents are checked again.
func (f *bundleFlags) signChange(command *cobra.Command, path string, key bundle.SigningKey) error {
	change, err := readChange(path)
	if err != nil {
		return err
	}
	if _, _, err := change.Open(); err != nil {
		return err
	}
	return f.writeSigned(command, path, change, key)
}

func (f *bundleFlags) writeSigned(command *cobra.Command, path string, change bundle.Change, key bundle.SigningKey) error {
	change = change.Sign(key)
	if err := writeChange(path, change); err != nil {
		return err
	}
	manifest, err := change.Signed.Manifest()
	if err != nil {
		return err
	}
	var names []string
	for _, signature := range change.Signed.Signatures {
		names = append(names, signature.Signer)
	}
	summary := struct {
		File       string     `json:"file"`
		Generation uint64     `json:"generation"`
		Parent     bundle.Ref `json:"parent"`
		SignedBy   []string   `json:"signed_by"`
	}{path, manifest.Generation, manifest.Parent, names}
	return f.print(command.OutOrStdout(), summary, func(w io.Writer) {
		fmt.Fprintf(w, "wrote %s: generation %d on top of %s, signed by %v\n", path, manifest.Generation, manifest.Parent, names)
	})
}
