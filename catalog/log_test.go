package catalog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/goldcrestspan/goldcrestspan/internal/seeded"
)

const everything = 1 << 30

// A host follows one watcher, misses replies, is handed to another watcher and
// back. Whatever it missed, one reply must bring it to the watcher's state: a
// server that it still thought to be there would get work for ever.
func TestFollowerCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watchers := []*Log{NewLog(1), NewLog(2)}
		follower := NewLog(3)
		var epoch, sequence uint64
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			watcher := watchers[rapid.IntRange(0, 1).Draw(t, "watcher")]
			next := make(map[string][]byte)
			for i := range rapid.IntRange(0, 5).Draw(t, "servers") {
				next[fmt.Sprint("hosts/", i)] = []byte(rapid.SampledFrom([]string{"live", "leaving"}).Draw(t, "state"))
			}
			watcher.Replace("hosts/", next)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			most := rapid.IntRange(1, 60).Draw(t, "bytes")
			var all Changes
			for more := true; more; {
				piece := watcher.Since(epoch, sequence, most)
				if piece.Whole {
					all = Changes{Whole: true}
				}
				all.Items = append(all.Items, piece.Items...)
				epoch, sequence, more = piece.Epoch, piece.Sequence, piece.More
			}
			follower.Apply(all)
			if got, want := fmt.Sprintf("%s", follower.Below("")), fmt.Sprintf("%s", watcher.Below("")); got != want {
				t.Fatalf("follower has %s, watcher %s", got, want)
			}
		}
	})
}

// One of 21,000 servers restarts. A follower must get that one row; the whole
// list each second would be a thousand times its share of control traffic.
func TestOneChangeIsOneItem(t *testing.T) {
	is := is.New(t)
	watcher := NewLog(1)
	next := make(map[string][]byte)
	for i := range 21000 {
		next[fmt.Sprintf("hosts/server-%d", i)] = []byte("1")
	}
	watcher.Replace("hosts/", next)
	first := watcher.Since(0, 0, everything)
	is.True(first.Whole)
	next["hosts/server-7"] = []byte("2")
	delete(next, "hosts/server-8")
	is.True(watcher.Replace("hosts/", next))
	c := watcher.Since(first.Epoch, first.Sequence, everything)
	is.True(!c.Whole)
	is.Equal(len(c.Items), 2)
	is.True(!watcher.Replace("hosts/", next))
}

// More servers go than a log remembers. A follower from before must get
// everything, or it would keep those that were forgotten.
func TestForgottenRemovalsGiveEverything(t *testing.T) {
	is := is.New(t)
	watcher := NewLog(1)
	next := map[string][]byte{"hosts/stays": []byte("1")}
	for i := range maxGone + 1 {
		next[fmt.Sprintf("hosts/%d", i)] = []byte("1")
	}
	watcher.Replace("hosts/", next)
	before := watcher.Sequence()
	watcher.Replace("hosts/", map[string][]byte{"hosts/stays": []byte("1")})
	is.True(watcher.Since(1, before, everything).Whole)
}

// BenchmarkSince is what a follower's question costs a watcher that holds the
// target's 21,000 backend servers.
func BenchmarkSince(b *testing.B) {
	watcher := NewLog(1)
	next := make(map[string][]byte)
	for i := range 21000 {
		next[fmt.Sprintf("hosts/server-%d", i)] = []byte("1")
	}
	watcher.Replace("hosts/", next)
	for _, behind := range []uint64{0, 1} {
		b.Run(fmt.Sprintf("behind-%d", behind), func(b *testing.B) {
			for b.Loop() {
				watcher.Since(1, watcher.Sequence()-behind, everything)
			}
		})
	}
}
