package homeserver

import "time"

// workerIdle is how long a goroutine without work is kept: longer than the pauses
// between the searches of a quiet host.
const workerIdle = 2 * time.Second

// workers runs attempts on goroutines that are kept for the next ones.
//
// Load: a search over 180 services starts as many attempts at once. Harm prevented: each
// begins on a small stack, which is copied three times on the way through the encoding
// of a request and the decoding of its reply: 8% of a host's processor time.
type workers struct {
	work chan func()
}

func newWorkers() *workers { return &workers{work: make(chan func())} }

// start runs f on a goroutine that waits for work, or on a new one.
func (w *workers) start(f func()) {
	select {
	case w.work <- f:
	default:
		go w.serve(f)
	}
}

func (w *workers) serve(f func()) {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		f()
		idle.Reset(workerIdle)
		select {
		case f = <-w.work:
		case <-idle.C:
			return
		}
	}
}
