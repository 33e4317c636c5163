package bundle

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong in a bundle: where, what and the mend.
type Problem struct {
	// Path names the place in the documents, as "routes[2].callers[0]".
	Path    string `json:"path"`
	Message string `json:"what"`
	Fix     string `json:"mend"`
	// File, Line and Column are set for documents that were read from files;
	// Line and Column count from 1.
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String writes the problem on one line.
func (p Problem) String() string {
	where := p.Path
	if p.File != "" {
		where = fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Path)
	}
	return strings.TrimPrefix(fmt.Sprintf("%s: %s; %s", where, p.Message, p.Fix), ": ")
}

// Problems is every problem of a bundle. As an error it has a line for each.
type Problems []Problem

// Error writes one problem on each line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err is nil when there is no problem.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

func (ps *Problems) add(path, mend, what string, args ...any) {
	*ps = append(*ps, Problem{Path: path, Message: fmt.Sprintf(what, args...), Fix: mend})
}
