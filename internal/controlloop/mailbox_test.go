package controlloop

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an event that waits for ever since the loop was not woken for it, in random
// orders of posting and taking, and against events that overtake those of the same sender.
func TestEveryPostedEventIsTakenInOrder(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		const senders = 4
		m := NewMailbox[[2]int](1 << 20)
		var sending sync.WaitGroup
		total := 0
		for sender := range senders {
			count := rng.IntN(200)
			total += count
			sending.Go(func() {
				for i := range count {
					is.True(m.Post([2]int{sender, i}))
				}
			})
		}
		next := [senders]int{}
		for taken := 0; taken < total; {
			select {
			case <-m.Ready():
			case <-time.After(10 * time.Second):
				t.Fatalf("seed %d: %d of %d events were taken", seed, taken, total)
			}
			for _, event := range m.Take() {
				is.Equal(event[1], next[event[0]])
				next[event[0]]++
				taken++
			}
		}
		sending.Wait()
		is.Equal(m.Len(), 0)
	}
}

// Guards against a loop that waits for itself, and against memory without a bound while a loop
// does not run.
func TestPostNeverWaits(t *testing.T) {
	is := is.New(t)
	m := NewMailbox[int](2)
	is.True(m.Post(1) && m.Post(2) && !m.Post(3))
	is.Equal(m.Take(), []int{1, 2})
	is.True(m.Post(4))
	<-m.Ready()
	is.Equal(m.Take(), []int{4})
}
