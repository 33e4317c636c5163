package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a place in a file; lines and columns count from 1.
type Position struct {
	Line   int
	Column int
}

// Problem is one thing wrong in a settings file.
type Problem struct {
	File string
	Position
	Key     string // dotted path of the key, such as limits.stop_wait
	Message string
	Fix     string
}

// String writes where, what and the mend on one line.
func (p Problem) String() string {
	key := ""
	if p.Key != "" {
		key = p.Key + ": "
	}
	line := fmt.Sprintf("%s:%d:%d: %s%s; %s", p.File, p.Line, p.Column, key, p.Message, p.Fix)
	return oneLine.Replace(line)
}

// oneLine keeps a value or key with line breaks in it from spreading its
// problem over several lines.
var oneLine = strings.NewReplacer("\n", " ", "\r", " ")

// Problems are all the problems of one file, in the order of the file.
type Problems []Problem

// Error writes each problem on a line of its own.
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
