package observe

import (
	"io"
	"strconv"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// trafficLines is how many log lines wait for the writer at most. At 300
	// bytes each that is some megabyte.
	trafficLines = 4096
	// linesPerSecond bounds the lines over time: at 300 bytes each, 600 KB a
	// second. A host of 0.4 cores answers some 200 requests a second, with a
	// line each; failed attempts and changes of servers take the rest.
	linesPerSecond = 2000
	// mostBatch bounds one write, in bytes.
	mostBatch = 64 << 10
)

// NewRequestLogger makes a logger for lines about single requests: JSON, one a
// line, written by a goroutine of its own. flush writes what waits and ends it.
//
// Failure: the reader of standard output is slow or has stopped, or a burst
// brings a line for each of a thousand requests; every request would wait for
// its log line. The guard holds because a line that finds the queue full, or
// comes above the rate, is dropped and counted, and the next write says how
// many were.
func NewRequestLogger(out io.Writer) (logger *zap.Logger, flush func()) {
	w := &lineWriter{
		lines: make(chan []byte, trafficLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
		limit: rate.NewLimiter(linesPerSecond, trafficLines),
	}
	go w.run(out)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zap.InfoLevel)
	return zap.New(core), w.flush
}

type lineWriter struct {
	lines   chan []byte
	stop    chan struct{} // closed by flush
	done    chan struct{} // closed when all is written
	limit   *rate.Limiter
	dropped atomic.Int64
}

// Write implements io.Writer; it never blocks.
func (w *lineWriter) Write(p []byte) (int, error) {
	if !w.limit.Allow() {
		w.dropped.Add(1)
		return len(p), nil
	}
	line := append([]byte(nil), p...) // the encoder uses its buffer again
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *lineWriter) Sync() error { return nil }

func (w *lineWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		case <-w.stop:
			w.write(out, nil)
			return
		}
	}
}

// write writes a line and those that wait with it, so that a busy host makes
// few writes.
func (w *lineWriter) write(out io.Writer, first []byte) {
	batch := first
	for len(batch) < mostBatch {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = append(batch, `{"level":"warn","msg":"log lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n"...)
	}
	_, _ = out.Write(batch) // there is nowhere to report it
}

// flush ends the writer after what waits.
func (w *lineWriter) flush() {
	close(w.stop)
	<-w.done
}
