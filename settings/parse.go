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

const maxFileBytes = 256 << 10

// Load reads and validates a settings file. If it is invalid, the error is of type
// Problems.
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

// Parse parses and validates the content of a settings file; name is its name in
// messages. Omitted keys get their defaults.
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

// root parses the text and returns its root node, or nil if the file is empty or
// a problem was reported.
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
	message, _, _ := strings.Cut(err.Error(), "\n")
	var located yaml.Error
	if stderrors.As(err, &located) {
		at = tokenPosition(located.GetToken())
		message = strings.ReplaceAll(located.GetMessage(), "\n", " ")
	}
	d.report(at, "", message, "fix the YAML syntax there")
}
