package homeserver

import "time"

// workerIdleTimeout is how long a goroutine without work is kept: longer than the
// pauses between searches on a quiet host.
const workerIdleTimeout = 2 * time.Second

// workerPool runs attempts on reused goroutines, whose stacks have already grown. A
// large search starts hundreds of attempts at once, and growing new stacks takes
// noticeable processor time.
type workerPool struct {
	work chan func()
}

func newWorkers() *workerPool { return &workerPool{work: make(chan func())} }

// start runs f on an idle goroutine, or on a new one if none is idle.
func (w *workerPool) start(f func()) {
	select {
	case w.work <- f:
	default:
		go w.serve(f)
	}
}

func (w *workerPool) serve(f func()) {
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		f()
		idle.Reset(workerIdleTimeout)
		select {
		case f = <-w.work:
		case <-idle.C:
			return
		}
	}
}
