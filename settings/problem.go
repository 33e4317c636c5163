package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a file; lines and columns count from 1.
type Position struct {
	Line   int
	Column int
}

// Problem is an error in a settings file, with a suggested fix.
type Problem struct {
	File string
	Position
	Key     string // dotted path, such as limits.stop_wait
	Message string
	Fix     string
}

// String formats the problem on one line.
func (p Problem) String() string {
	key := ""
	if p.Key != "" {
		key = p.Key + ": "
	}
	line := fmt.Sprintf("%s:%d:%d: %s%s; %s", p.File, p.Line, p.Column, key, p.Message, p.Fix)
	return lineBreaks.Replace(line)
}

// lineBreaks replaces line breaks in keys and values, to keep a problem on one line.
var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ")

// Problems is a list of all problems of a file in file order.
type Problems []Problem

// Error formats one problem per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sorted() Problems {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Key, b.Key))
	})
	return p
}
