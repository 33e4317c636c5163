package scatter

import (
	"bytes"
	"slices"
)

// TopK returns the k greatest records of the parts, concatenated in
// descending order. Parts hold unsorted records of size bytes; a shorter
// remainder is ignored. Duplicates are kept.
func TopK(parts [][]byte, size, k int) []byte {
	best := make([][]byte, 0, k+1)
	for _, part := range parts {
		for ; len(part) >= size; part = part[size:] {
			best = insertTopK(best, part[:size], k)
		}
	}
	return bytes.Join(best, nil)
}

// insertTopK inserts a record into the descending list of the k greatest, if it
// is one of them.
func insertTopK(best [][]byte, record []byte, k int) [][]byte {
	if len(best) == k && (k == 0 || bytes.Compare(record, best[k-1]) <= 0) {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, record, func(have, r []byte) int { return bytes.Compare(r, have) })
	best = slices.Insert(best, at, record)
	return best[:min(len(best), k)]
}
