package homeserver

import (
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// goroutineID identifies the current goroutine.
func goroutineID() string {
	buffer := make([]byte, 64)
	number, _, _ := strings.Cut(string(buffer[:runtime.Stack(buffer, false)]), "[")
	return number
}

// Guards against starting a new goroutine for each attempt, and against keeping idle
// goroutines forever.
func TestAttemptGoroutinesAreReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorkers()
		used := make(map[string]bool)
		ids := make(chan string, 1)
		for range 5 {
			w.start(func() { ids <- goroutineID() })
			used[<-ids] = true
			synctest.Wait() // the goroutine is idle again
			time.Sleep(workerIdleTimeout / 2)
		}
		is.Equal(len(used), 1)
		time.Sleep(2 * workerIdleTimeout)
		w.start(func() { ids <- goroutineID() })
		is.True(!used[<-ids]) // the first goroutine has ended
		time.Sleep(2 * workerIdleTimeout)
	})
}
