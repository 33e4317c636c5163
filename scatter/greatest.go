package scatter

import (
	"bytes"
	"slices"
)

// TopK returns the k greatest records of the parts, falling, in one piece.
// Parts hold records of size bytes in no order; a shorter rest is no record.
// Equal records all count.
func TopK(parts [][]byte, size, k int) []byte {
	best := make([][]byte, 0, k+1)
	for _, part := range parts {
		for ; len(part) >= size; part = part[size:] {
			best = keepGreatest(best, part[:size], k)
		}
	}
	return bytes.Join(best, nil)
}

// keepGreatest puts a record into the falling list of the k best, if it is one.
func keepGreatest(best [][]byte, record []byte, k int) [][]byte {
	if len(best) == k && (k == 0 || bytes.Compare(record, best[k-1]) <= 0) {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, record, func(have, r []byte) int { return bytes.Compare(r, have) })
	best = slices.Insert(best, at, record)
	return best[:min(len(best), k)]
}
