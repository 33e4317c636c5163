package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// closeEnough is the most edits at which an unknown key is taken for a
// misspelling of a known one.
const closeEnough = 3

// suggestKey tells what to write in place of an unknown key.
func suggestKey(name string, fields map[string]reflect.Value) string {
	known := make([]string, 0, len(fields))
	for key := range fields {
		known = append(known, key)
	}
	slices.Sort(known)
	best, edits := "", closeEnough+1
	for _, key := range known {
		if n := editDistance(name, key); n < edits {
			best, edits = key, n
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %s?", best)
	}
	return "remove it; known here: " + strings.Join(known, ", ")
}

// editDistance counts the insertions, deletions and replacements between two
// words. Long words are compared by their start only, so that a hostile file
// costs no more than a short one.
func editDistance(a, b string) int {
	const longest = 64
	a, b = a[:min(len(a), longest)], b[:min(len(b), longest)]
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal = row[j+1]
			row[j+1] = cost
		}
	}
	return row[len(b)]
}
