package homeserver

import (
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// goroutine is the first line of the caller's stack trace: its number and state.
func goroutine() string {
	buffer := make([]byte, 64)
	number, _, _ := strings.Cut(string(buffer[:runtime.Stack(buffer, false)]), "[")
	return number
}

// A search starts 180 attempts at once, a moment after the search before. The goroutines of
// that one must run them, or each stack is made anew; and a host that has nothing to do any
// more must not keep them.
func TestGoroutinesOfAttemptsAreUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorkers()
		used := make(map[string]bool)
		names := make(chan string, 1)
		for range 5 {
			w.start(func() { names <- goroutine() })
			used[<-names] = true
			synctest.Wait() // it waits for work again
			time.Sleep(workerIdle / 2)
		}
		is.Equal(len(used), 1)
		time.Sleep(2 * workerIdle)
		w.start(func() { names <- goroutine() })
		is.True(!used[<-names]) // the first has ended
		time.Sleep(2 * workerIdle)
	})
}
