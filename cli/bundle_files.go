package cli

import (
	"bytes"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/settings"
)

const (
	privateFileMode = 0o600
	publicFileMode  = 0o644
	directoryMode   = 0o755
)

// writeNew writes a file that must not exist yet.
func writeNew(path string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if os.IsExist(err) {
		return errors.Errorf("%s: exists already and is not overwritten; name another file or remove it", path)
	}
	if err != nil {
		return errors.Errorf("%s: can't be written (%v); name a file in a directory that you may write to", path, err)
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return errors.Wrap(err, path)
	}
	return errors.Wrap(file.Close(), path)
}

func readKey(path string) (bundle.SigningKey, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return bundle.SigningKey{}, errors.Errorf("%s: can't be read (%v); make a key with bundle keygen", path, err)
	}
	key, err := bundle.DecodeKey(raw)
	return key, errors.Wrap(err, path)
}

// isChange tells a change file, which is JSON, from YAML documents.
func isChange(path string) bool {
	info, err := os.Stat(path)
	if err != nil || info.IsDir() {
		return false
	}
	raw, err := os.ReadFile(path)
	return err == nil && bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{"))
}

func readChange(path string) (bundle.Change, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return bundle.Change{}, errors.Errorf("%s: can't be read (%v); make a change with bundle sign", path, err)
	}
	change, err := bundle.DecodeChange(raw)
	return change, errors.Wrapf(err, "%s: is not a change of bundle sign", path)
}

// writeChange writes the change beside the file and renames it, so that a
// reviewer's full disk doesn't destroy the author's change.
func writeChange(path string, change bundle.Change) error {
	raw, err := change.Encode()
	if err != nil {
		return err
	}
	temporary := path + ".tmp"
	if err := os.WriteFile(temporary, raw, publicFileMode); err != nil {
		return errors.Wrap(err, "write change")
	}
	return errors.Wrap(os.Rename(temporary, path), "write change")
}

// readDocuments reads YAML files or a change file.
func readDocuments(path string) (bundle.Documents, error) {
	if isChange(path) {
		change, err := readChange(path)
		if err != nil {
			return bundle.Documents{}, err
		}
		_, docs, err := change.Open()
		return docs, errors.Wrap(err, path)
	}
	source, err := bundle.ReadPath(path)
	if err != nil {
		return bundle.Documents{}, err
	}
	return source.Documents, nil
}

// signersFile is the part of a host's settings that says who may sign. Other
// parts are left alone, so a host's settings file serves as it is.
type signersFile struct {
	Keys settings.Keys `yaml:"keys"`
}

func readSigners(path string) (bundle.Signers, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return bundle.Signers{}, errors.Errorf("%s: can't be read (%v); name a host's settings file", path, err)
	}
	var file signersFile
	if err := yaml.Unmarshal(raw, &file); err != nil {
		return bundle.Signers{}, errors.Errorf("%s: %s", path, err)
	}
	if len(file.Keys.Signers) == 0 {
		return bundle.Signers{}, errors.Errorf("%s: names no one under keys.signers; add the output of bundle keygen", path)
	}
	signers, err := bundle.NewSigners(file.Keys.Signers)
	return signers, errors.Wrap(err, path)
}
