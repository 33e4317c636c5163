package bundle

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

const maxFileBytes = MaxBundleBytes

// Source is a set of documents with their positions in the files.
type Source struct {
	Documents Documents
	files     []sourceFile
}

// sourceFile is one YAML file and the offsets of its lists in Documents.
type sourceFile struct {
	name string
	tree *ast.File
	// firstIndex and counts give, by list name, the index in Documents of the
	// file's first item and the number of its items.
	firstIndex map[string]int
	counts     map[string]int
}

// ReadPath reads a YAML file, or all *.yaml files of a directory in name order, as
// one set of documents. It returns Problems for invalid input.
func ReadPath(path string) (*Source, error) {
	names, err := yamlFiles(path)
	if err != nil {
		return nil, err
	}
	s := &Source{}
	var problems Problems
	for _, name := range names {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read documents")
		}
		problems = append(problems, s.add(name, content)...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return s, s.locateAll(Validate(s.Documents)).Err()
}

func yamlFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Errorf("%s: can't be read (%v); name a YAML file or a directory, or make one with bundle init", path, err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	names, err := filepath.Glob(filepath.Join(path, "*.yaml"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, errors.Errorf("%s: contains no *.yaml file; make one with bundle init", path)
	}
	slices.Sort(names)
	return names, nil
}

// add appends the content of one file to the documents.
func (s *Source) add(name string, content []byte) Problems {
	docs, tree, problem := parseFile(name, content)
	if problem != nil {
		return Problems{*problem}
	}
	if s.Documents.Policy != (Policy{}) && docs.Policy != (Policy{}) {
		return Problems{{
			File: name, Line: 1, Column: 1, Path: "policy",
			Message: "another file also has a policy", Fix: "keep the policy in one file",
		}}
	}
	file := sourceFile{name: name, tree: tree, firstIndex: map[string]int{
		"routes": len(s.Documents.Routes), "callers": len(s.Documents.Callers),
		"classes": len(s.Documents.Classes), "services": len(s.Documents.Services),
		"quarantine": len(s.Documents.Quarantine),
	}, counts: map[string]int{
		"routes": len(docs.Routes), "callers": len(docs.Callers), "classes": len(docs.Classes),
		"services": len(docs.Services), "quarantine": len(docs.Quarantine),
	}}
	s.files = append(s.files, file)
	s.Documents.Routes = append(s.Documents.Routes, docs.Routes...)
	s.Documents.Callers = append(s.Documents.Callers, docs.Callers...)
	s.Documents.Classes = append(s.Documents.Classes, docs.Classes...)
	s.Documents.Services = append(s.Documents.Services, docs.Services...)
	s.Documents.Quarantine = append(s.Documents.Quarantine, docs.Quarantine...)
	if docs.Policy != (Policy{}) {
		s.Documents.Policy = docs.Policy
	}
	return nil
}

// Parse parses one YAML document strictly. It returns Problems for invalid input.
func Parse(name string, content []byte) (Documents, error) {
	docs, _, problem := parseFile(name, content)
	if problem != nil {
		return Documents{}, Problems{*problem}
	}
	return docs, nil
}

func parseFile(name string, content []byte) (docs Documents, tree *ast.File, problem *Problem) {
	if len(content) > maxFileBytes {
		return docs, nil, &Problem{
			File: name, Line: 1, Column: 1, Path: "file",
			Message: fmt.Sprintf("%d bytes are over the limit of %d", len(content), maxFileBytes), Fix: "remove what is unused",
		}
	}
	// Report a panic of the YAML library as a syntax error.
	defer func() {
		if cause := recover(); cause != nil {
			docs, tree = Documents{}, nil
			problem = &Problem{File: name, Line: 1, Column: 1, Path: "file", Message: fmt.Sprintf("invalid YAML (%v)", cause), Fix: "compare it with the files of bundle init"}
		}
	}()
	tree, err := parser.ParseBytes(content, 0)
	if err != nil {
		return docs, nil, parseProblem(name, err)
	}
	if problem := checkTree(name, tree); problem != nil {
		return docs, nil, problem
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return docs, tree, nil
	}
	decoder := yaml.NewDecoder(strings.NewReader(string(content)), yaml.Strict())
	if err := decoder.Decode(&docs); err != nil {
		return Documents{}, nil, parseProblem(name, err)
	}
	return docs, tree, nil
}

// checkTree refuses multiple documents in a file, of which only the first would be
// read, and anchors, which allow exponential expansion.
func checkTree(name string, tree *ast.File) *Problem {
	if len(tree.Docs) > 1 {
		return &Problem{
			File: name, Line: 1, Column: 1, Path: "file",
			Message: "it holds several YAML documents", Fix: "put each into its own file, without ---",
		}
	}
	for _, doc := range tree.Docs {
		if doc.Body == nil {
			continue
		}
		finder := &anchorFinder{}
		ast.Walk(finder, doc.Body)
		if finder.found != nil {
			position := finder.found.GetToken().Position
			return &Problem{
				File: name, Line: position.Line, Column: position.Column, Path: "file",
				Message: "anchors and aliases are not supported", Fix: "write the value out",
			}
		}
	}
	return nil
}

type anchorFinder struct{ found ast.Node }

// Visit implements ast.Visitor. It stops at the first anchor or alias.
func (f *anchorFinder) Visit(node ast.Node) ast.Visitor {
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		f.found = node
	}
	if f.found != nil {
		return nil
	}
	return f
}

const unknownFieldFix = "check its spelling, or remove it; bundle init writes every field"

func parseProblem(name string, err error) *Problem {
	p := &Problem{File: name, Line: 1, Column: 1, Path: "file", Message: oneLine(err.Error()), Fix: "compare it with the files of bundle init"}
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return p
	}
	p.Message = oneLine(positioned.GetMessage())
	if token := positioned.GetToken(); token != nil {
		p.Line, p.Column = token.Position.Line, token.Position.Column
		p.Path = strconv.Quote(token.Value)
	}
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		p.Message, p.Fix = "unknown field", unknownFieldFix
	}
	return p
}

