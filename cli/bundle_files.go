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

// createFile writes a new file and fails if it exists.
func createFile(path string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if os.IsExist(err) {
		return errors.Errorf("%s: the file exists and is not overwritten; choose another name or remove it", path)
	}
	if err != nil {
		return errors.Errorf("%s: can't be written (%v); choose a writable directory", path, err)
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

// isChangeFile reports whether a path is a change file, which is JSON, and not
// YAML documents.
func isChangeFile(path string) bool {
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
		return bundle.Change{}, errors.Errorf("%s: can't be read (%v); create a change with bundle sign", path, err)
	}
	change, err := bundle.DecodeChange(raw)
	return change, errors.Wrapf(err, "%s: not a change file written by bundle sign", path)
}

// writeChange replaces the file atomically, so that a failed write doesn't destroy
// the previous change.
func writeChange(path string, change bundle.Change) error {
	raw, err := change.Encode()
	if err != nil {
		return err
	}
	temporary := path + ".tmp"
	if err := os.WriteFile(temporary, raw, publicFileMode); err != nil {
		return errors.Wrap(err, "write the change")
	}
	return errors.Wrap(os.Rename(temporary, path), "write the change")
}

// readDocuments reads YAML files or a change file.
func readDocuments(path string) (bundle.Documents, error) {
	if isChangeFile(path) {
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

// signersFile is the part of a host's settings that lists the signers. Other keys
// are ignored, so that a host's settings file can be used unchanged.
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
		return bundle.Signers{}, errors.Errorf("%s: keys.signers is empty; add the output of bundle keygen", path)
	}
	signers, err := bundle.NewSigners(file.Keys.Signers)
	return signers, errors.Wrap(err, path)
}
