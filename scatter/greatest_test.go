package scatter

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Sales staff get the best slots of all shards: the greatest records must be
// those that sorting everything would give, ties counted, rests left out.
func TestGreatestIsWhatSortingAllGives(t *testing.T) {
	is := is.New(t)
	const size = 4
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var parts, all [][]byte
		for range rnd.IntN(6) {
			var part []byte
			for range rnd.IntN(8) {
				record := []byte{0, 0, byte(rnd.IntN(3)), byte(rnd.IntN(3))}
				part = append(part, record...)
				all = append(all, record)
			}
			parts = append(parts, append(part, make([]byte, rnd.IntN(size))...))
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		k := rnd.IntN(10)
		want := bytes.Join(all[:min(k, len(all))], nil)
		is.Equal(TopK(parts, size, k), want)
	}
}

func TestGreatestOfNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(len(TopK(nil, 16, 5)), 0)
	is.Equal(len(TopK([][]byte{[]byte("short")}, 16, 5)), 0)
}
