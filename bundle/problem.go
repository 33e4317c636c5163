package bundle

import (
	"fmt"
	"strings"
)

// Problem is an error in a bundle, with its location and a suggested fix.
type Problem struct {
	// Path is the path in the documents, such as "routes[2].callers[0]".
	Path    string `json:"path"`
	Message string `json:"what"`
	Fix     string `json:"mend"`
	// File, Line and Column are set for documents read from files; Line and
	// Column count from 1.
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	where := p.Path
	if p.File != "" {
		where = fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Path)
	}
	return strings.TrimPrefix(fmt.Sprintf("%s: %s; %s", where, p.Message, p.Fix), ": ")
}

// Problems is a list of all problems of a bundle.
type Problems []Problem

// Error formats one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

func (ps *Problems) add(path, fix, message string, args ...any) {
	*ps = append(*ps, Problem{Path: path, Message: fmt.Sprintf(message, args...), Fix: fix})
}
