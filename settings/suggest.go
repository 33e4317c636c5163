package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// maxSuggestionEdits is the largest edit distance at which a known key is suggested.
const maxSuggestionEdits = 3

// suggestKey returns the suggested fix for an unknown key.
func suggestKey(name string, fields map[string]reflect.Value) string {
	known := make([]string, 0, len(fields))
	for key := range fields {
		known = append(known, key)
	}
	slices.Sort(known)
	best, edits := "", maxSuggestionEdits+1
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

// editDistance returns the Levenshtein distance of two words. It compares only the
// start of long words, to bound the cost of untrusted input.
func editDistance(a, b string) int {
	const maxCompared = 64 // bytes
	a, b = a[:min(len(a), maxCompared)], b[:min(len(b), maxCompared)]
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
