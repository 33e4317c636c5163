// Package signals receives the signals that are sent to a process, from its start to its end.
// Whoever receives one for a shorter time restores its default effect, which ends the process
// with its requests unanswered.
package signals

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// stopQueueSize holds the signals that arrive before HandleStops runs: one starts a planned
// stop, a second aborts it, and more have no further effect.
const stopQueueSize = 2

// Receiver receives SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE, which a write to a log that
// nothing reads any more raises.
type Receiver struct {
	stops   chan os.Signal // SIGTERM and SIGINT
	reloads chan os.Signal // SIGHUP; one that waits covers those that follow
}

// Receive starts to receive the signals. It must run first in a process, as a signal that
// arrives before it has its default effect.
func Receive() *Receiver {
	r := &Receiver{stops: make(chan os.Signal, stopQueueSize), reloads: make(chan os.Signal, 1)}
	signal.Notify(r.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(r.reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return r
}

// Release restores the signals' default effects, for commands that a signal may end at any time.
// A signal that has arrived since Receive takes effect then.
func (r *Receiver) Release() {
	signal.Stop(r.stops)
	signal.Stop(r.reloads)
	signal.Reset(syscall.SIGPIPE)
	for _, received := range []chan os.Signal{r.stops, r.reloads} {
		select {
		case s := <-received:
			_ = syscall.Kill(os.Getpid(), s.(syscall.Signal)) // this process exists
		default:
		}
	}
}

// Reloads receives a value for one SIGHUP or several.
func (r *Receiver) Reloads() <-chan os.Signal { return r.reloads }

// HandleStops calls stop at the first SIGTERM or SIGINT, and abort at the second. If abort is nil,
// only the first has an effect, and HandleStops doesn't return.
func (r *Receiver) HandleStops(stop, abort func(), log *zap.Logger) {
	log.Info("signal received; starting a planned stop", zap.Stringer("signal", <-r.stops))
	stop()
	for s := range r.stops {
		if abort != nil {
			log.Warn("signal received during the planned stop; aborting requests in flight", zap.Stringer("signal", s))
			abort()
			return
		}
		log.Info("signal received during the planned stop; it continues", zap.Stringer("signal", s))
	}
}
