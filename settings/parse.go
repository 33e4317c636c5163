package settings

import (
	stderrors "errors"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// maxFileBytes bounds a settings file; the largest sensible one, with 64
// peers and 64 signers, is under a tenth of it.
const maxFileBytes = 256 << 10

// Load reads and checks the settings file. An error of type Problems lists
// everything that is wrong in it.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Errorf("settings: %s is over %d bytes; it is not a settings file", path, maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse checks the content of a settings file; name is the file's name for
// messages. Keys that are left out get their defaults.
func Parse(name string, data []byte) (*Settings, error) {
	d := &decoder{file: name, positions: make(map[string]Position)}
	s := Defaults()
	root := d.root(data)
	if root != nil {
		d.value(root, "", reflect.ValueOf(&s).Elem())
	}
	if root != nil || len(d.problems) == 0 {
		d.check(&s)
	}
	if len(d.problems) > 0 {
		return nil, d.problems.sorted()
	}
	return &s, nil
}

// root parses the text; it returns nil, with a problem unless the file is
// merely empty, when there is no tree to decode.
func (d *decoder) root(data []byte) ast.Node {
	start := Position{Line: 1, Column: 1}
	if len(data) > maxFileBytes {
		d.report(start, "", "the file is too large", "give the path of a settings file")
		return nil
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.syntax(err)
		return nil
	}
	if len(file.Docs) > 1 {
		d.report(position(file.Docs[1]), "", "a second document starts here", "keep one document, without a line of three dashes")
		return nil
	}
	if len(file.Docs) == 0 {
		return nil
	}
	body := file.Docs[0].Body
	if _, comment := body.(*ast.CommentGroupNode); comment {
		return nil
	}
	return body
}

func (d *decoder) syntax(err error) {
	at := Position{Line: 1, Column: 1}
	what, _, _ := strings.Cut(err.Error(), "\n")
	var located yaml.Error
	if stderrors.As(err, &located) {
		at = tokenPosition(located.GetToken())
		what = strings.ReplaceAll(located.GetMessage(), "\n", " ")
	}
	d.report(at, "", what, "mend the YAML there")
}