func oneLine(text string) string {
	first, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	return first
}

var listPath = regexp.MustCompile(`^([a-z]+)\[(\d+)\](.*)$`)

// locateAll sets file, line and column of each problem.
func (s *Source) locateAll(problems Problems) Problems {
	for i := range problems {
		s.locate(&problems[i])
	}
	return problems
}

func (s *Source) locate(p *Problem) {
	for _, file := range s.files {
		path, ok := file.localPath(p.Path)
		if !ok {
			continue
		}
		if node := file.find(path); node != nil {
			position := node.GetToken().Position
			p.File, p.Line, p.Column = file.name, position.Line, position.Column
			return
		}
	}
	if len(s.files) > 0 {
		p.File, p.Line, p.Column = s.files[0].name, 1, 1
	}
}

// localPath converts a path in the combined documents to one in this file. It
// reports false if the path isn't in this file.
func (f sourceFile) localPath(path string) (string, bool) {
	parts := listPath.FindStringSubmatch(path)
	if parts == nil {
		return path, true
	}
	global, err := strconv.Atoi(parts[2])
	if err != nil {
		return "", false
	}
	local := global - f.firstIndex[parts[1]]
	if local < 0 || local >= f.counts[parts[1]] {
		return "", false
	}
	return fmt.Sprintf("%s[%d]%s", parts[1], local, parts[3]), true
}

// find returns the node at the path, or the closest parent if a field is missing.
func (f sourceFile) find(path string) ast.Node {
	for path != "" {
		at, err := yaml.PathString("$." + path)
		if err == nil {
			if node, err := at.FilterFile(f.tree); err == nil && node != nil {
				return firstKey(node)
			}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return nil
}

// firstKey returns the first key of a mapping, and any other node unchanged.
func firstKey(node ast.Node) ast.Node {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return mapping.Values[0].Key
	}
	return node
}

// UnmarshalYAML reports the position of an invalid duration.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	if err := d.UnmarshalText([]byte(text)); err != nil {
		return &yaml.SyntaxError{
			Message: fmt.Sprintf("%q is not a duration; write it like 250ms, 2s or 10m", text),
			Token:   node.GetToken(),
		}
	}
	return nil
}
