package catalog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/goldcrestspan/goldcrestspan/internal/seeded"
)

const unlimited = 1 << 30

// Guards against a follower that misses changes after lost replies or a switch to another
// watcher.
func TestFollowerCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watchers := []*ChangeLog{NewChangeLog(1), NewChangeLog(2)}
		follower := NewChangeLog(3)
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
			maxBytes := rapid.IntRange(1, 60).Draw(t, "bytes")
			var all Changes
			for more := true; more; {
				page := watcher.ChangesSince(epoch, sequence, maxBytes)
				if page.Complete {
					all = Changes{Complete: true}
				}
				all.Items = append(all.Items, page.Items...)
				epoch, sequence, more = page.Epoch, page.Sequence, page.More
			}
			follower.Apply(all)
			if got, want := fmt.Sprintf("%s", follower.Values("")), fmt.Sprintf("%s", watcher.Values("")); got != want {
				t.Fatalf("follower has %s, watcher %s", got, want)
			}
		}
	})
}

// Guards against a single change that sends the follower the complete list.
func TestChangesAreIncremental(t *testing.T) {
	is := is.New(t)
	watcher := NewChangeLog(1)
	next := make(map[string][]byte)
	for i := range 21000 {
		next[fmt.Sprintf("hosts/server-%d", i)] = []byte("1")
	}
	watcher.Replace("hosts/", next)
	first := watcher.ChangesSince(0, 0, unlimited)
	is.True(first.Complete)
	next["hosts/server-7"] = []byte("2")
	delete(next, "hosts/server-8")
	is.True(watcher.Replace("hosts/", next))
	changes := watcher.ChangesSince(first.Epoch, first.Sequence, unlimited)
	is.True(!changes.Complete)
	is.Equal(len(changes.Items), 2)
	is.True(!watcher.Replace("hosts/", next))
}

// Guards against a follower that keeps removed servers because the log has discarded
// their removals.
func TestDiscardedRemovalsSendAllItems(t *testing.T) {
	is := is.New(t)
	watcher := NewChangeLog(1)
	next := map[string][]byte{"hosts/stays": []byte("1")}
	for i := range maxRemovals + 1 {
		next[fmt.Sprintf("hosts/%d", i)] = []byte("1")
	}
	watcher.Replace("hosts/", next)
	before := watcher.Sequence()
	watcher.Replace("hosts/", map[string][]byte{"hosts/stays": []byte("1")})
	is.True(watcher.ChangesSince(1, before, unlimited).Complete)
}

// BenchmarkChangesSince measures a follower's request to a watcher with 21,000 backend servers.
func BenchmarkChangesSince(b *testing.B) {
	watcher := NewChangeLog(1)
	next := make(map[string][]byte)
	for i := range 21000 {
		next[fmt.Sprintf("hosts/server-%d", i)] = []byte("1")
	}
	watcher.Replace("hosts/", next)
	for _, behind := range []uint64{0, 1} {
		b.Run(fmt.Sprintf("behind-%d", behind), func(b *testing.B) {
			for b.Loop() {
				watcher.ChangesSince(1, watcher.Sequence()-behind, unlimited)
			}
		})
	}
}
